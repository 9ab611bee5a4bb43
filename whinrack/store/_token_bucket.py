"""Token bucket that gets the time from its caller."""

__all__ = ["TokenBucket"]


class TokenBucket:
    """Limits the rate of operations, with bursts up to a bound.

    Parameters
    ----------
    rate : float
        Permits per second.
    burst : float
        Maximum number of accumulated permits.

    Examples
    --------
    >>> bucket = TokenBucket(rate=10.0, burst=1.0)
    >>> bucket.reserve(now=0.0), round(bucket.reserve(now=0.0), 2)
    (0.0, 0.1)
    """

    def __init__(self, rate: float, burst: float):
        self.rate = rate
        self.burst = burst
        self._permits = burst
        self._refilled_at: float | None = None

    def reserve(self, now: float) -> float:
        """Reserve one permit and return the seconds to wait before using it."""
        self._refill(now)
        self._permits -= 1.0
        return max(0.0, -self._permits / self.rate)

    def try_acquire(self, now: float) -> bool:
        """Take one permit if one is available now; return whether one was."""
        self._refill(now)
        if self._permits < 1.0:
            return False
        self._permits -= 1.0
        return True

    def _refill(self, now: float) -> None:
        if self._refilled_at is not None:
            self._permits = min(self.burst, self._permits + (now - self._refilled_at) * self.rate)
        self._refilled_at = now
