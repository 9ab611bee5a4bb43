"""Reads that tell a reset from an end."""

from eventlet import hubs

from whinrack.clock import steady

__all__ = ["receive"]


def receive(sock, size: int, end: float) -> bytes:
    """Read at most `size` bytes until the steady clock reaches `end`; empty at an end.

    eventlet's own `recv` returns an empty read for a reset connection as well, so that
    an answer that ends with its connection would look whole where it was cut.

    Raises
    ------
    TimeoutError
    OSError
        Among others where the connection was reset.
    """
    plain = sock.fd
    while True:
        try:
            return plain.recv(size)
        except TimeoutError as error:
            # The kernel's probes went unanswered: the connection is gone, not merely slow.
            raise ConnectionAbortedError(*error.args) from error
        except BlockingIOError:
            left = end - steady()
            if left <= 0:
                raise TimeoutError("nothing to read in time") from None
            hubs.trampoline(plain, read=True, timeout=left, timeout_exc=TimeoutError)
