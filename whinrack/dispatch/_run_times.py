"""How long the recent runs of each pool took; pure logic without I/O."""

import math
from collections import deque

__all__ = ["RunTimes"]

# Runs of the current and the previous period are considered, in seconds.
_PERIOD_SECONDS = 30.0
# A run may take this many times as long as the longest known one.
_FACTOR = 2.0
# Latest runs from which the time left of a run is estimated, and the fewest that tell something.
_MAX_RECENT_RUNS = 50
_MIN_RECENT_RUNS = 5


class _Longest:
    """The longest run of one pool in the current and in the previous period."""

    def __init__(self, now: float):
        self.began_at = now
        self.current = 0.0
        self.previous = 0.0

    def observe(self, seconds: float, now: float) -> None:
        if now - self.began_at >= _PERIOD_SECONDS:
            self.began_at, self.previous, self.current = now, self.current, 0.0
        self.current = max(self.current, seconds)


class RunTimes:
    """Tracks how long runs take, by pool."""

    def __init__(self):
        self._longest: dict[str, _Longest] = {}
        self._recent: dict[str, deque[float]] = {}

    def observe(self, pool: str, seconds: float, now: float) -> None:
        """Record the duration of a complete run."""
        self._longest.setdefault(pool, _Longest(now)).observe(seconds, now)
        self._recent.setdefault(pool, deque(maxlen=_MAX_RECENT_RUNS)).append(seconds)

    def expected_seconds_left(self, pool: str, elapsed: float) -> float:
        """Return how much longer a run is expected to take, infinite if that is not known.

        This is the mean of what was left of those recent runs that took longer than `elapsed`.
        """
        recent = self._recent.get(pool, ())
        longer = [seconds for seconds in recent if seconds > elapsed]
        if len(recent) < _MIN_RECENT_RUNS or not longer:
            return math.inf
        return sum(longer) / len(longer) - elapsed

    def latest_end(self, pool: str, sent_at: float, deadline: float) -> float:
        """Return the time until which a run may last, at most the deadline its target was given."""
        longest = self._longest.get(pool)
        if longest is None:
            return deadline
        return min(deadline, sent_at + _FACTOR * max(longest.current, longest.previous))
