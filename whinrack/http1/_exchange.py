"""One request and its answer, and what callers may send."""

import msgspec

from whinrack.clock import steady
from whinrack.http1._messages import Headers, RequestHead

__all__ = ["ResponseWriter", "Exchange", "ServerLimits"]


class ServerLimits(msgspec.Struct, frozen=True):
    """What a caller may send, and how long it may take.

    Attributes
    ----------
    head_bytes, body_bytes : int
        Most bytes of a request's head and body.
    head_seconds : float
        Seconds from a request's first byte to the end of its head.
    body_seconds : float
        Seconds that the body may take.
    idle_seconds : float
        Seconds that a connection may rest between requests.
    write_seconds : float
        Seconds that one write may be held up by a caller that doesn't read.
    """

    head_bytes: int = 16_384
    body_bytes: int = 4_194_304
    head_seconds: float = 3.0
    body_seconds: float = 10.0
    idle_seconds: float = 15.0
    write_seconds: float = 15.0


class ResponseWriter:
    """Where the parts of an answer go."""

    def send_response(self, status: int, headers: Headers, body: bytes | None) -> None:
        """Send a head, and the whole body with its length unless it is None."""
        raise NotImplementedError

    def send_data(self, data: bytes) -> None:
        """Send a part of a body that comes in pieces."""
        raise NotImplementedError

    def end_response(self) -> None:
        """End such a body as a whole one."""
        raise NotImplementedError


class Exchange:
    """One request and the answer to it, as the handler sees it.

    Attributes
    ----------
    head : RequestHead
        Method, target and headers.
    body : bytes
        The whole body.
    arrived : float
        Steady clock when the request had been read.
    started : bool
        Whether the head of an answer has been sent.
    """

    def __init__(self, connection: ResponseWriter, head: RequestHead, body: bytes):
        self._connection = connection
        self.head = head
        self.body = body
        self.received_at = steady()
        self.is_started = False
        self.is_finished = False

    def respond(self, status: int, headers: Headers, body: bytes) -> None:
        """Send a whole answer.

        Raises
        ------
        CallerGone
        """
        self.is_started = True
        self._connection.send_response(status, headers, body)
        self.is_finished = True

    def start_response(self, status: int, headers: Headers) -> None:
        """Send the head of an answer that comes in pieces."""
        self.is_started = True
        self._connection.send_response(status, headers, None)

    def write(self, data: bytes) -> None:
        """Send a piece of the answer."""
        self._connection.send_data(data)

    def finish(self) -> None:
        """End the answer as a whole one."""
        self._connection.end_response()
        self.is_finished = True
