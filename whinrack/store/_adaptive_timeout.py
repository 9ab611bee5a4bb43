"""How late a store's answer may come before it counts as lost."""

__all__ = ["AdaptiveTimeout"]

# The slowest store that is known of answers in 0.39 s when it suddenly turns slow; with watches
# held for 1 s and begun 0.1 s apart, a connection that fell silent shows within 1.6 s.
_MIN_SECONDS = 0.5
# A store that was away is asked again after as long: what is waited here comes on top of the time
# until its return is noticed.
_MAX_SECONDS = 0.8
# Weights of a new sample and the number of deviations, of TCP's retransmission timer (RFC 6298).
_MEAN_WEIGHT = 1 / 8
_DEVIATION_WEIGHT = 1 / 4
_DEVIATION_FACTOR = 4
# After a lost answer.
_BACKOFF = 2


class AdaptiveTimeout:
    """Estimates how long to wait for an answer, as TCP does for its retransmissions.

    A fixed wait is either long, so that a silent connection shows late (0.8 s let news of
    leaving targets come 1.9 s old), or takes a slow store for a lost one.
    """

    def __init__(self):
        self._mean: float | None = None
        self._deviation = 0.0
        self._backoff = 1

    @property
    def seconds(self) -> float:
        """How long to wait for the next answer."""
        return min(_MAX_SECONDS, self._backoff * self._expected())

    def record_response(self, seconds: float) -> None:
        """Take in the seconds that an answer took."""
        self._backoff = 1
        if self._mean is None:
            self._mean, self._deviation = seconds, seconds / 2
            return
        off = abs(seconds - self._mean)
        self._deviation += _DEVIATION_WEIGHT * (off - self._deviation)
        self._mean += _MEAN_WEIGHT * (seconds - self._mean)

    def record_response_within(self, seconds: float) -> None:
        """Take in that an answer took at most so many seconds; how many isn't known."""
        if seconds < self._expected():
            self._backoff = 1

    def record_timeout(self) -> None:
        """Wait longer for the next answer: the store may only be slow."""
        self._backoff = _BACKOFF

    def _expected(self) -> float:
        mean = self._mean or 0.0
        return max(_MIN_SECONDS, mean + _DEVIATION_FACTOR * self._deviation)
