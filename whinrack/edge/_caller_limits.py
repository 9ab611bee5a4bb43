"""How much of an instance's memory and sockets its callers may take up."""

from whinrack.clock import steady
from whinrack.edge._options import EdgeOptions
from whinrack.http1 import CallerResources, ShedReason
from whinrack.observability import Event, Metrics, log_event

__all__ = ["SheddingLog", "caller_resources"]

# The rest of the memory is for the process itself, copies of what callers send, and answers of
# targets that are being relayed.
_MEMORY_FRACTION = 1 / 8
_KERNEL_MEMORY_FRACTION = 1 / 4
_SOCKET_BUFFER_FRACTION = 1 / 16_384
_SOCKET_BUFFER_BOUNDS = (16_384, 32_768)
# The kernel allows twice the requested size for each of the two buffers of a connection.
_KERNEL_BUFFERS = 4
# The rest of the sockets is for targets, peers and the store.
_SOCKET_FRACTION = 3 / 4
_DEFAULT_MEMORY_BYTES = 2_000_000_000
_DEFAULT_SOCKETS = 100_000
_LOG_INTERVAL_SECONDS = 1.0


class SheddingLog:
    """Counts the connections that are closed for lack of room, and logs them once a second.

    Parameters
    ----------
    metrics : Metrics
    """

    def __init__(self, metrics: Metrics):
        self.metrics = metrics
        self._unlogged: dict[ShedReason, int] = {}
        self._logged_at = float("-inf")

    def record(self, reason: ShedReason) -> None:
        """Record that a connection was closed or not accepted."""
        self.metrics.shed_connections.labels(str(reason)).inc()
        self._unlogged[reason] = self._unlogged.get(reason, 0) + 1
        now = steady()
        if now - self._logged_at >= _LOG_INTERVAL_SECONDS:
            self._logged_at = now
            counts, self._unlogged = self._unlogged, {}
            log_event(
                Event.CONNECTIONS_SHED, **{str(name): counts.get(name, 0) for name in ShedReason}
            )


def caller_resources(options: EdgeOptions, log: SheddingLog) -> CallerResources:
    """Return what the callers of an instance may take up."""
    memory = options.memory_bytes or _DEFAULT_MEMORY_BYTES
    sockets = options.max_sockets or _DEFAULT_SOCKETS
    least, most = _SOCKET_BUFFER_BOUNDS
    buffer_bytes = min(most, max(least, int(memory * _SOCKET_BUFFER_FRACTION)))
    max_buffered = memory * _KERNEL_MEMORY_FRACTION / (_KERNEL_BUFFERS * buffer_bytes)
    max_connections = max(1, int(min(sockets * _SOCKET_FRACTION, max_buffered)))
    return CallerResources(
        int(memory * _MEMORY_FRACTION), max_connections, buffer_bytes, log.record
    )
