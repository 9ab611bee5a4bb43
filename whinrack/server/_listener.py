"""Listening socket of the WSGI server."""

import socket

import eventlet

from whinrack.observability import Event, log_event

__all__ = ["CallerListener"]

_BACKLOG = 1024
_RETRY_SECONDS = 0.05


class CallerListener:
    """Listening socket that outlives failures to accept a connection.

    The WSGI server closes its socket at the first failure, such as a lack of file descriptors, and
    the router would refuse all connections from then on.

    Parameters
    ----------
    address : tuple of str and int

    Raises
    ------
    OSError
        If another process listens there.
    """

    def __init__(self, address: tuple[str, int]):
        self._sock = eventlet.listen(address, backlog=_BACKLOG, reuse_port=False)
        # Accepted connections inherit this option: no token is held back for the next one.
        self._sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self._is_closed = False
        self.family = self._sock.family

    def accept(self):
        """Return the next connection and its address."""
        is_logged = False
        while True:
            try:
                return self._sock.accept()
            except OSError as error:
                if self._is_closed:
                    raise
                if not is_logged:
                    log_event(Event.TASK_FAILED, task="accept", error=repr(error))
                is_logged = True
                eventlet.sleep(_RETRY_SECONDS)

    def getsockname(self) -> tuple[str, int]:
        """Return the address."""
        return self._sock.getsockname()

    def close(self) -> None:
        """Stop listening."""
        self._is_closed = True
        self._sock.close()
