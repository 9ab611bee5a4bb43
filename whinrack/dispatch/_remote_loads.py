"""How much work the other instances have at each target. Decisions only, no I/O."""

from collections import Counter

__all__ = ["RemoteLoads"]

# Counts of an instance that was not heard for so long don't count any more, seconds.
_FRESH_SECONDS = 1.5


class _LoadTotals:
    """Numbers of several instances by target, summed up."""

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
    """Sums up what other instances say of their requests in flight.

    Targets are named by short numbers, see `TargetState.digest`.
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
        """Take in the requests in flight of one instance, and their unread tokens, by target."""
        self._replace(instance, counts, unread or {})
        self._updated_at[instance] = now
        for stale in [name for name, at in self._updated_at.items() if now - at > _FRESH_SECONDS]:
            self._replace(stale, {}, {})
            del self._updated_at[stale]

    def requests_at(self, digest: int) -> int:
        """Return the requests in flight of all others at a target."""
        return self._requests.at(digest)

    def unread_tokens_at(self, digest: int) -> int:
        """Return the prompt tokens that a target has to read for all others."""
        return self._unread.at(digest)

    def _replace(self, instance: str, counts: dict[int, int], unread: dict[int, int]) -> None:
        self._requests.replace(instance, counts)
        self._unread.replace(instance, unread)
