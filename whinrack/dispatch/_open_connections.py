"""The connections on which requests are under way, by target."""

from whinrack.dispatch._target_state import TargetState
from whinrack.http1 import ConnectionPool, TargetConnection

__all__ = ["OpenConnections"]


class OpenConnections:
    """Knows what is under way at each target, to end it when the target is known to have ended.

    Parameters
    ----------
    connections : ConnectionPool
    """

    def __init__(self, connections: ConnectionPool):
        self.connections = connections
        self._by_target: dict[TargetState, set[TargetConnection]] = {}

    def add(self, state: TargetState, connection: TargetConnection) -> None:
        """Learn that a request goes out on a connection."""
        self._by_target.setdefault(state, set()).add(connection)

    def remove(self, state: TargetState, connection: TargetConnection | None) -> None:
        """Learn that a request has ended; None if it had no connection."""
        connections = self._by_target.get(state, set())
        connections.discard(connection)
        if not connections:
            self._by_target.pop(state, None)

    def abort_replaced(self, state: TargetState) -> None:
        """End what is under way at an earlier start: its answers never come.

        Behind a cut link no reset tells so, and callers would wait for their deadlines.
        """
        for connection in list(self._by_target.get(state, ())):
            connection.abort()
        self.connections.forget(state.address)
