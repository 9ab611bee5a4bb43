"""Software versions that the targets of a pool had lately; pure logic without I/O."""

from collections.abc import Callable

__all__ = ["VersionHistory"]


class VersionHistory:
    """Remembers by pool which software versions its targets had, and until when.

    It is complete only as long as every change of the target list is known, so it begins anew with
    each list that replaces all records.

    Parameters
    ----------
    clock : callable
        Monotonic clock.
    """

    def __init__(self, clock: Callable[[], float]):
        self.clock = clock
        self.complete_since = float("inf")
        # Time at which a target of each version was last known, by pool.
        self._last_known_at: dict[str, dict[str, float]] = {}

    def restart(self) -> None:
        """Begin anew, because changes may have been missed."""
        self.complete_since = self.clock()
        self._last_known_at.clear()

    def record(self, pool: str, software_version: str) -> None:
        """Record that a target of the pool has, or had until now, a software version."""
        self._last_known_at.setdefault(pool, {})[software_version] = self.clock()

    def versions_since(self, pool: str, since: float) -> set[str] | None:
        """Return the versions that were last known after a time, None if not all are known."""
        if self.complete_since > since:
            return None
        known = self._last_known_at.get(pool, {})
        return {version for version, at in known.items() if at >= since}
