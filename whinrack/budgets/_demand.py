"""How fast a budget is spent here, and how many tokens to hold for that."""

import math

__all__ = ["DemandEstimate"]

# A rate is worked out from so many seconds at least: the first requests alone tell little.
_MIN_OBSERVED_SECONDS = 2.0
# Standard deviations beyond the mean for which tokens are held. With the mean alone a budget that
# is seldom used held three requests' tokens when an outage of 8 s began, while the books had
# twenty times as much free.
_STANDARD_DEVIATIONS = 2.0


class DemandEstimate:
    """Exponentially weighted rate of tokens a second.

    Parameters
    ----------
    half_life : float
        Seconds after which a past request weighs half.
    """

    def __init__(self, half_life: float = 30.0):
        self.half_life = half_life
        self._weighted_tokens = 0.0
        self._updated_at: float | None = None
        self._first_at: float | None = None

    def record(self, tokens: int, now: float) -> None:
        """Count the tokens of one request."""
        self._decay(now)
        if self._first_at is None:
            self._first_at = now
        self._weighted_tokens += tokens

    def age(self, now: float) -> float:
        """Return the seconds since the first request, 0 before it."""
        return 0.0 if self._first_at is None else now - self._first_at

    def rate(self, now: float) -> float:
        """Return the tokens a second."""
        self._decay(now)
        if self._first_at is None:
            return 0.0
        # A young estimate has not seen a full period yet.
        seen = 1.0 - 0.5 ** (max(_MIN_OBSERVED_SECONDS, now - self._first_at) / self.half_life)
        return self._weighted_tokens * math.log(2) / self.half_life / seen

    def upper_bound(self, now: float, horizon: float, largest: int) -> int:
        """Return tokens that suffice for a time in nearly all cases, not just on average.

        Requests come by chance: where a few are expected, twice as many may come. Their sum is
        spread by the square root of its mean times the tokens of a large request.

        Parameters
        ----------
        largest : int
            Tokens of the largest request so far.
        """
        mean = self.rate(now) * horizon
        return int(mean + _STANDARD_DEVIATIONS * math.sqrt(mean * largest))

    def expected_tokens(self, now: float, horizon: float) -> int:
        """Return the tokens that last for `horizon` seconds at the present rate."""
        return int(self.rate(now) * horizon)

    def _decay(self, now: float) -> None:
        if self._updated_at is not None and now > self._updated_at:
            self._weighted_tokens *= 0.5 ** ((now - self._updated_at) / self.half_life)
        self._updated_at = now if self._updated_at is None else max(now, self._updated_at)
