"""Stand-in of the platform's store: objects by kind and name, lists, watches, conditional writes.

It follows the section "The platform's metadata store" of PROTOCOL.md. Usage:

    python3 store.py IP:PORT VALUE_BYTES
"""

import asyncio
import json
import sys
import time
from urllib.parse import parse_qs, urlsplit

_PAGE_ITEMS = 500
_PAGE_BYTES = 1_000_000
_PREFIX = "/v1/objects/"


class _Item:
    """One version of an object."""

    def __init__(self, name, revision, made, spec):
        self.revision, self.made, self.spec = revision, made, spec
        metadata = {"name": name, "revision": revision, "made": made}
        metadata |= {"finalizers": [], "deleting": False}
        parts = (json.dumps(metadata).encode(), spec)
        self.data = b'{"metadata":%b,"spec":%b,"status":null}' % parts


def _split(body):
    """Return the metadata of a body and its spec as bytes, without parsing a long spec."""
    text = body.decode()
    start, middle, end = '{"metadata":', ',"spec":', ',"status":null}'
    if text.startswith(start) and text.endswith(end):
        metadata, at = json.JSONDecoder().raw_decode(text, len(start))
        if text.startswith(middle, at):
            return metadata, text[at + len(middle) : -len(end)].encode()
    value = json.loads(body)
    return value["metadata"], json.dumps(value["spec"], separators=(",", ":")).encode()


class Store:
    """All objects, and every change of them; bodies are kept as they were sent."""

    def __init__(self, value_bytes):
        self.value_bytes = value_bytes
        self.revision = 1
        self.objects = {}
        self.changes = []
        self.changed = asyncio.Condition()

    def call(self, method, kind, name, query, body):
        """Execute one call that does not wait; return status and body."""
        if method == "GET":
            if name:
                item = self.objects.get((kind, name))
                return (200, item.data) if item else (404, b"null")
            return 200, self._page(kind, query.get("since_rev", ""))
        if method == "DELETE":
            return self._delete(kind, name, int(query.get("revision", "0")))
        metadata, spec = _split(body)
        return self._write(method, kind, name or metadata["name"], metadata, spec)

    def _page(self, kind, after):
        names = sorted(n for k, n in self.objects if k == kind and n > after)
        items, size = [], 0
        for name in names[:_PAGE_ITEMS]:
            items.append(self.objects[kind, name].data)
            size += len(items[-1])
            if size >= _PAGE_BYTES:
                break
        more = b"true" if len(items) < len(names) else b"false"
        return b'{"items":[%b],"more":%b,"at":%d}' % (b",".join(items), more, self.revision)

    def _write(self, method, kind, name, metadata, spec):
        current = self.objects.get((kind, name))
        if len(spec) > self.value_bytes:
            return 413, b'{"error":"the value is larger than value_bytes"}'
        if method == "POST" and current is not None:
            return 409, current.data
        if method == "PUT":
            if current is None:
                return 404, b"null"
            if metadata.get("revision", 0) not in (0, current.revision):
                return 409, current.data
            if spec == current.spec:
                return 200, current.data
        self.revision += 1
        made = current.made if current else self.revision
        item = self.objects[kind, name] = _Item(name, self.revision, made, spec)
        self.changes.append((self.revision, kind, item.data, False))
        return 200, item.data

    def _delete(self, kind, name, revision):
        current = self.objects.get((kind, name))
        if current is None:
            return 404, b"null"
        if revision not in (0, current.revision):
            return 409, current.data
        self.revision += 1
        del self.objects[kind, name]
        self.changes.append((self.revision, kind, current.data, True))
        return 200, current.data

    async def watch(self, kind, since, seconds):
        """Return the changes of a kind after a revision, as soon as there is one."""
        end = time.monotonic() + seconds
        async with self.changed:
            while True:
                events = []
                for revision, its_kind, item, gone in reversed(self.changes):
                    if revision <= since:
                        break
                    if its_kind == kind:
                        flag = b"true" if gone else b"false"
                        events.append(b'{"object":%b,"gone":%b}' % (item, flag))
                left = end - time.monotonic()
                if events or left <= 0:
                    joined = b",".join(events[::-1])
                    return b'{"events":[%b],"at":%d}' % (joined, self.revision)
                try:
                    await asyncio.wait_for(self.changed.wait(), left)
                except TimeoutError:
                    continue

    async def serve(self, reader, writer):
        """Serve the calls of one connection."""
        try:
            while await self._serve_one(reader, writer):
                pass
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    async def _serve_one(self, reader, writer):
        line = await reader.readline()
        if not line:
            return False
        method, target, _ = line.decode().split()
        length = 0
        while (field := await reader.readline()).strip():
            key, _, value = field.decode().partition(":")
            if key.lower() == "content-length":
                length = int(value)
        body = await reader.readexactly(length)
        url = urlsplit(target)
        query = {key: values[0] for key, values in parse_qs(url.query).items()}
        kind, _, name = url.path.removeprefix(_PREFIX).partition("/")
        if "watch" in query:
            seconds = min(30.0, int(query.get("wait_ms", "0")) / 1000)
            status, data = 200, await self.watch(kind, int(query["watch"]), seconds)
        else:
            before = self.revision
            status, data = self.call(method, kind, name, query, body)
            if self.revision != before:
                async with self.changed:
                    self.changed.notify_all()
        head = f"HTTP/1.1 {status} X\r\nContent-Type: application/json\r\n"
        writer.write(head.encode() + b"Content-Length: %d\r\n\r\n" % len(data) + data)
        await writer.drain()
        return True


async def main(address, value_bytes):
    """Serve until the process is ended."""
    host, _, port = address.rpartition(":")
    store = Store(value_bytes)
    server = await asyncio.start_server(store.serve, host, int(port), limit=4_194_304)
    async with server:
        await server.serve_forever()


if __name__ == "__main__":
    asyncio.run(main(sys.argv[1], int(sys.argv[2])))
