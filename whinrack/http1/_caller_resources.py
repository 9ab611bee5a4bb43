"""Memory and connections that callers may take up in this process.

All servers of a process share one `CallerResources`. When the memory is used up, the connection
that holds most, or has held it for longest without progress, is closed; when there are too many
connections, the one that has rested longest is.
Requests that are being handled are never interrupted for others.
"""

import contextlib
from collections.abc import Callable, Iterator
from enum import StrEnum

from eventlet.semaphore import Semaphore

from whinrack.clock import steady
from whinrack.exceptions import ReceivingOverloaded, RequestTimeout

__all__ = ["CallerResources", "ShedReason", "SheddableConnection"]

_DEFAULT_SOCKET_BUFFER_BYTES = 65_536
_DEFAULT_MAX_BYTES = 268_435_456
_DEFAULT_MAX_CONNECTIONS = 100_000
# A connection that holds no more than this is not closed for the memory of others, unless the
# memory for callers is exceeded by far.
_SMALL_BYTES = 16_384
_SMALL_EXCESS = 2
# Time without progress below which only the size counts.
_BRIEF_SECONDS = 0.05
# Connections that may wait for their turn to decode small chunks; others would wait too long.
_MAX_WAITING_DECODERS = 32
_RETRY_SECONDS = 1.0


class ShedReason(StrEnum):
    """Why a connection was closed, or not accepted."""

    MEMORY = "memory"
    DECODING = "decoding"
    CONNECTIONS = "connections"
    NOT_ACCEPTED = "not_accepted"


class SheddableConnection:
    """What `CallerResources` knows of a connection.

    Attributes
    ----------
    held_bytes : int
        Memory that the connection holds.
    is_shed : bool
        Whether the connection is being closed to free what it holds.
    resting_since : float
        Steady clock at which the connection was opened, its latest request ended or its caller
        was last seen to read a part of the response.
    progressed_at : float
        Steady clock at which bytes of a request were last received, or of a response last sent.
    """

    def __init__(self):
        self.held_bytes = 0
        self.is_shed = False
        self.resting_since = self.progressed_at = steady()

    @property
    def can_free_memory(self) -> bool:
        """Whether the connection may be closed to free memory."""
        raise NotImplementedError

    @property
    def closing_rank(self) -> int | None:
        """Order in which connections are closed to make room for others, None for never."""
        raise NotImplementedError

    def excess(self, now: float) -> float:
        """Return how much the connection holds for how long without progress, in byte seconds."""
        return self.held_bytes * max(_BRIEF_SECONDS, now - self.progressed_at)

    def free_memory(self) -> None:
        """Refuse the request that is being read, or break off the response that is not read."""
        raise NotImplementedError

    def close_for_room(self) -> None:
        """Close the connection, on which nothing is being handled for a caller that reads."""
        raise NotImplementedError


def _ignore(_reason: ShedReason) -> None:
    pass


class CallerResources:
    """Bounds what the connections of all callers hold.

    Parameters
    ----------
    max_bytes : int
        Memory for requests and responses, in bytes.
    max_connections : int
    socket_buffer_bytes : int
        Size of the receive buffer and of the send buffer of each connection, as requested from the
        kernel.
    on_shed : callable
        Called with the reason each time a connection is closed or not accepted.

    Attributes
    ----------
    held_bytes : int
    """

    def __init__(
        self,
        max_bytes: int = _DEFAULT_MAX_BYTES,
        max_connections: int = _DEFAULT_MAX_CONNECTIONS,
        socket_buffer_bytes: int = _DEFAULT_SOCKET_BUFFER_BYTES,
        on_shed: Callable[[ShedReason], None] = _ignore,
    ):
        self.max_bytes = max_bytes
        self.max_connections = max_connections
        self.socket_buffer_bytes = socket_buffer_bytes
        self.on_shed = on_shed
        self.held_bytes = 0
        self._connections: set[SheddableConnection] = set()
        self._decoding = Semaphore(1)
        self._waiting_decoders = 0

    # --- connections -------------------------------------------------------------

    def admit(self, connection: SheddableConnection) -> bool:
        """Register a new connection, if necessary in place of one that rests.

        Returns
        -------
        bool
            False if all connections are in use.
        """
        if len(self._connections) >= self.max_connections:
            resting = min(
                (other for other in self._connections if other.closing_rank is not None),
                key=lambda other: (other.closing_rank, other.resting_since),
                default=None,
            )
            if resting is None:
                self.on_shed(ShedReason.NOT_ACCEPTED)
                return False
            self._connections.discard(resting)
            resting.close_for_room()
            self.on_shed(ShedReason.CONNECTIONS)
        self._connections.add(connection)
        return True

    def discard(self, connection: SheddableConnection) -> None:
        """Remove a connection that is closed."""
        self._connections.discard(connection)
        self._set_held(connection, 0)

    # --- memory ------------------------------------------------------------------

    def hold(self, connection: SheddableConnection, size: int, allowed: int = 0) -> None:
        """Set the memory that a connection holds; frees that of others if there is too little.

        Parameters
        ----------
        connection : SheddableConnection
        size : int
            Bytes that the connection holds in all.
        allowed : int, optional
            Bytes that a single connection may always hold, even beyond the memory for all.

        Raises
        ------
        ReceivingOverloaded
            If the connection itself holds most.
        """
        if connection.is_shed:
            raise self.overloaded()
        is_growing = size > connection.held_bytes
        self._set_held(connection, size)
        if is_growing:
            self._free_for(connection, max(self.max_bytes, allowed))

    def has_room(self, size: int) -> bool:
        """Return whether further bytes could be held without freeing any."""
        return self.held_bytes + size <= self.max_bytes

    def try_hold(self, connection: SheddableConnection, size: int) -> bool:
        """Let a connection hold further bytes if there is room without freeing any."""
        if not self.has_room(size):
            return False
        self._set_held(connection, connection.held_bytes + size)
        return True

    def _set_held(self, connection: SheddableConnection, size: int) -> None:
        self.held_bytes += size - connection.held_bytes
        connection.held_bytes = size

    def _free_for(self, connection: SheddableConnection, max_bytes: int) -> None:
        while self.held_bytes > max_bytes:
            spared = _SMALL_BYTES if self.held_bytes <= _SMALL_EXCESS * max_bytes else 0
            candidates = [other for other in self._connections if other.can_free_memory]
            large = [other for other in (connection, *candidates) if other.held_bytes > spared]
            if not large:
                return
            now = steady()
            chosen = max(large, key=lambda other: other.excess(now))
            if chosen is connection:
                self.on_shed(ShedReason.MEMORY)
                raise self.overloaded()
            self._free(chosen)

    def _free(self, connection: SheddableConnection) -> None:
        connection.is_shed = True
        self._set_held(connection, 0)
        connection.free_memory()
        self.on_shed(ShedReason.MEMORY)

    def overloaded(self) -> ReceivingOverloaded:
        """Return the refusal of a request that is not received to its end."""
        return ReceivingOverloaded(
            "other callers' requests and responses take up too much", retry_after=_RETRY_SECONDS
        )

    # --- processor ---------------------------------------------------------------

    @contextlib.contextmanager
    def decoding_turn(self, deadline: float) -> Iterator[None]:
        """Wait for the turn to decode small chunks, which only one connection at a time does.

        Raises
        ------
        ReceivingOverloaded
            If too many connections wait for their turn.
        RequestTimeout
            If the steady clock reaches `deadline`.
        """
        if self._waiting_decoders >= _MAX_WAITING_DECODERS:
            self.on_shed(ShedReason.DECODING)
            raise self.overloaded()
        self._waiting_decoders += 1
        try:
            has_turn = self._decoding.acquire(timeout=max(0.0, deadline - steady()))
        finally:
            self._waiting_decoders -= 1
        if not has_turn:
            raise RequestTimeout("the request took too long to arrive")
        try:
            yield
        finally:
            self._decoding.release()
