"""Reads that tell a reset from an end."""

from eventlet import hubs

from whinrack.clock import steady

__all__ = ["receive"]


def receive(sock, size: int, deadline: float) -> bytes:
    """Read at most `size` bytes until the steady clock reaches `deadline`; empty at an end.

    eventlet's own `recv` returns an empty read for a reset connection as well, so that
    an answer that ends with its connection would look whole where it was cut.

    Raises
    ------
    TimeoutError
    OSError
        Among others where the connection was reset.
    """
    raw = sock.fd
    while True:
        try:
            return raw.recv(size)
        except TimeoutError as error:
            # The kernel's probes went unanswered: the connection is gone, not merely slow.
            raise ConnectionAbortedError(*error.args) from error
        except BlockingIOError:
            remaining = deadline - steady()
            if remaining <= 0:
                raise TimeoutError("nothing to read in time") from None
            hubs.trampoline(raw, read=True, timeout=remaining, timeout_exc=TimeoutError)
