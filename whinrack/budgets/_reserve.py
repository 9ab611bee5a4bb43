"""Reserves of short budgets for urgent routes, like trunk reservation in telephone networks.

Load: a workspace sends small urgent requests and large less urgent ones, and its prepaid budget
won't last until an operator can raise it. First come, first served spends the rest of the budget
on the large requests. While a budget lasts for less than the reserve horizon, a less urgent
request is therefore refused if it would use tokens that more urgent ones are expected to need.

A reserve only refuses. It is worked out anew for each request and moves no tokens, so it can't
overspend a budget, and it shrinks by itself as urgent demand fades.
"""

from collections import Counter
from collections.abc import Collection

import msgspec

from whinrack.budgets._demand import DemandEstimate

__all__ = ["BudgetOutlook", "HeldReserves", "UrgencyDemand", "is_reserved", "more_urgent_share"]

_HALF_LIFE_SECONDS = 8.0
# Weight of the demand of all workspaces in the estimate of one, in requests of average size. Token
# counts of single requests differ by a factor of 100, so fewer requests say little.
_PRIOR_REQUESTS = 30
# A reserve counts as ended this long after it last refused a request.
_HELD_SECONDS = 5.0


class UrgencyDemand:
    """Tokens recently asked for and covered, by urgency (0 is the most urgent)."""

    def __init__(self) -> None:
        self._asked: dict[int, DemandEstimate] = {}
        self._covered: dict[int, DemandEstimate] = {}
        self._requests = DemandEstimate(_HALF_LIFE_SECONDS)
        self._requests_by_urgency: Counter[int] = Counter()

    def record_asked(self, urgency: int, tokens: int, now: float) -> None:
        """Record a request, whether or not it will be covered."""
        self._requests.record(1, now)
        self._requests_by_urgency[urgency] += 1
        self._estimate(self._asked, urgency).record(tokens, now)

    def record_covered(self, urgency: int, tokens: int, now: float) -> None:
        """Record a request that was covered."""
        self._estimate(self._covered, urgency).record(tokens, now)

    def urgencies(self) -> Collection[int]:
        """Return the urgencies that were asked for."""
        return self._asked.keys()

    def lacks_more_urgent(self, urgency: int) -> bool:
        """Return whether enough requests are known to say that none is more urgent."""
        if self._requests_by_urgency.total() < _PRIOR_REQUESTS:
            return False
        return not any(each < urgency for each in self._requests_by_urgency)

    def asked(self, urgency: int, now: float) -> float:
        """Return the tokens that were recently asked for."""
        return _recent_tokens(self._asked, urgency, now)

    def covered(self, urgency: int, now: float) -> float:
        """Return the tokens that were recently covered."""
        return _recent_tokens(self._covered, urgency, now)

    def asked_rate(self, now: float) -> float:
        """Return the tokens per second that were asked for, of all urgencies."""
        return sum(estimate.rate(now) for estimate in self._asked.values())

    def average_request(self, now: float) -> float:
        """Return the average tokens of a request, 0 if none is known."""
        requests = self._requests.recent_tokens(now)
        if requests <= 0:
            return 0.0
        return sum(self.asked(urgency, now) for urgency in self._asked) / requests

    @staticmethod
    def _estimate(estimates: dict[int, DemandEstimate], urgency: int) -> DemandEstimate:
        if urgency not in estimates:
            estimates[urgency] = DemandEstimate(_HALF_LIFE_SECONDS)
        return estimates[urgency]


def _recent_tokens(estimates: dict[int, DemandEstimate], urgency: int, now: float) -> float:
    estimate = estimates.get(urgency)
    return 0.0 if estimate is None else estimate.recent_tokens(now)


def more_urgent_share(
    own: UrgencyDemand, overall: UrgencyDemand, urgency: int, now: float
) -> float:
    """Return the part of a budget's use that is more urgent than a request.

    Parameters
    ----------
    own : UrgencyDemand
        Requests for this budget at this instance.
    overall : UrgencyDemand
        Requests for all budgets at this instance. They weigh as much as some requests for this
        budget, less what this budget refuses: the share is one of the tokens that are used.
    """
    if own.lacks_more_urgent(urgency):
        return 0.0
    one_request = overall.average_request(now)
    asked = sum(overall.asked(each, now) for each in overall.urgencies())
    if asked <= 0:
        return 0.0
    more_urgent = total = 0.0
    for each in overall.urgencies():
        covered = own.covered(each, now)
        covered_part = (covered + one_request) / (max(own.asked(each, now), covered) + one_request)
        prior = _PRIOR_REQUESTS * one_request * overall.asked(each, now) / asked
        weight = covered + prior * covered_part
        total += weight
        more_urgent += weight if each < urgency else 0.0
    return more_urgent / total


class BudgetOutlook(msgspec.Struct, frozen=True):
    """What a budget has left and how fast it is used.

    Attributes
    ----------
    available : float
        Tokens left.
    demand : float
        Tokens used per second.
    horizon : float
        Seconds for which more urgent requests are to be covered.
    """

    available: float
    demand: float
    horizon: float

    def reserve(self, share: float, bound: float) -> int:
        """Return the tokens kept for more urgent requests.

        Parameters
        ----------
        share : float
            Part of the demand that is more urgent.
        bound : float
            Maximum tokens to keep.
        """
        return int(min(bound, self.demand * share * self.horizon))


def is_reserved(outlook: BudgetOutlook, tokens: int, reserve: int) -> bool:
    """Return whether a request would use tokens that are kept for more urgent ones."""
    return reserve > 0 and outlook.available - tokens < reserve


class HeldReserves:
    """Budgets whose reserve has refused requests recently."""

    def __init__(self) -> None:
        self._refused_at: dict[str, float] = {}

    def record_refusal(self, budget: str, now: float) -> bool:
        """Record a refusal; return whether the reserve was not held before."""
        is_new = budget not in self._refused_at
        self._refused_at[budget] = now
        return is_new

    def take_ended(self, now: float) -> list[str]:
        """Return the budgets whose reserve is no longer held, once each."""
        ended = [name for name, at in self._refused_at.items() if now - at >= _HELD_SECONDS]
        for budget in ended:
            del self._refused_at[budget]
        return ended
