"""The side towards targets: kept connections whose answers are matched to requests."""

import contextlib
import socket
from collections.abc import Callable, Iterator

import h11
from eventlet.green import socket as green_socket

from whinrack.clock import steady
from whinrack.exceptions import AnswerCut, AttemptTimeout, TargetUnavailable
from whinrack.http1._messages import Headers, RequestHead, ResponseHead, header_value
from whinrack.http1._sockets import receive
from whinrack.keepalive import KEEPALIVE_OPTIONS

__all__ = ["ConnectionPool", "TargetConnection"]

_READ_BYTES = 65_536
_HEAD_BYTES = 65_536
# Patience with a new connection: so many times as long as they usually take from here, in
# seconds at least and at most. Targets are a few milliseconds away, and a lost opening packet
# is sent again after a second; but an instance whose own link or processor is full must not
# take that for a fault of its targets.
_CONNECT_TIMEOUT_FACTOR = 8.0
_CONNECT_TIMEOUT_BOUNDS = (0.3, 1.0)
# Weight of the latest connection in the usual time.
_CONNECT_TIME_WEIGHT = 0.1
_DEFAULT_IDLE_SECONDS = 4.0
# Part of a target's stated idle time for which a connection is used again.
_IDLE_FRACTION = 0.5
_MAX_UNRELATED_RESPONSES = 4


class TargetConnection:
    """One connection to a target, for one request at a time."""

    def __init__(self, address: tuple[str, int], sock):
        self.address = address
        self.sock = sock
        # Of the latest request and its answer, heads included.
        self.sent_bytes = 0
        self.received_bytes = 0
        self.idle_seconds = _DEFAULT_IDLE_SECONDS
        self.released_at = 0.0
        # The target has ended its side by its own will: nothing more comes, nothing is lost.
        self.is_closed_by_target = False
        self._protocol = h11.Connection(h11.CLIENT, max_incomplete_event_size=_HEAD_BYTES)
        self._request: RequestHead | None = None
        self._closed = False
        self._aborted = False
        # Was met behind data that had arrived with it; the next one to be returned.
        self._pending_event = None

    @classmethod
    def connect(cls, address: tuple[str, int], timeout: float) -> "TargetConnection":
        """Connect.

        Raises
        ------
        TargetUnavailable
        """
        try:
            sock = _connect(address, timeout)
        except OSError as error:
            raise TargetUnavailable("no connection to the target") from error
        return cls(address, sock)

    def send(self, request: RequestHead, body: bytes, deadline: float) -> None:
        """Send a whole request. A failure on the way shows when the answer is read."""
        self._request = request
        headers = list(request.headers)
        if body or request.method not in (b"GET", b"HEAD", b"DELETE"):
            headers.append((b"content-length", b"%d" % len(body)))
        events = [h11.Request(method=request.method, target=request.target, headers=headers)]
        if body:
            events.append(h11.Data(data=body))
        events.append(h11.EndOfMessage())
        data = b"".join(self._protocol.send(event) for event in events)
        self.sent_bytes, self.received_bytes = len(data), 0
        self.sock.settimeout(max(0.001, deadline - steady()))
        with contextlib.suppress(OSError):
            self.sock.sendall(data)

    def read_head(
        self, deadline: float, is_own_response: Callable[[Headers], bool]
    ) -> ResponseHead:
        """Read the answer's head; whole answers to other requests are skipped.

        Raises
        ------
        AnswerCut, AttemptTimeout
        """
        for _ in range(_MAX_UNRELATED_RESPONSES):
            event = self._next_event(deadline)
            while isinstance(event, h11.InformationalResponse):
                event = self._next_event(deadline)
            if not isinstance(event, h11.Response):
                raise AnswerCut("the target closed without an answer")
            if is_own_response(event.headers):
                self._update_idle_seconds(event.headers)
                return ResponseHead(event.status_code, list(event.headers))
            self._skip_unrelated_response(deadline)
        raise AnswerCut("the target answers other requests only")

    def read_data(self, deadline: float) -> bytes | None:
        """Return the next bytes of the body, all that have arrived; None at its end.

        Raises
        ------
        AnswerCut, AttemptTimeout
        """
        event = self._next_event(deadline)
        if isinstance(event, h11.Data):
            return bytes(event.data) + self._read_buffered_data()
        if isinstance(event, h11.EndOfMessage):
            return None
        raise AnswerCut("the answer ended early")

    def _read_buffered_data(self) -> bytes:
        """Return what more of the body has been received, without waiting."""
        parts = []
        while self._pending_event is None:
            try:
                event = self._protocol.next_event()
            except h11.RemoteProtocolError:
                # Raised again when the data before it has been passed on.
                break
            if event is h11.NEED_DATA:
                break
            if isinstance(event, h11.Data):
                parts.append(bytes(event.data))
            else:
                self._pending_event = event
        return b"".join(parts)

    def iter_data(self, deadline: float) -> Iterator[bytes]:
        """Yield the body to its end; raises as `read_data` does."""
        while (data := self.read_data(deadline)) is not None:
            yield data

    def close_write(self) -> None:
        """Close the sending side: a target that notices ends its work, then its side."""
        with contextlib.suppress(OSError):
            self.sock.shutdown(socket.SHUT_WR)

    def is_reusable(self) -> bool:
        """Whether the answer ended cleanly and nothing unread is left."""
        protocol = self._protocol
        done = protocol.our_state is h11.DONE and protocol.their_state is h11.DONE
        clean = not self._closed and not self.is_closed_by_target and not protocol.trailing_data[0]
        return done and clean

    def prepare_reuse(self) -> bool:
        """Get ready for another request; False if the connection is of no more use."""
        if steady() - self.released_at > self.idle_seconds * _IDLE_FRACTION:
            return False
        if _is_readable(self.sock):
            # Closed by the target, or an answer that nobody asked for.
            return False
        self._protocol.start_next_cycle()
        return True

    def abort(self) -> None:
        """End whatever waits for the answer: the target that it came from is no more."""
        self._aborted = True
        with contextlib.suppress(OSError):
            self.sock.shutdown(socket.SHUT_RDWR)

    def close(self) -> None:
        """Close; a target that still works for it notices."""
        if not self._closed:
            self._closed = True
            self.sock.close()

    def _next_event(self, deadline: float):
        if self._pending_event is not None:
            event, self._pending_event = self._pending_event, None
            return event
        while True:
            try:
                event = self._protocol.next_event()
            except h11.RemoteProtocolError as error:
                raise AnswerCut("the target's bytes are no answer") from error
            if event is not h11.NEED_DATA:
                return event
            self._receive(deadline)

    def _receive(self, deadline: float) -> None:
        try:
            data = receive(self.sock, _READ_BYTES, deadline)
        except TimeoutError as error:
            raise AttemptTimeout("the target gave no answer in time") from error
        except OSError as error:
            raise AnswerCut("the connection broke") from error
        if self._aborted:
            # Without this an answer that its connection's end frames would look whole.
            raise AnswerCut("the target has started anew")
        self.is_closed_by_target = self.is_closed_by_target or not data
        self.received_bytes += len(data)
        try:
            self._protocol.receive_data(data)
        except h11.RemoteProtocolError as error:
            raise AnswerCut("the target's bytes are no answer") from error

    def _skip_unrelated_response(self, deadline: float) -> None:
        """Read a late answer to another request to its end and wait for the own one."""
        for _ in self.iter_data(deadline):
            pass
        rest, closed = self._protocol.trailing_data
        if closed or self._protocol.their_state is not h11.DONE:
            raise AnswerCut("the target answered another request and closed")
        self._protocol = h11.Connection(h11.CLIENT, max_incomplete_event_size=_HEAD_BYTES)
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
    """Idle connections by target, the one used last first."""

    def __init__(self):
        self._average_connect_seconds = 0.0
        self._idle: dict[tuple[str, int], list[TargetConnection]] = {}

    @property
    def connect_timeout(self) -> float:
        """Patience with a new connection."""
        lowest, highest = _CONNECT_TIMEOUT_BOUNDS
        return min(highest, max(lowest, _CONNECT_TIMEOUT_FACTOR * self._average_connect_seconds))

    def acquire(self, address: tuple[str, int], deadline: float) -> TargetConnection:
        """Return a kept connection, or a new one.

        Raises
        ------
        TargetUnavailable
        """
        idle = self._idle.get(address, [])
        while idle:
            connection = idle.pop()
            if connection.prepare_reuse():
                return connection
            connection.close()
        began = steady()
        try:
            return TargetConnection.connect(
                address, max(0.01, min(self.connect_timeout, deadline - began))
            )
        finally:
            # Failed ones too: where all fail after the same time, the link is to blame.
            took = steady() - began
            self._average_connect_seconds += _CONNECT_TIME_WEIGHT * (
                took - self._average_connect_seconds
            )

    def release(self, connection: TargetConnection) -> None:
        """Keep a connection whose answer ended cleanly; close any other."""
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
        """Close the idle connections."""
        for idle in self._idle.values():
            while idle:
                idle.pop().close()


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
    """Whether bytes or an end wait to be read; the plain socket never blocks."""
    try:
        sock.fd.recv(1, socket.MSG_PEEK)
    except BlockingIOError:
        return False
    except OSError:
        return True
    return True
