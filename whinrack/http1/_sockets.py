"""Socket reads that distinguish a reset from an end of stream."""

from whinrack.clock import steady
from whinrack.http1._send_buffer import SendBuffer

__all__ = ["receive"]


def receive(sock, size: int, deadline: float, outgoing: SendBuffer) -> bytes:
    """Read at most `size` bytes until the steady clock reaches `deadline`; empty at end of stream.

    Sends the rest of the request meanwhile.

    eventlet's own `recv` returns an empty read for a reset connection as well, so that a
    truncated response delimited by connection close would look complete.

    Raises
    ------
    TimeoutError
        If the deadline passes.
    OSError
        If the connection was reset or broke in another way.
    """
    raw = sock.fd
    while True:
        try:
            return raw.recv(size)
        except TimeoutError as error:
            # TCP keepalive probes went unanswered: the connection is lost, not merely slow.
            raise ConnectionAbortedError(*error.args) from error
        except BlockingIOError:
            remaining = deadline - steady()
            if remaining <= 0:
                raise TimeoutError("no data received before the deadline") from None
            outgoing.wait(remaining)
            outgoing.flush()
