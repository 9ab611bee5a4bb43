"""Timeout for answers of the store, adapted to its response times."""

__all__ = ["AdaptiveTimeout"]

# The slowest known store answers in 0.39 s when it suddenly becomes slow. With watches that are
# held for 1 s and started 0.1 s apart, a silent connection is detected within 1.6 s.
_MIN_SECONDS = 0.5
# A store that was down is called again only after this timeout, so it adds to the time until the
# store's return is detected.
_MAX_SECONDS = 0.8
# Weights of a new sample and multiple of the deviation, as in TCP's retransmission timer
# (RFC 6298).
_MEAN_WEIGHT = 1 / 8
_DEVIATION_WEIGHT = 1 / 4
_DEVIATION_FACTOR = 4
# Factor after a lost answer.
_BACKOFF = 2


class AdaptiveTimeout:
    """Estimates the timeout for an answer, as TCP does for its retransmissions.

    A long fixed timeout detects a silent connection late: with 0.8 s, changes of leaving targets
    arrived 1.9 s old. With a short fixed timeout the answers of a slow store count as lost.
    """

    def __init__(self):
        self._mean: float | None = None
        self._deviation = 0.0
        self._backoff = 1

    @property
    def seconds(self) -> float:
        """Timeout for the next answer, seconds."""
        return min(_MAX_SECONDS, self._backoff * self._expected())

    def shorten(self, wait: float) -> float:
        """Return how long to hold a call, so that a longer timeout does not detect silence later.

        Parameters
        ----------
        wait : float
            Seconds for which to hold the call with the shortest timeout.
        """
        return max(0.0, wait - (self.seconds - _MIN_SECONDS))

    def record_response(self, seconds: float) -> None:
        """Record the response time of an answer."""
        self._backoff = 1
        if self._mean is None:
            self._mean, self._deviation = seconds, seconds / 2
            return
        off = abs(seconds - self._mean)
        self._deviation += _DEVIATION_WEIGHT * (off - self._deviation)
        self._mean += _MEAN_WEIGHT * (seconds - self._mean)

    def record_response_within(self, seconds: float) -> None:
        """Record an answer whose response time is unknown but at most `seconds`."""
        if seconds < self._expected():
            self._backoff = 1

    def record_timeout(self) -> None:
        """Record a lost answer; the next timeout is longer, because the store may only be slow."""
        self._backoff = _BACKOFF

    def _expected(self) -> float:
        mean = self._mean or 0.0
        return max(_MIN_SECONDS, mean + _DEVIATION_FACTOR * self._deviation)
