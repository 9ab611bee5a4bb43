"""Bytes of a request that are sent while its response is awaited."""

import contextlib
import socket

import eventlet
from eventlet import hubs
from eventlet.green import socket as green_socket

__all__ = ["SendBuffer"]

_NOTHING = memoryview(b"")


class SendBuffer:
    """The bytes of the latest request that the kernel has not taken yet.

    A target may respond before it has read the whole request, and read on later or never. So
    sending never waits; the read of the response sends on whenever the kernel takes more.

    Parameters
    ----------
    sock : green socket

    Attributes
    ----------
    sent_bytes : int
        Number of bytes of the latest request that the kernel has taken.
    has_failed : bool
        Whether a send has failed; the rest of the request is dropped.
    """

    def __init__(self, sock: green_socket.socket):
        self.sent_bytes = 0
        self.has_failed = False
        self._sock = sock
        self._unsent = _NOTHING
        self._is_closed = False

    @property
    def is_whole(self) -> bool:
        """Whether the whole request was sent and the connection takes a further one."""
        return not (self._unsent or self.has_failed or self._is_closed)

    def start(self, data: bytes) -> None:
        """Begin to send a request."""
        self.sent_bytes = 0
        self._unsent = memoryview(data)
        self.flush()

    def flush(self) -> None:
        """Send what the kernel takes without waiting."""
        while self._unsent:
            try:
                size = self._sock.fd.send(self._unsent)
            except BlockingIOError:
                return
            except OSError:
                self.has_failed = True
                self._unsent = _NOTHING
                return
            self.sent_bytes += size
            # An empty slice would keep the request in memory while the connection is idle.
            self._unsent = self._unsent[size:] or _NOTHING

    def close(self) -> None:
        """Drop what is not sent and shut down the sending side."""
        self._is_closed = True
        self._unsent = _NOTHING
        with contextlib.suppress(OSError):
            self._sock.shutdown(socket.SHUT_WR)

    def wait(self, timeout: float) -> None:
        """Wait until the socket has data to read or takes more to send.

        Raises
        ------
        TimeoutError
            If neither happens within `timeout` seconds.
        """
        if not self._unsent:
            hubs.trampoline(self._sock.fd, read=True, timeout=timeout, timeout_exc=TimeoutError)
            return
        _wait_for_read_or_write(self._sock.fd.fileno(), timeout)


def _wait_for_read_or_write(fileno: int, timeout: float) -> None:
    """Wait until a descriptor is ready; `trampoline` waits for one direction only."""
    hub, waiter = hubs.get_hub(), eventlet.getcurrent()
    is_waiting = True

    def wake(_fileno: int) -> None:
        # The hub may report both directions in one round, although the first one has removed
        # the listeners.
        nonlocal is_waiting
        if is_waiting:
            is_waiting = False
            waiter.switch()

    def do_nothing() -> None:
        pass

    timer = hub.schedule_call_global(timeout, waiter.throw, TimeoutError)
    listeners = []
    try:
        for direction in (hub.READ, hub.WRITE):
            listeners.append(hub.add(direction, fileno, wake, waiter.throw, do_nothing))
        hub.switch()
    finally:
        is_waiting = False
        timer.cancel()
        for listener in listeners:
            hub.remove(listener)
