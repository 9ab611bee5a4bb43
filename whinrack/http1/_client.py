"""HTTP/1.1 client for targets: persistent connections that match responses to requests."""

import contextlib
import socket
import struct
from collections.abc import Callable, Iterator

import eventlet
import h11
from eventlet.green import socket as green_socket

from whinrack.clock import steady
from whinrack.exceptions import (
    AnswerCut,
    AnswerUnbounded,
    AttemptTimeout,
    TargetUnavailable,
)
from whinrack.http1._messages import Headers, RequestHead, ResponseHead, header_value
from whinrack.http1._send_buffer import SendBuffer
from whinrack.http1._sockets import receive
from whinrack.keepalive import KEEPALIVE_OPTIONS

__all__ = ["ConnectionPool", "TargetConnection"]

_READ_BYTES = 65_536
_MAX_HEAD_BYTES = 65_536
# The connect timeout is this multiple of the average connect time, within the bounds in
# seconds. Targets are a few milliseconds away, and a lost SYN is retransmitted after a second;
# but an instance whose own link or processor is saturated must not attribute that to its
# targets.
_CONNECT_TIMEOUT_FACTOR = 8.0
_CONNECT_TIMEOUT_BOUNDS = (0.3, 1.0)
# Weight of the latest connection in the moving average of connect times.
_CONNECT_TIME_WEIGHT = 0.1
_DEFAULT_IDLE_SECONDS = 4.0
# Fraction of a target's stated keep-alive timeout within which a connection is reused.
_IDLE_FRACTION = 0.5
_MAX_UNRELATED_RESPONSES = 4
_MAX_INTERIM_RESPONSES = 16
# Maximum size of the body of a response to another request, which is discarded.
_MAX_DISCARDED_BYTES = 1_048_576
_MAX_BODY_BYTES = 67_108_864
# Bytes that are read before other tasks get a turn, even if more can be read without waiting.
_TURN_BYTES = 262_144
_HTTP_MAJOR_VERSION = b"1."
_MAX_STATUS = 599
# Status that h11 suggests if the receive buffer exceeds its maximum size.
_HEAD_TOO_LARGE_STATUS = 431
# Linger structure with which closing a socket resets its connection.
_RESET_ON_CLOSE = struct.pack("ii", 1, 0)
# States of the response in which all of it has been received.
_WHOLE_RESPONSE_STATES = (h11.DONE, h11.MUST_CLOSE, h11.CLOSED)


class TargetConnection:
    """A connection to a target that carries one request at a time."""

    def __init__(self, address: tuple[str, int], sock):
        self.address = address
        self.sock = sock
        # Steady clock time at which the connection attempt began.
        self.opened_at = 0.0
        # Size of the latest response, including its head.
        self.received_bytes = 0
        self.idle_seconds = _DEFAULT_IDLE_SECONDS
        self.released_at = 0.0
        # The target closed its sending side without a reset: no more data comes, and none is lost.
        self.is_closed_by_target = False
        self._protocol = h11.Connection(h11.CLIENT, max_incomplete_event_size=_MAX_HEAD_BYTES)
        self._request: RequestHead | None = None
        self._closed = False
        self._aborted = False
        self._outgoing = SendBuffer(sock)
        self._bytes_in_turn = 0
        # An event that was parsed after data received with it; the next one to be returned.
        self._pending_event = None

    @property
    def sent_bytes(self) -> int:
        """Number of bytes of the latest request that were sent, including its head."""
        return self._outgoing.sent_bytes

    @property
    def has_sent_request(self) -> bool:
        """Whether the latest request was sent to its end, and the sending side is still open."""
        return self._outgoing.is_whole

    @property
    def is_reused(self) -> bool:
        """Whether the connection has carried an earlier request."""
        return self.released_at > 0.0

    @classmethod
    def connect(cls, address: tuple[str, int], timeout: float) -> "TargetConnection":
        """Connect to a target.

        Raises
        ------
        TargetUnavailable
            If the connection fails or takes longer than `timeout` seconds; caused by the
            `OSError`.
        """
        try:
            sock = _connect(address, timeout)
        except OSError as error:
            reason = "timed out" if isinstance(error, TimeoutError) else error.strerror or "failed"
            raise TargetUnavailable(f"connection to the target: {reason}") from error
        return cls(address, sock)

    def send(self, request: RequestHead, body: bytes) -> None:
        """Send a request without waiting; reading the response sends the rest of it.

        A send error is reported when the response is read.
        """
        self._request = request
        headers = list(request.headers)
        if body or request.method not in (b"GET", b"HEAD", b"DELETE"):
            headers.append((b"content-length", b"%d" % len(body)))
        events = [h11.Request(method=request.method, target=request.target, headers=headers)]
        if body:
            events.append(h11.Data(data=body))
        events.append(h11.EndOfMessage())
        data = b"".join(self._protocol.send(event) for event in events)
        self.received_bytes = 0
        self._outgoing.start(data)

    def read_head(
        self, deadline: float, is_own_response: Callable[[Headers], bool]
    ) -> ResponseHead:
        """Read the head of the response; complete responses to other requests are skipped.

        Parameters
        ----------
        deadline : float
            Steady clock until which to wait.
        is_own_response : callable
            Tells from its headers whether a response belongs to the request that was sent.

        Raises
        ------
        AnswerCut
            If the target closes without a response, or sends only responses to other requests.
        AnswerUnbounded
            If it sends too many interim responses, or too long a response to another request.
        AttemptTimeout
            If the deadline passes.
        """
        for _ in range(_MAX_UNRELATED_RESPONSES):
            event = self._next_final_response(deadline)
            if not isinstance(event, h11.Response):
                raise AnswerCut("the target closed the connection without a response")
            if is_own_response(event.headers):
                self._update_idle_seconds(event.headers)
                return ResponseHead(event.status_code, list(event.headers))
            self._skip_unrelated_response(deadline)
        raise AnswerCut("the target sent only responses to other requests")

    def _next_final_response(self, deadline: float):
        for _ in range(_MAX_INTERIM_RESPONSES + 1):
            event = self._next_event(deadline)
            if isinstance(event, h11.Response | h11.InformationalResponse):
                _check_status_line(event)
            if not isinstance(event, h11.InformationalResponse):
                return event
        raise AnswerUnbounded("the target sent only interim responses")

    def read_data(self, deadline: float) -> bytes | None:
        """Return the next part of the body, all that has been received; None at its end.

        Raises
        ------
        AnswerCut
            If the connection breaks, or the body ends before it is complete.
        AttemptTimeout
            If the deadline passes.
        """
        event = self._next_event(deadline)
        if isinstance(event, h11.Data):
            return bytes(event.data) + self._read_buffered_data()
        if isinstance(event, h11.EndOfMessage):
            return None
        raise AnswerCut("the response body ended early")

    def _read_buffered_data(self) -> bytes:
        """Return the rest of the body received so far, without waiting."""
        parts = []
        while self._pending_event is None:
            try:
                event = self._protocol.next_event()
            except h11.RemoteProtocolError:
                # h11 raises it again once the data before it has been returned.
                break
            if event is h11.NEED_DATA:
                break
            if isinstance(event, h11.Data):
                parts.append(bytes(event.data))
            else:
                self._pending_event = event
        return b"".join(parts)

    def iter_data(self, deadline: float, max_bytes: int = _MAX_BODY_BYTES) -> Iterator[bytes]:
        """Yield the rest of the body; raises as `read_data` does.

        Raises
        ------
        AnswerUnbounded
            If the rest of the body is longer than `max_bytes`.
        """
        size = 0
        while (data := self.read_data(deadline)) is not None:
            size += len(data)
            if size > max_bytes:
                raise AnswerUnbounded("the response body exceeds the maximum length")
            yield data

    def close_write(self) -> None:
        """Shut down the sending side: a target that notices stops its work and closes as well."""
        self._outgoing.close()

    @property
    def has_whole_response(self) -> bool:
        """Whether the latest response was received to its end."""
        return self._protocol.their_state in _WHOLE_RESPONSE_STATES

    def is_reusable(self) -> bool:
        """Return whether request and response are complete and no unread bytes are left.

        The protocol state tells only what was passed to be sent. If a part of the request was not
        sent, the target would take the next request for the rest of this one.
        """
        protocol = self._protocol
        done = protocol.our_state is h11.DONE and protocol.their_state is h11.DONE
        is_open = not (self._closed or self.is_closed_by_target)
        return done and is_open and self.has_sent_request and not protocol.trailing_data[0]

    def prepare_reuse(self) -> bool:
        """Prepare the connection for another request.

        Returns
        -------
        bool
            False if the connection can't be reused.
        """
        if steady() - self.released_at > self.idle_seconds * _IDLE_FRACTION:
            return False
        if _is_readable(self.sock):
            # Closed by the target, or an unsolicited response.
            return False
        # The end of a response that its reader did not wait for.
        self._pending_event = None
        self._protocol.start_next_cycle()
        return True

    def abort(self) -> None:
        """Interrupt a pending read of the response, because the target has restarted."""
        self._aborted = True
        with contextlib.suppress(OSError):
            self.sock.shutdown(socket.SHUT_RDWR)

    def close(self) -> None:
        """Close the connection; a target that still works on its request notices."""
        if not self._closed:
            self._closed = True
            self.sock.close()

    def reset(self) -> None:
        """Close the connection, and discard what the kernel has not delivered yet.

        After a `close` the kernel still delivers a request that a broken path has held up.
        """
        with contextlib.suppress(OSError):
            self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET_ON_CLOSE)
        self.close()

    def _next_event(self, deadline: float):
        if self._pending_event is not None:
            event, self._pending_event = self._pending_event, None
            return event
        while True:
            try:
                event = self._protocol.next_event()
            except h11.RemoteProtocolError as error:
                raise _protocol_failure(error) from error
            if event is not h11.NEED_DATA:
                return event
            self._receive(deadline)

    def _receive(self, deadline: float) -> None:
        try:
            data = receive(self.sock, _READ_BYTES, deadline, self._outgoing)
        except TimeoutError as error:
            raise AttemptTimeout("the target did not respond in time") from error
        except OSError as error:
            raise AnswerCut("the connection to the target broke") from error
        if self._aborted:
            # Without this check a response delimited by connection close would look complete.
            raise AnswerCut("the target has restarted")
        if not data and self._outgoing.has_failed:
            # The kernel reports a reset once, so after the send has met it the rest looks complete.
            raise AnswerCut("the connection to the target broke")
        self.is_closed_by_target = self.is_closed_by_target or not data
        self.received_bytes += len(data)
        try:
            self._protocol.receive_data(data)
        except h11.RemoteProtocolError as error:
            raise AnswerCut("the target sent malformed HTTP") from error
        # Last, as the reader may be interrupted here and must not lose what was received.
        self._take_turns(len(data), deadline)

    def _take_turns(self, size: int, deadline: float) -> None:
        """Let other tasks run now and then, as a fast target may never let a read wait."""
        self._bytes_in_turn += size
        if self._bytes_in_turn < _TURN_BYTES:
            return
        self._bytes_in_turn = 0
        eventlet.sleep(0)
        if steady() >= deadline:
            raise AttemptTimeout("the target did not end its response in time")

    def _skip_unrelated_response(self, deadline: float) -> None:
        """Discard a late response to another request and prepare to read the next response."""
        for _ in self.iter_data(deadline, _MAX_DISCARDED_BYTES):
            pass
        rest, closed = self._protocol.trailing_data
        if closed or self._protocol.their_state is not h11.DONE:
            raise AnswerCut("the target answered another request and closed the connection")
        self._protocol = h11.Connection(h11.CLIENT, max_incomplete_event_size=_MAX_HEAD_BYTES)
        request = self._request
        self._protocol.send(
            h11.Request(method=request.method, target=request.target, headers=request.headers)
        )
        self._protocol.send(h11.EndOfMessage())
        if rest:
            self._protocol.receive_data(rest)

    def _update_idle_seconds(self, headers: Headers) -> None:
        for part in header_value(headers, b"keep-alive").split(b","):
            name, _, value = part.strip().partition(b"=")
            if name.lower() == b"timeout" and value.isdigit():
                self.idle_seconds = float(value)


class ConnectionPool:
    """A pool of idle connections by target; the most recently used one is reused first."""

    def __init__(self):
        self._average_connect_seconds = 0.0
        self._idle: dict[tuple[str, int], list[TargetConnection]] = {}

    @property
    def average_connect_seconds(self) -> float:
        """Moving average of the time that new connections take, failed attempts included."""
        return self._average_connect_seconds

    @property
    def connect_timeout(self) -> float:
        """Timeout of a new connection in seconds, from the average connect time."""
        lowest, highest = _CONNECT_TIMEOUT_BOUNDS
        return min(highest, max(lowest, _CONNECT_TIMEOUT_FACTOR * self._average_connect_seconds))

    def acquire(self, address: tuple[str, int], deadline: float) -> TargetConnection:
        """Return an idle connection, or open a new one.

        Raises
        ------
        TargetUnavailable
            If a new connection can't be opened before the connect timeout or the deadline.
        """
        idle = self._idle.get(address, [])
        while idle:
            connection = idle.pop()
            if connection.prepare_reuse():
                return connection
            connection.close()
        began = steady()
        try:
            connection = TargetConnection.connect(
                address, max(0.01, min(self.connect_timeout, deadline - began))
            )
            connection.opened_at = began
            return connection
        finally:
            # Failed attempts count as well: if all of them time out, the own link is the cause.
            took = steady() - began
            self._average_connect_seconds += _CONNECT_TIME_WEIGHT * (
                took - self._average_connect_seconds
            )

    def release(self, connection: TargetConnection) -> None:
        """Keep a connection whose response is complete for reuse; close any other.

        A connection whose request was given up, or not sent to its end, is reset, so that the
        request does not arrive later.
        """
        if not (connection.has_whole_response and connection.has_sent_request):
            connection.reset()
            return
        if not connection.is_reusable():
            connection.close()
            return
        connection.released_at = steady()
        self._idle.setdefault(connection.address, []).append(connection)

    def close_idle(self, address: tuple[str, int]) -> None:
        """Close the idle connections to an address."""
        for connection in self._idle.pop(address, []):
            connection.close()

    def close(self) -> None:
        """Close all idle connections."""
        for idle in self._idle.values():
            while idle:
                idle.pop().close()


def _protocol_failure(error: h11.RemoteProtocolError) -> AnswerCut:
    if error.error_status_hint == _HEAD_TOO_LARGE_STATUS:
        return AnswerUnbounded("the target sent a head, chunk or trailer without end")
    return AnswerCut("the target sent malformed HTTP")


def _check_status_line(event: h11.Response | h11.InformationalResponse) -> None:
    """Raise `AnswerCut` for what h11 accepts, but HTTP/1 does not define."""
    is_http_1 = event.http_version.startswith(_HTTP_MAJOR_VERSION)
    if not is_http_1 or event.status_code > _MAX_STATUS:
        raise AnswerCut("the target sent an invalid status line")


def _connect(address: tuple[str, int], timeout: float):
    sock = green_socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    sock.settimeout(timeout)
    try:
        sock.connect(address)
    except BaseException:
        sock.close()
        raise
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    for option in KEEPALIVE_OPTIONS:
        sock.setsockopt(*option)
    return sock


def _is_readable(sock) -> bool:
    """Return whether data or an end of stream can be read; the raw socket never blocks."""
    try:
        sock.fd.recv(1, socket.MSG_PEEK)
    except BlockingIOError:
        return False
    except OSError:
        return True
    return True
