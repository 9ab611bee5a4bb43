"""Connections of urllib3 whose replies are bounded in size and time.

A reply that never ends would otherwise fill the memory, and one that arrives faster than it is read
would let no other task run.
"""

import functools
import http.client
import io

import eventlet
import msgspec
import urllib3

from whinrack.clock import steady

__all__ = ["ReplyBounds", "bounded_connection_pool"]

# Maximum size of the head of a reply with the interim ones before it.
_MAX_HEAD_BYTES = 262_144
# Bytes that are read before other tasks get a turn, even if more can be read without waiting.
_TURN_BYTES = 262_144


class ReplyBounds(msgspec.Struct, frozen=True):
    """What a sound reply does not exceed.

    Attributes
    ----------
    body_bytes : int
    seconds : float
        Time from the request to the end of the reply. Each single read has a timeout of its own.
    """

    body_bytes: int
    seconds: float


class _ReplyUnboundedError(OSError):
    """A reply is longer than any sound one, or does not end."""


class _BoundedReader(io.RawIOBase):
    """Reader of one reply.

    Attributes
    ----------
    max_bytes : int
        Bytes that may be read in all.
    """

    def __init__(self, raw: io.RawIOBase, seconds: float):
        self.max_bytes = _MAX_HEAD_BYTES
        self._raw = raw
        self._bytes = self._bytes_in_turn = 0
        self._ends_at = steady() + seconds

    def readable(self) -> bool:
        return True

    def readinto(self, buffer) -> int | None:
        count = self._raw.readinto(buffer)
        self._bytes += count or 0
        self._bytes_in_turn += count or 0
        if self._bytes > self.max_bytes or steady() > self._ends_at:
            raise _ReplyUnboundedError("the reply does not end")
        if self._bytes_in_turn >= _TURN_BYTES:
            self._bytes_in_turn = 0
            eventlet.sleep(0)
        return count

    def close(self) -> None:
        self._raw.close()
        super().close()


class _ReplySocket:
    """The part of a socket that `http.client` uses to read a reply."""

    def __init__(self, sock, seconds: float):
        self.reader = _BoundedReader(sock.makefile("rb", buffering=0), seconds)

    def makefile(self, _mode: str) -> io.BufferedReader:
        return io.BufferedReader(self.reader)


class _BoundedResponse(http.client.HTTPResponse):
    def __init__(self, bounds: ReplyBounds, sock, *args, **kwargs):
        self._bounds = bounds
        reply_socket = _ReplySocket(sock, bounds.seconds)
        super().__init__(reply_socket, *args, **kwargs)
        self._reader = reply_socket.reader

    def begin(self) -> None:
        """Read the head, interim ones before it included."""
        super().begin()
        self._reader.max_bytes += self._bounds.body_bytes


def bounded_connection_pool(bounds: ReplyBounds) -> type[urllib3.HTTPConnectionPool]:
    """Return a class of connection pools whose replies fail with an `HTTPError` beyond bounds."""

    class BoundedConnection(urllib3.connection.HTTPConnection):
        response_class = functools.partial(_BoundedResponse, bounds)

    class BoundedConnectionPool(urllib3.HTTPConnectionPool):
        ConnectionCls = BoundedConnection

    return BoundedConnectionPool
