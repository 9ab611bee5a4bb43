"""Computation of the instances' shares of one target's rate limit; pure logic without I/O.

A bound limits the requests that may reach a target within a time window. If the fleet is split by a
network partition, each half chooses its own holders, so each half may use half of the bound. One or
two requests per holder are reserved for the burst of its token bucket; the rest is used as rate.
"""

import msgspec

__all__ = ["RateBound", "RateShare", "WarmUpLimits", "compute_share"]

# Fraction of a cold target's rate that the holders use if the bound allows it.
_WARM_UP_UTILIZATION = 0.75
_WARM_UP_BURST = 1.0
# Number of holders: each one adds its burst to what may arrive within a window. Small rates have
# two holders, in case one is unavailable; large rates have one per _RATE_PER_HOLDER, so that
# enough instances with callers can use them.
_MIN_HOLDERS = 2
_RATE_PER_HOLDER = 1.0
# Parts of a partitioned fleet that may choose holders independently.
_MAX_PARTITIONS = 2


class RateBound(msgspec.Struct, frozen=True):
    """Limits on the requests from all instances to one target.

    Attributes
    ----------
    rate : float
        Requests per second that the target accepts.
    max_requests : float
        Maximum requests that may reach the target in any window.
    window_seconds : float
        Length of the window.
    utilization : float
        Fraction of the rate to use, if the bound allows it for more than one holder.
    max_burst : float
        Maximum permits that a holder may accumulate.
    can_use_full_rate : bool
        Whether to use the full rate while no instance is missing, that is, while no separated
        part of the fleet computes shares of its own. Not suitable for windows so short that two
        successive holders may both spend within one window.
    is_probed : bool
        Whether the rate is too low for shares, so that the instances take turns; see `ProbeTurns`.
    """

    rate: float
    max_requests: float
    window_seconds: float
    utilization: float
    max_burst: float
    can_use_full_rate: bool = False
    is_probed: bool = False


class WarmUpLimits(msgspec.Struct, frozen=True):
    """Limits of cold targets: `rate * overage + slack` requests may arrive within one second.

    Attributes
    ----------
    overage : float
        Multiple of the rate.
    slack : float
        Additional requests.
    """

    overage: float = 1.0
    slack: float = 0.0

    def rate_bound(self, rate: float) -> RateBound:
        """Return the bound of a cold target that accepts `rate` requests per second."""
        max_requests = rate * self.overage + self.slack
        return RateBound(rate, max_requests, 1.0, _WARM_UP_UTILIZATION, _WARM_UP_BURST)


class RateShare(msgspec.Struct, frozen=True):
    """Division of one target's rate among its holders.

    Attributes
    ----------
    holders : int
        Number of instances that may send to the target.
    rate : float
        Requests per second of each holder.
    burst : float
        Permits that each holder may accumulate. With a single one, a request that arrives just
        before the permit is refused, and the rate stays unused until the next request.
    """

    holders: int
    rate: float
    burst: float = 1.0


def compute_share(bound: RateBound, members: int, is_complete: bool = False) -> RateShare:
    """Compute the number of holders of a target and the share of each.

    Parameters
    ----------
    bound : RateBound
    members : int
        Number of instances that serve callers, at least one.
    is_complete : bool
        Whether no instance is missing.
    """
    if is_complete and bound.can_use_full_rate:
        return _share_of_complete_fleet(bound, members)
    half = bound.max_requests / _MAX_PARTITIONS
    spare = half - bound.utilization * bound.rate * bound.window_seconds
    max_holders = max(_MIN_HOLDERS, int(bound.rate / _RATE_PER_HOLDER))
    holders = max(1, min(max_holders, int(spare), members))
    burst = min(bound.max_burst, max(1.0, spare / holders))
    used = min(bound.rate, max(0.0, (half - holders * burst) / bound.window_seconds))
    return RateShare(holders, used / holders, burst)


def _share_of_complete_fleet(bound: RateBound, members: int) -> RateShare:
    """Compute the shares while no instance is missing: the full rate, among many holders.

    The bound leaves room for one request in transit and one accumulated permit per holder. With
    few holders, callers of the other instances were refused although the targets accepted more
    requests than all callers sent.
    """
    spare = bound.max_requests - bound.rate * bound.window_seconds
    holders = max(1, min(int(spare / 2.0), members))
    burst = min(bound.max_burst, max(1.0, spare / holders - 1.0))
    return RateShare(holders, bound.rate / holders, burst)
