"""HTTP/1.1 server: a green thread per connection, one request at a time on each."""

import contextlib
import socket
from collections.abc import Callable

import eventlet

from whinrack.exceptions import Refusal
from whinrack.http1._caller_resources import CallerResources
from whinrack.http1._connection import CallerConnection, ServerBase
from whinrack.http1._exchange import Exchange, ServerLimits
from whinrack.http1._messages import Headers

__all__ = ["HttpServer"]

_BACKLOG = 1024
# Connections that are accepted before other tasks get a turn, even if more are waiting.
_ACCEPTED_IN_TURN = 16
# Accepted sockets inherit these. Without them the kernel lets the buffers of a connection whose
# data is not read grow to megabytes.
_SOCKET_BUFFERS = (socket.SO_RCVBUF, socket.SO_SNDBUF)


def _status_only_response(refusal: Refusal) -> tuple[int, Headers, bytes]:
    return refusal.status, [], b""


class HttpServer(ServerBase):
    """HTTP/1.1 server that calls a handler for each request.

    Parameters
    ----------
    address : tuple of str and int
        Host and port to listen on; port 0 is replaced by the assigned one at `start`.
    handle : callable
        Called with an `Exchange` in a green thread. If it returns without finishing the
        response, the connection is closed. `CallerGone` is raised inside it as soon as
        the caller disconnects.
    refusal_response : callable, optional
        Converts a `Refusal` of an unreadable request into status, headers and body; by
        default only the status is sent.
    limits : callable, optional
        Returns the `ServerLimits` in force.
    resources : CallerResources, optional
        What the connections of this server share with those of others.
    """

    def __init__(
        self,
        address: tuple[str, int],
        handle: Callable[[Exchange], None],
        refusal_response: Callable[[Refusal], tuple[int, Headers, bytes]] = _status_only_response,
        limits: Callable[[], ServerLimits] = ServerLimits,
        resources: CallerResources | None = None,
    ):
        super().__init__(handle, refusal_response, limits, resources)
        self.address = address
        self._listener = None

    def start(self) -> None:
        """Start listening and accept connections in the background."""
        self._listener = eventlet.listen(self.address, backlog=_BACKLOG, reuse_port=False)
        self.address = self._listener.getsockname()
        for option in _SOCKET_BUFFERS:
            with contextlib.suppress(OSError):
                size = self.resources.socket_buffer_bytes
                self._listener.setsockopt(socket.SOL_SOCKET, option, size)
        eventlet.spawn_n(self._accept)

    def stop_listening(self) -> None:
        """Stop accepting connections; open ones continue."""
        if self._listener is not None:
            self._listener.close()
            self._listener = None

    def close_idle(self) -> None:
        """Close the connections on which no request is being read or answered."""
        for connection in list(self.connections):
            connection.close_if_idle()

    def _accept(self) -> None:
        accepted = 0
        while self._listener is not None:
            try:
                sock, _ = self._listener.accept()
            except OSError:
                if self._listener is None:
                    return
                # Out of file descriptors, or the connection was closed before it was accepted.
                eventlet.sleep(0.05)
                continue
            self._serve(sock)
            accepted += 1
            if accepted % _ACCEPTED_IN_TURN == 0:
                eventlet.sleep(0)

    def _serve(self, sock) -> None:
        """Serve a new connection, or close it if there is no room for it."""
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        connection = CallerConnection(self, sock)
        if self.resources.admit(connection):
            eventlet.spawn_n(connection.serve)
        else:
            sock.close()
