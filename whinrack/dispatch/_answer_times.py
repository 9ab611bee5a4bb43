"""Silence timeouts derived from the usual answer times; pure logic without I/O."""

from whinrack.dispatch._values import PoolRecord

__all__ = ["AnswerTimes"]

# The silence timeout as a multiple of the average time until an answer of the pool begins, and its
# bounds in seconds. It has to exceed the slow answers of a healthy target.
_FACTOR = 6.0
_SERVICE_BOUNDS = (0.15, 1.5)
_ENGINE_BOUNDS = (1.0, 3.0)
# Weight of the latest answer in the moving average.
_WEIGHT = 0.05


class AnswerTimes:
    """Moving averages of the time until answers begin, by pool."""

    def __init__(self):
        self._averages: dict[str, float] = {}

    def observe(self, pool: str, seconds: float) -> None:
        """Record the time that an answer took to begin."""
        average = self._averages.get(pool, seconds)
        self._averages[pool] = average + _WEIGHT * (seconds - average)

    def silence_timeout(self, pool: PoolRecord) -> float:
        """Return the seconds of silence after which a target is suspected to hang."""
        shortest, longest = _SERVICE_BOUNDS if pool.engine is None else _ENGINE_BOUNDS
        average = self._averages.get(pool.name)
        return longest if average is None else min(longest, max(shortest, _FACTOR * average))
