"""Reads the requests of one connection within limits of size, time and memory."""

import re
from collections.abc import Callable

import eventlet
import h11

from whinrack.clock import steady
from whinrack.exceptions import (
    BadRequest,
    BodyTooLarge,
    HeadersTooLarge,
    Refusal,
    RequestTimeout,
)
from whinrack.http1._block_buffer import BlockBuffer
from whinrack.http1._caller_resources import CallerResources
from whinrack.http1._chunked_body import ChunkedBody
from whinrack.http1._exchange import ServerLimits

__all__ = ["RequestReader", "stated_size"]

_READ_BYTES = 65_536
# Size of the first read of a request, which takes a head and a small body.
_FIRST_READ_BYTES = 16_384
# The empty line that ends a head, or trailers; h11 accepts bare line feeds as well.
_EMPTY_LINE = re.compile(rb"\n\r?\n")
_EMPTY_LINE_BYTES = 3
_TRAILERLESS_END = b"\r\n"
_LAST_CHUNK_HEAD = b"0\r\n"
# Chunks after which a body counts as one of small chunks, if they are no longer than this on
# average: decoding them takes much more time than receiving them.
_MANY_CHUNKS = 1_024
_SMALL_CHUNK_BYTES = 512
_HEAD_TOO_LARGE_STATUS = 431


class RequestReader:
    """Reads heads and bodies, and keeps what was received beyond them.

    h11 gets the bytes of a message up to its end only. Chunked bodies are decoded here, as h11
    takes several microseconds for each chunk.

    Parameters
    ----------
    sock : green socket
    protocol : h11.Connection
    resources : CallerResources
    hold : callable
        Called with the number of bytes held and the largest body allowed; see
        `CallerResources.hold`.

    Attributes
    ----------
    received : bytes
        Bytes that belong to later parts of the request, or to later requests.
    """

    def __init__(
        self,
        sock,
        protocol: h11.Connection,
        resources: CallerResources,
        hold: Callable[[int, int], None],
    ):
        self.sock = sock
        self.protocol = protocol
        self.resources = resources
        self.hold = hold
        self.received = b""
        self._body = BlockBuffer()

    def drop(self) -> None:
        """Free what was read, of a request that is refused."""
        self.received = b""
        self._body.clear()

    def count_received(self) -> None:
        """Count what was received as held.

        Raises
        ------
        ReceivingOverloaded
            If there is no memory for it.
        """
        self.hold(len(self.received), 0)

    def wait(self, seconds: float) -> bool:
        """Wait for the first bytes of a request; return False if none arrived in time."""
        if self.received:
            return True
        self.sock.settimeout(seconds)
        try:
            self.received = self.sock.recv(_FIRST_READ_BYTES)
        except OSError:
            return False
        return bool(self.received)

    def read_head(self, limits: ServerLimits) -> h11.Request:
        """Read the head of a request.

        Raises
        ------
        Refusal
            If the head is malformed, too large or late, or if there is no memory for it.
        """
        end = self._find_empty_line(limits.head_bytes, steady() + limits.head_seconds)
        event = self._parse(self._take(end))
        if not isinstance(event, h11.Request):
            raise BadRequest("the request is malformed")
        if _head_size(event) > limits.head_bytes:
            raise HeadersTooLarge(f"request head exceeds {limits.head_bytes} bytes")
        return event

    def read_body(self, size: int | None, limits: ServerLimits) -> bytes:
        """Read the body of the request whose head was read last.

        Parameters
        ----------
        size : int or None
            See `stated_size`.
        limits : ServerLimits

        Raises
        ------
        Refusal
            If the body is malformed, too large or late, or if there is no memory for it.
        """
        deadline = steady() + limits.body_seconds
        if size is None:
            self._read_chunked_body(limits, deadline)
        else:
            self._read_sized_body(size, limits, deadline)
        return self._body.take()

    # --- bodies ------------------------------------------------------------------

    def _read_sized_body(self, size: int, limits: ServerLimits, deadline: float) -> None:
        body = self._body = BlockBuffer()
        left = size
        while not isinstance(event := self._next_event(), h11.EndOfMessage):
            if isinstance(event, h11.Data):
                body.append(event.data)
                continue
            if not self.received:
                self._receive(deadline, body.size, limits.body_bytes)
            piece = self._take(min(left, len(self.received)))
            left -= len(piece)
            self.protocol.receive_data(piece)

    def _read_chunked_body(self, limits: ServerLimits, deadline: float) -> None:
        body = ChunkedBody(limits.body_bytes, limits.head_bytes)
        self._body = body.data
        self._decode(body, deadline)
        while not body.has_ended:
            self._receive(deadline, body.data.size, limits.body_bytes)
            self._decode(body, deadline)
        self._read_trailers(limits, deadline)

    def _decode(self, body: ChunkedBody, deadline: float) -> None:
        is_small = body.data.size < body.chunk_count * _SMALL_CHUNK_BYTES
        if body.chunk_count < _MANY_CHUNKS or not is_small:
            self.received = body.decode(self.received)
            return
        with self.resources.decoding_turn(deadline):
            self.received = body.decode(self.received)

    def _read_trailers(self, limits: ServerLimits, deadline: float) -> None:
        """Read the trailers after the last chunk; their values are not used."""
        while len(self.received) < len(_TRAILERLESS_END):
            self._receive(deadline)
        if self.received.startswith(_TRAILERLESS_END):
            end = len(_TRAILERLESS_END)
        else:
            end = self._find_empty_line(limits.head_bytes, deadline)
        event = self._parse(_LAST_CHUNK_HEAD + self._take(end))
        if not isinstance(event, h11.EndOfMessage):
            raise BadRequest("the end of the request body is malformed")

    # --- bytes -------------------------------------------------------------------

    def _find_empty_line(self, max_bytes: int, deadline: float) -> int:
        """Return the position after the next empty line, receiving until there is one."""
        searched = 0
        while True:
            found = _EMPTY_LINE.search(self.received, max(0, searched - _EMPTY_LINE_BYTES))
            if found is not None:
                return found.end()
            searched = len(self.received)
            if searched > max_bytes:
                raise HeadersTooLarge(f"request head exceeds {max_bytes} bytes")
            self._receive(deadline)

    def _take(self, size: int) -> bytes:
        taken, self.received = self.received[:size], self.received[size:]
        return taken

    def _receive(self, deadline: float, body_bytes: int = 0, allowed: int = 0) -> None:
        """Receive further bytes of a request.

        Parameters
        ----------
        deadline : float
            Steady clock until which to wait.
        body_bytes : int, optional
            Bytes of the body that are held already.
        allowed : int, optional
            See `CallerResources.hold`.
        """
        # A caller that sends faster than this connection reads never lets it wait.
        eventlet.sleep(0)
        remaining = deadline - steady()
        if remaining <= 0:
            raise RequestTimeout("the request took too long to arrive")
        self.sock.settimeout(remaining)
        try:
            data = self.sock.recv(_READ_BYTES)
        except TimeoutError as error:
            raise RequestTimeout("the request took too long to arrive") from error
        if not data:
            raise BadRequest("the request ended early")
        self.received += data
        self.hold(len(self.received) + body_bytes, allowed)

    def _parse(self, message: bytes):
        """Pass all bytes up to the end of a head or of a message to h11."""
        try:
            self.protocol.receive_data(message)
        except h11.RemoteProtocolError as error:
            raise _malformed_refusal(error) from error
        return self._next_event()

    def _next_event(self):
        try:
            return self.protocol.next_event()
        except h11.RemoteProtocolError as error:
            raise _malformed_refusal(error) from error


def stated_size(request: h11.Request, limits: ServerLimits) -> int | None:
    """Return the size of a request's body, None if it is chunked.

    Raises
    ------
    BodyTooLarge
        If the size exceeds the limit.
    """
    headers = dict(request.headers)
    if b"transfer-encoding" in headers:
        return None
    size = int(headers.get(b"content-length", b"0"))
    if size > limits.body_bytes:
        raise BodyTooLarge(f"request body exceeds {limits.body_bytes} bytes")
    return size


def _head_size(request: h11.Request) -> int:
    """Return the size of a request head without optional white space."""
    line = len(request.method) + len(request.target) + len(b"  HTTP/1.1\r\n")
    fields = sum(len(name) + len(value) + len(b": \r\n") for name, value in request.headers)
    return line + fields


def _malformed_refusal(error: h11.RemoteProtocolError) -> Refusal:
    if error.error_status_hint == _HEAD_TOO_LARGE_STATUS:
        return HeadersTooLarge("the request head is too large")
    return BadRequest("the request is malformed")
