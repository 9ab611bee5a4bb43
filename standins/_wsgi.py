"""JSON over WSGI helpers that the stand-ins share, based on eventlet."""

import json
import os
import signal
import socket

import eventlet
import eventlet.wsgi

__all__ = ["Reply", "listen", "read_body", "respond", "serve"]


class Reply(Exception):
    """Exception that ends a request with a status and a JSON value."""

    def __init__(self, status: int, value=None, headers=()):
        super().__init__(status)
        self.headers = headers
        self.status = status
        self.value = value


def read_body(environ) -> bytes:
    """Read the whole request body."""
    return environ["wsgi.input"].read()


def respond(start_response, status: int, value=None, headers=()):
    """Send a JSON value as the response."""
    body = b"" if value is None else json.dumps(value).encode()
    fields = [("Content-Type", "application/json"), ("Content-Length", str(len(body)))]
    start_response(f"{status} Status", [*fields, *headers])
    return [body]


def listen(port: int = 0) -> socket.socket:
    """Open a listening socket on the loopback address."""
    sock = eventlet.listen(("127.0.0.1", port), backlog=1024, reuse_port=False)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    return sock


def serve(application, sock: socket.socket) -> None:
    """Print the port and serve until SIGTERM."""
    signal.signal(signal.SIGTERM, lambda *_: os._exit(0))
    print(f"port {sock.getsockname()[1]}", flush=True)
    eventlet.wsgi.server(
        sock,
        application,
        log_output=False,
        debug=False,
        max_size=20_000,
        socket_timeout=60,
        minimum_chunk_size=1,
    )
