"""The longest recent runs of each pool; pure logic without I/O."""

__all__ = ["RunTimes"]

# Runs of the current and the previous period are considered, in seconds.
_PERIOD_SECONDS = 30.0
# A run may take this many times as long as the longest known one.
_FACTOR = 2.0


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

    def observe(self, pool: str, seconds: float, now: float) -> None:
        """Record the duration of a complete run."""
        self._longest.setdefault(pool, _Longest(now)).observe(seconds, now)

    def latest_end(self, pool: str, sent_at: float, deadline: float) -> float:
        """Return the time until which a run may last, at most the deadline its target was given."""
        longest = self._longest.get(pool)
        if longest is None:
            return deadline
        return min(deadline, sent_at + _FACTOR * max(longest.current, longest.previous))
