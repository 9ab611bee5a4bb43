"""Connections with requests in progress, by target."""

from whinrack.dispatch._target_state import TargetState
from whinrack.http1 import ConnectionPool, TargetConnection

__all__ = ["OpenConnections"]


class OpenConnections:
    """Tracks open connections by target, to abort them when the target is replaced.

    Parameters
    ----------
    connections : ConnectionPool
    """

    def __init__(self, connections: ConnectionPool):
        self.connections = connections
        self._by_target: dict[TargetState, set[TargetConnection]] = {}

    def add(self, state: TargetState, connection: TargetConnection) -> None:
        """Add a connection on which a request is about to be sent."""
        self._by_target.setdefault(state, set()).add(connection)

    def remove(self, state: TargetState, connection: TargetConnection | None) -> None:
        """Remove a connection whose request has ended; None is ignored."""
        connections = self._by_target.get(state, set())
        connections.discard(connection)
        if not connections:
            self._by_target.pop(state, None)

    def abort_replaced(self, state: TargetState) -> None:
        """Abort the connections to a replaced target, since their answers will never arrive.

        Behind a broken link no reset arrives, and callers would wait until their deadlines.
        """
        for connection in list(self._by_target.get(state, ())):
            connection.abort()
        self.connections.close_idle(state.address)
