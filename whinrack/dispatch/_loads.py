"""How much work the other instances have at each target. Decisions only, no I/O."""

from collections import Counter

__all__ = ["LoadsElsewhere"]

# Counts of an instance that was not heard for so long don't count any more, seconds.
_FRESH_SECONDS = 1.5


class LoadsElsewhere:
    """Sums up what other instances say of their requests in flight.

    Targets are named by short numbers, see `TargetState.digest`.
    """

    def __init__(self):
        self._counts: dict[str, dict[int, int]] = {}
        self._heard_at: dict[str, float] = {}
        self._totals: Counter[int] = Counter()

    def heard(self, instance: str, counts: dict[int, int], now: float) -> None:
        """Take in the requests in flight of one instance, by target."""
        self._replace(instance, counts)
        self._heard_at[instance] = now
        for silent in [name for name, at in self._heard_at.items() if now - at > _FRESH_SECONDS]:
            self._replace(silent, {})
            del self._heard_at[silent]

    def at(self, digest: int) -> int:
        """Return the requests in flight of all others at a target."""
        return self._totals[digest]

    def _replace(self, instance: str, counts: dict[int, int]) -> None:
        self._totals.subtract(self._counts.pop(instance, {}))
        if counts:
            self._counts[instance] = counts
            self._totals.update(counts)
