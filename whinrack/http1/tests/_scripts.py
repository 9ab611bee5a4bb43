"""Loopback servers that write the bytes that a test specifies."""

import socket
import struct
import threading
from collections.abc import Callable

RESET_ON_CLOSE = struct.pack("ii", 1, 0)


class ScriptedServer:
    """Server that accepts connections and runs a script on each, in separate threads."""

    def __init__(self, script: Callable[[socket.socket], None]):
        self.script = script
        self.accepted = 0
        self._listener = socket.create_server(("127.0.0.1", 0))
        self.address = self._listener.getsockname()
        threading.Thread(target=self._accept, daemon=True).start()

    def _accept(self):
        while True:
            try:
                sock, _ = self._listener.accept()
            except OSError:
                return
            self.accepted += 1
            threading.Thread(target=self._run, args=(sock,), daemon=True).start()

    def _run(self, sock):
        try:
            self.script(sock)
        except OSError:
            pass
        finally:
            sock.close()

    def close(self):
        self._listener.close()


def read_head(sock: socket.socket) -> tuple[bytes, bytes]:
    """Read the head of a request; return it and what was received of the body."""
    data = b""
    while b"\r\n\r\n" not in data:
        more = sock.recv(65536)
        if not more:
            raise OSError("closed")
        data += more
    head, _, body = data.partition(b"\r\n\r\n")
    return head, body


def read_request(sock: socket.socket) -> bytes:
    """Read a request that has a Content-Length or no body."""
    head, body = read_head(sock)
    length = 0
    for line in head.split(b"\r\n"):
        if line.lower().startswith(b"content-length:"):
            length = int(line.split(b":")[1])
    while len(body) < length:
        body += sock.recv(65536)
    return head + b"\r\n\r\n" + body


def reset(sock: socket.socket) -> None:
    """Close the socket so that the peer's next read fails with a reset."""
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
    sock.close()
