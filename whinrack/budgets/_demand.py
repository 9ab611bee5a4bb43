"""Estimate of the rate at which a budget is spent and of the tokens to hold for it."""

import math

__all__ = ["DemandEstimate"]

# Shortest period that a rate is computed from: the first requests alone tell little.
_MIN_OBSERVED_SECONDS = 2.0
# Standard deviations above the mean for which tokens are held. With the mean alone, a seldom used
# budget held the tokens of three requests when an outage of 8 s began, although its account had
# twenty times as much free.
_STANDARD_DEVIATIONS = 2.0


class DemandEstimate:
    """Exponentially weighted rate of tokens per second.

    Parameters
    ----------
    half_life : float
        Seconds after which the weight of a past request is halved.
    """

    def __init__(self, half_life: float = 30.0):
        self.half_life = half_life
        self._weighted_tokens = 0.0
        self._updated_at: float | None = None
        self._first_at: float | None = None

    def record(self, tokens: int, now: float) -> None:
        """Add the tokens of one request."""
        self._decay(now)
        if self._first_at is None:
            self._first_at = now
        self._weighted_tokens += tokens

    def age(self, now: float) -> float:
        """Return the seconds since the first request, 0 before it."""
        return 0.0 if self._first_at is None else now - self._first_at

    def rate(self, now: float) -> float:
        """Return the rate in tokens per second."""
        self._decay(now)
        if self._first_at is None:
            return 0.0
        # Corrects for the part of the exponential window before the first request.
        seen = 1.0 - 0.5 ** (max(_MIN_OBSERVED_SECONDS, now - self._first_at) / self.half_life)
        return self._weighted_tokens * math.log(2) / self.half_life / seen

    def recent_tokens(self, now: float) -> float:
        """Return the tokens recorded so far, each request weighted by its age."""
        self._decay(now)
        return self._weighted_tokens

    def upper_bound(self, now: float, horizon: float, largest: int) -> int:
        """Return a number of tokens that suffices for `horizon` seconds in nearly all cases.

        Arrivals are random: where a few requests are expected, twice as many may come. The
        standard deviation of their sum is taken as the square root of its mean times the tokens
        of a large request.

        Parameters
        ----------
        largest : int
            Tokens of the largest request so far.
        """
        mean = self.rate(now) * horizon
        return int(mean + _STANDARD_DEVIATIONS * math.sqrt(mean * largest))

    def expected_tokens(self, now: float, horizon: float) -> int:
        """Return the tokens expected to be used in `horizon` seconds at the current rate."""
        return int(self.rate(now) * horizon)

    def _decay(self, now: float) -> None:
        if self._updated_at is not None and now > self._updated_at:
            self._weighted_tokens *= 0.5 ** ((now - self._updated_at) / self.half_life)
        self._updated_at = now if self._updated_at is None else max(now, self._updated_at)
