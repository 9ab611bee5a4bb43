"""Stand-in of a runner: a sound one, unless its behaviour is named.

It follows the section "Runners" of PROTOCOL.md, and keeps its entry in the store. Each request
that it runs is one JSON line of its log. Usage:

    python3 runner.py NAME SERVICE IP:PORT STORE_IP:PORT LOG [KEY=VALUE ...]

events, stride, gap_ms : events of a stream, tokens of each, and the time between two
work_ms : time that another request takes
slots : requests at once, as its entry says
drain_s : after SIGTERM it says `draining`, serves on for so long, and ends

The log also tells when the store has taken `draining`, under the key `draining`.
"""

import asyncio
import json
import secrets
import signal
import sys
import time

_HEARTBEAT_SECONDS = 1.2


class Runner:
    """One runner."""

    def __init__(self, name, service, address, store, log, options):
        self.name, self.service, self.address = name, service, address
        self.store = store.rpartition(":")[::2]
        self.log = open(log, "a", buffering=1)  # noqa: SIM115
        self.events = int(options.get("events", 5))
        self.stride = int(options.get("stride", 6))
        self.gap = float(options.get("gap_ms", 5)) / 1000
        self.work = float(options.get("work_ms", 10)) / 1000
        self.slots = int(options.get("slots", 64))
        self.drain = float(options.get("drain_s", 4))
        self.state = "ready"
        self.sequence = 0

    def note(self, **fields):
        """Write one line to the log."""
        self.log.write(json.dumps({"t": round(time.time(), 3), "runner": self.name} | fields))
        self.log.write("\n")

    async def beat(self):
        """Write the entry in the store again and again."""
        while True:
            await self.write_entry()
            await asyncio.sleep(_HEARTBEAT_SECONDS)

    async def write_entry(self):
        """Write the entry once; return whether the store has taken it."""
        self.sequence += 1
        spec = {"service": self.service, "address": self.address, "zone": "hall-a"}
        spec |= {"version": "v1", "slots": self.slots, "state": self.state, "cold_left_ms": 0}
        spec |= {"seq": self.sequence}
        body = {"metadata": {"name": self.name}, "spec": spec}
        path = "/v1/objects/servers"
        try:
            status = await self._call_store("PUT", f"{path}/{self.name}", body)
            if status == 404:
                status = await self._call_store("POST", path, body)
        except (OSError, IndexError):
            return False
        return status == 200

    async def leave(self, beating, server):
        """Say `draining`, serve on for a while, remove the entry and end."""
        self.state = "draining"
        while not await self.write_entry():
            await asyncio.sleep(0.1)
        self.note(draining=True)
        await asyncio.sleep(self.drain)
        beating.cancel()
        await self._call_store("DELETE", f"/v1/objects/servers/{self.name}", None)
        server.close()

    async def _call_store(self, method, path, body):
        reader, writer = await asyncio.open_connection(self.store[0], int(self.store[1]))
        try:
            data = b"" if body is None else json.dumps(body).encode()
            head = f"{method} {path} HTTP/1.1\r\nHost: store\r\nContent-Length: {len(data)}\r\n\r\n"
            writer.write(head.encode() + data)
            return int((await reader.readline()).split()[1])
        finally:
            writer.close()

    async def serve(self, reader, writer):
        """Serve the requests of one connection."""
        try:
            while await self._serve_one(reader, writer):
                pass
        except (OSError, asyncio.IncompleteReadError, asyncio.LimitOverrunError):
            pass
        finally:
            writer.close()

    async def _serve_one(self, reader, writer):
        line = await reader.readline()
        if not line:
            return False
        method, path, _ = line.decode("latin-1").split()
        fields = {}
        while (field := await reader.readline()).strip():
            key, _, value = field.decode("latin-1").partition(":")
            fields[key.strip().lower()] = value.strip()
        body = await reader.readexactly(int(fields.get("content-length", "0")))
        if path == "/health":
            writer.write(
                f"HTTP/1.1 200 OK\r\nX-Whinrack-Instance-Id: {self.name}\r\n"
                "Content-Length: 0\r\n\r\n".encode()
            )
            return True
        expected = fields.get("x-whinrack-expect-instance", self.name)
        if expected != self.name:
            writer.write(
                f"HTTP/1.1 421 Misdirected Request\r\nX-Whinrack-Instance-Id: {self.name}\r\n"
                f"X-Whinrack-Request-Id: {fields.get('x-whinrack-request-id', '')}\r\n"
                "Content-Length: 0\r\n\r\n".encode()
            )
            return True
        await self.run(method, path, fields, body, reader, writer)
        return True

    def head(self, status, fields, *more):
        """Return the head of an answer, with a new seal."""
        lines = [f"HTTP/1.1 {status} X"]
        lines.append(f"X-Whinrack-Request-Id: {fields.get('x-whinrack-request-id', '')}")
        lines.append(f"X-Whinrack-Response-Seal: {self.name}.{secrets.token_hex(4)}")
        return "\r\n".join([*lines, *more, "", ""]).encode()

    async def run(self, method, path, fields, body, reader, writer):
        """Run one request and answer it."""
        request = fields.get("x-whinrack-request-id", "")
        tenant = fields.get("x-whinrack-tenant", "")
        if "x-whinrack-token-usage" not in fields:
            self.note(id=request, tenant=tenant, method=method, path=path, body=len(body))
            await asyncio.sleep(self.work)
            data = b"done %b by %b" % (request.encode(), self.name.encode())
            length = f"Content-Length: {len(data)}"
            writer.write(self.head(200, fields, length) + data)
            await writer.drain()
            return
        prompt = int(fields["x-whinrack-token-usage"].partition(",")[0])
        most = int(fields["x-whinrack-token-usage"].partition(",")[2])
        first = int(fields.get("last-event-id", "0")) + 1
        writer.write(
            self.head(200, fields, "Content-Type: text/event-stream", "Transfer-Encoding: chunked")
        )
        made = 0
        try:
            for number in range(first, self.events + 1):
                count = min(self.stride, most - made)
                if count <= 0:
                    break
                made += count
                event = b"id: %d\ndata: %b\n\n" % (number, b"t" * count)
                writer.write(b"%x\r\n%b\r\n" % (len(event), event))
                await writer.drain()
                await asyncio.sleep(self.gap)
                if reader.at_eof():
                    raise ConnectionResetError
            writer.write(b"0\r\n\r\n")
            await writer.drain()
        finally:
            self.note(id=request, tenant=tenant, path=path, prompt=prompt, made=made)


async def main(name, service, address, store, log, *options):
    """Serve until the process is ended."""
    runner = Runner(name, service, address, store, log, dict(o.split("=", 1) for o in options))
    host, _, port = address.rpartition(":")
    server = await asyncio.start_server(runner.serve, host, int(port))
    beating = asyncio.create_task(runner.beat())
    tasks = []

    def leave():
        tasks.append(asyncio.create_task(runner.leave(beating, server)))

    asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, leave)
    try:
        async with server:
            await server.serve_forever()
    except asyncio.CancelledError:
        runner.note(ended=True)


if __name__ == "__main__":
    asyncio.run(main(*sys.argv[1:]))
