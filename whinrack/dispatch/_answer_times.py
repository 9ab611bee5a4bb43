"""How long a target may be silent before it is suspected to hang. Decisions only, no I/O."""

from whinrack.dispatch._values import PoolRecord

__all__ = ["AnswerTimes"]

# Silence that is suspicious, as a multiple of the time that answers of the pool usually take
# to begin, and its bounds in seconds. Chosen so that slow answers of a sound target stay
# below; not measured.
_FACTOR = 6.0
_SERVICE_BOUNDS = (0.15, 1.5)
_ENGINE_BOUNDS = (1.0, 3.0)
# Weight of the latest answer in the usual time.
_WEIGHT = 0.05


class AnswerTimes:
    """How long the targets of each pool take until an answer begins, as seen from here."""

    def __init__(self):
        self._averages: dict[str, float] = {}

    def observe(self, pool: str, seconds: float) -> None:
        """Learn how long an answer took to begin."""
        average = self._averages.get(pool, seconds)
        self._averages[pool] = average + _WEIGHT * (seconds - average)

    def silence_timeout(self, pool: PoolRecord) -> float:
        """Return the seconds of silence after which a target is suspected."""
        shortest, longest = _SERVICE_BOUNDS if pool.engine is None else _ENGINE_BOUNDS
        average = self._averages.get(pool.name)
        return longest if average is None else min(longest, max(shortest, _FACTOR * average))
