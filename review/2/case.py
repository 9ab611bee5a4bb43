"""A machine freezes for some seconds, and its clients give their streams up meanwhile.

One of six daemons is stopped and continued. Its clients close their connections after a gap of
3.2 s, with some events unread. The runners have finished the streams by then. Afterwards clients
use the rest of the tenant's tokens up, and what the runners handed out is counted.
"""

import asyncio
import pathlib
import signal
import socket
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1]))

from harness import CaseNotRunError, run_case  # noqa: E402

DAEMONS = 6
RUNNERS = 3
PREPAID = 60_000
PROMPT_TOKENS, OUTPUT_TOKENS = 100, 300
EVENT_TOKENS = 5
EVENT_SECONDS = 0.02
STREAMS = 40
FREEZE_SECONDS = 3.5
GAP_SECONDS = 3.25
SETTLE_SECONDS = 3.0
USE_UP_SECONDS = 40.0
REFUSALS_AT_END = 20
HEALTH_PATH = "/health"


class Runner:
    """A model runner that sends the events of streams and counts the tokens."""

    tokens = 0

    def __init__(self, case, name):
        self.case, self.name = case, name
        self.tokens_by_request = {}

    async def start(self):
        """Listen, and write the entry to the store."""
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", 0, backlog=512)
        entry = {
            "service": "lm-pool",
            "address": "{}:{}".format(*self.server.sockets[0].getsockname()),
            "zone": "hafnar",
            "version": "v1",
            "slots": 64,
            "state": "ready",
            "cold_left_ms": 0,
            "seq": 1,
        }
        self.case.store.write("servers", self.name, entry)

    async def _serve(self, reader, writer):
        try:
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
                fields = {k.lower(): v.strip() for k, _, v in (x.partition(":") for x in head)}
                await reader.readexactly(int(fields.get("content-length", 0)))
                if f" {HEALTH_PATH} " in head[0]:
                    writer.write(
                        b"HTTP/1.1 200 OK\r\nX-Whinrack-Instance-Id: %b\r\n"
                        b"Content-Length: 0\r\n\r\n" % self.name.encode()
                    )
                else:
                    await self._stream(fields, reader, writer)
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    async def _stream(self, fields, reader, writer):
        request_id = fields["x-whinrack-request-id"]
        prompt, output = map(int, fields["x-whinrack-token-usage"].split(","))
        self._count(request_id, prompt)
        writer.write(
            b"HTTP/1.1 200 OK\r\nX-Whinrack-Request-Id: %b\r\nX-Whinrack-Response-Seal: %b\r\n"
            b"Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
            % (request_id.encode(), request_id.encode())
        )
        try:
            for number in range(1, output // EVENT_TOKENS + 1):
                await asyncio.sleep(EVENT_SECONDS)
                if reader.at_eof() or writer.is_closing():
                    raise ConnectionError("the connection of the stream was closed")
                event = b"id: %d\ndata: tokens of event %d\n\n" % (number, number)
                writer.write(b"%x\r\n%b\r\n" % (len(event), event))
                self._count(request_id, EVENT_TOKENS)
                await writer.drain()
            writer.write(b"0\r\n\r\n")
            await writer.drain()
        finally:
            tokens = self.tokens_by_request[request_id]
            self.case.record.write(f"{self.name}: {request_id} got {tokens} tokens")

    def _count(self, request_id, tokens):
        Runner.tokens += tokens
        known = self.tokens_by_request.get(request_id, 0)
        self.tokens_by_request[request_id] = known + tokens


class Stream:
    """One request of a client."""

    def __init__(self, case, daemon):
        self.case, self.daemon, self.request_id = case, daemon, case.request_id()

    async def open(self):
        """Send the request and read the head of the answer; return the status."""
        self.loop = asyncio.get_running_loop()
        self.sock = socket.socket()
        self.sock.setblocking(False)
        await self.loop.sock_connect(self.sock, (self.daemon.ip, self.daemon.ports["front"]))
        await self.loop.sock_sendall(
            self.sock,
            b"POST /digest/x HTTP/1.1\r\nHost: board.example\r\nContent-Length: 2\r\n"
            b"Authorization: Token key-a\r\nX-Whinrack-Request-Id: %b\r\n"
            b"X-Whinrack-Model: m\r\nX-Whinrack-Token-Usage: %d,%d\r\n"
            b"X-Whinrack-Prompt-Prefix: a1:60,%b:40\r\nX-Whinrack-Deadline-Ms: 15000\r\n\r\nhi"
            % (self.request_id.encode(), PROMPT_TOKENS, OUTPUT_TOKENS, self.request_id.encode()),
        )
        self.data = b""
        while b"\r\n\r\n" not in self.data:
            await self._read()
        return int(self.data.split(b" ")[1])

    async def _read(self):
        data = await self.loop.sock_recv(self.sock, 65_536)
        if not data:
            raise ConnectionError("the connection ended")
        self.data += data

    async def read_to_end(self):
        """Read the events to the end of the stream."""
        while not self.data.endswith(b"0\r\n\r\n"):
            await self._read()
        self.sock.close()

    def give_up(self):
        """Close the connection; as some events are unread, this resets it."""
        self.sock.close()


def configuration():
    """Return a configuration with one streaming route."""
    route = {"name": "digest", "host": "board.example", "path_prefix": "/digest/"}
    route |= {"kind": "streaming", "service": "lm-pool", "timeout_ms": 15_000, "goal_ms": 800}
    route |= {"gap_goal_ms": 400, "priority": 0, "max_attempts": 2, "sticky": True}
    engine = {"slots": 64, "kv_capacity": 562_615, "stride": EVENT_TOKENS}
    pool = {"name": "lm-pool", "health_path": HEALTH_PATH, "max_conns": 360, "engine": engine}
    return {
        "version": 1,
        "routes": [route],
        "services": [pool],
        "limits": {
            "max_header_bytes": 16_384,
            "max_body_bytes": 4_194_304,
            "header_timeout_ms": 3000,
            "idle_timeout_ms": 15_000,
        },
        "tenants": [{"name": "tenant-a", "api_keys": ["key-a"], "prepaid": PREPAID}],
    }


async def freeze_once(case, daemon):
    """Begin streams at a daemon, freeze it, and have its clients give the streams up."""
    streams = [Stream(case, daemon) for _ in range(STREAMS)]
    statuses = await asyncio.gather(*(stream.open() for stream in streams))
    begun = [stream for stream, status in zip(streams, statuses, strict=True) if status == 200]
    case.record.write(f"{len(begun)} of {len(streams)} streams have begun at {daemon.name}")
    if not case.has_trouble:
        await asyncio.gather(*(stream.read_to_end() for stream in begun))
        return
    daemon.send_signal(signal.SIGSTOP)
    await asyncio.sleep(GAP_SECONDS)
    for stream in begun:
        stream.give_up()
    case.record.write("the clients have given their streams up")
    await asyncio.sleep(FREEZE_SECONDS - GAP_SECONDS)
    daemon.send_signal(signal.SIGCONT)
    await asyncio.sleep(SETTLE_SECONDS)


async def use_up(case):
    """Send streams until they are refused again and again."""
    refusals, number, end = 0, 0, asyncio.get_running_loop().time() + USE_UP_SECONDS
    while refusals < REFUSALS_AT_END and asyncio.get_running_loop().time() < end:
        stream = Stream(case, case.daemons[number % DAEMONS])
        number += 1
        status = await stream.open()
        if status == 200:
            refusals = 0
            await stream.read_to_end()
        else:
            case.record.write(f"client: {stream.request_id} ends with {status}")
            refusals += 1
            stream.sock.close()
            await asyncio.sleep(0.2)


async def play_async(case):
    """Play the case; return how the rule was broken."""
    for number in range(RUNNERS):
        await Runner(case, f"i-{number}").start()
    await asyncio.sleep(2.0)
    first = Stream(case, case.daemons[0])
    if await first.open() != 200:
        raise CaseNotRunError("the first stream is refused")
    await first.read_to_end()
    await freeze_once(case, case.daemons[0])
    case.record.write(f"{Runner.tokens} tokens so far")
    await asyncio.gather(*(use_up(case) for _ in range(10)))
    case.record.write(f"{Runner.tokens} tokens of a prepaid {PREPAID} were handed out")
    if Runner.tokens > PREPAID:
        return [f"the tenant got {Runner.tokens} tokens, its prepaid is {PREPAID}"]
    return []


def play(case):
    """Return how the rule was broken."""
    case.start_store(configuration())
    case.start_fleet(DAEMONS)
    return asyncio.run(play_async(case))


if __name__ == "__main__":
    run_case(pathlib.Path(__file__).parent, play)
