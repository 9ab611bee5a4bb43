"""A request with its response, and the limits of requests."""

import msgspec

from whinrack.clock import steady
from whinrack.http1._messages import Headers, RequestHead

__all__ = ["ResponseWriter", "Exchange", "ServerLimits"]


class ServerLimits(msgspec.Struct, frozen=True):
    """Size limits and timeouts of requests.

    Attributes
    ----------
    head_bytes, body_bytes : int
        Maximum sizes of a request's head and body.
    head_seconds : float
        Maximum time from a request's first byte to the end of its head, in seconds.
    body_seconds : float
        Maximum time to receive the body, in seconds.
    idle_seconds : float
        Maximum time that a connection may be idle between requests, in seconds.
    write_seconds : float
        Maximum time that a write may block on a caller that doesn't read, in seconds.
    """

    head_bytes: int = 16_384
    body_bytes: int = 4_194_304
    head_seconds: float = 3.0
    body_seconds: float = 10.0
    idle_seconds: float = 15.0
    write_seconds: float = 15.0


class ResponseWriter:
    """Interface through which an exchange sends its response."""

    def send_response(self, status: int, headers: Headers, body: bytes | None) -> None:
        """Send a head, and the complete body with its length unless `body` is None."""
        raise NotImplementedError

    def send_data(self, data: bytes) -> None:
        """Send a part of a body that is sent in parts."""
        raise NotImplementedError

    def end_response(self) -> None:
        """Mark the end of a body that was sent in parts."""
        raise NotImplementedError

    def try_hold(self, size: int) -> bool:
        """Let the response hold further bytes until the request ends, if there is memory."""
        return True


class Exchange:
    """A request and its response, as passed to the handler.

    Attributes
    ----------
    head : RequestHead
        Method, target and headers.
    body : bytes
        The complete body.
    received_at : float
        Steady clock when the request was completely read.
    is_started : bool
        Whether the head of a response has been sent.
    is_finished : bool
        Whether the response has been sent completely.
    added_headers : Headers
        Headers that are added to the response.
    """

    def __init__(self, connection: ResponseWriter, head: RequestHead, body: bytes):
        self._connection = connection
        self.head = head
        self.body = body
        self.received_at = steady()
        self.is_started = False
        self.is_finished = False
        self.added_headers: Headers = []

    def respond(self, status: int, headers: Headers, body: bytes) -> None:
        """Send a complete response.

        Raises
        ------
        CallerGone
            If the caller has closed the connection or doesn't read.
        """
        self.is_started = True
        self._connection.send_response(status, [*headers, *self.added_headers], body)
        self.is_finished = True

    def start_response(self, status: int, headers: Headers) -> None:
        """Send the head of a response whose body is sent in parts."""
        self.is_started = True
        self._connection.send_response(status, [*headers, *self.added_headers], None)

    def try_hold(self, size: int) -> bool:
        """Let the response hold further bytes, if there is memory for them.

        Returns
        -------
        bool
            If False, the response has to be sent as it arrives.
        """
        return self._connection.try_hold(size)

    def write(self, data: bytes) -> None:
        """Send a part of the response body."""
        self._connection.send_data(data)

    def finish(self) -> None:
        """Mark the end of the response body."""
        self._connection.end_response()
        self.is_finished = True
