"""Loads that other instances put on each target; pure logic without I/O."""

from collections import Counter

__all__ = ["RemoteLoads"]

# Seconds after which the counts of an instance expire.
_FRESH_SECONDS = 1.5


class _LoadTotals:
    """Counts by target, summed over instances."""

    def __init__(self):
        self._by_instance: dict[str, dict[int, int]] = {}
        self._totals: Counter[int] = Counter()

    def replace(self, instance: str, counts: dict[int, int]) -> None:
        self._totals.subtract(self._by_instance.pop(instance, {}))
        if counts:
            self._by_instance[instance] = counts
            self._totals.update(counts)

    def at(self, digest: int) -> int:
        return self._totals[digest]


class RemoteLoads:
    """Totals of the loads that other instances report.

    Targets are identified by their digest, see `TargetState.digest`.
    """

    def __init__(self):
        self._requests = _LoadTotals()
        self._unread = _LoadTotals()
        self._updated_at: dict[str, float] = {}

    def update(
        self,
        instance: str,
        counts: dict[int, int],
        now: float,
        unread: dict[int, int] | None = None,
    ) -> None:
        """Replace the requests in flight and unread prompt tokens of one instance, by target."""
        self._replace(instance, counts, unread or {})
        self._updated_at[instance] = now
        self.expire(now)

    def expire(self, now: float) -> None:
        """Forget the counts of instances that were not heard from lately."""
        for stale in [name for name, at in self._updated_at.items() if now - at > _FRESH_SECONDS]:
            self._replace(stale, {}, {})
            del self._updated_at[stale]

    def requests_at(self, digest: int) -> int:
        """Return the requests in flight of all other instances at a target."""
        return self._requests.at(digest)

    def unread_tokens_at(self, digest: int) -> int:
        """Return the prompt tokens that a target has yet to process for all other instances."""
        return self._unread.at(digest)

    def _replace(self, instance: str, counts: dict[int, int], unread: dict[int, int]) -> None:
        self._requests.replace(instance, counts)
        self._unread.replace(instance, unread)
