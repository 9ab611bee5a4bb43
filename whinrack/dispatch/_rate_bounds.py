"""How the requests that one target takes are divided among instances. Decisions only, no I/O.

The limits: some requests may reach a target in one window of time. Two halves of a fleet that know
nothing of each other each choose holders of their own, so each half may use half of it. Of what may
be used a request or two a holder are the depth of its bucket, and the rest is rate.
"""

import msgspec

__all__ = ["RateBound", "RateShare", "WarmUpLimits", "compute_share"]

# Part of a cold target's rate that the holders use if the bound allows it.
_WARM_UP_UTILIZATION = 0.75
_WARM_UP_BURST = 1.0
# Holders of one target: each adds the depth of its bucket to what may come in a window, so small
# rates have two, one of which may be away, and large ones as many as have callers to use them.
_MIN_HOLDERS = 2
_RATE_PER_HOLDER = 1.0
# Halves of a fleet that may know nothing of each other.
_MAX_PARTITIONS = 2


class RateBound(msgspec.Struct, frozen=True):
    """What one target takes from all instances together.

    Attributes
    ----------
    rate : float
        Requests a second that it takes.
    max_requests : float
        Requests that may reach it in any window.
    window : float
        Seconds.
    used_part : float
        Part of the rate that is used, if the bound allows it for more than one holder.
    most_depth : float
        Permits that a holder may save up at most.
    whole_at_times : bool
        Use the whole of it while no instance is missing, so that nobody counts without it. Not for
        windows so short that two holders which follow one another spend in the same one.
    """

    rate: float
    max_requests: float
    window_seconds: float
    utilization: float
    max_burst: float
    can_use_full_rate: bool = False


class WarmUpLimits(msgspec.Struct, frozen=True):
    """What may reach one cold target in one second: `rate * overage + slack` requests.

    Attributes
    ----------
    overage : float
    slack : float
        Requests.
    """

    overage: float = 1.0
    slack: float = 0.0

    def rate_bound(self, rate: float) -> RateBound:
        """Return the bound of a target that bears some requests a second."""
        max_requests = rate * self.overage + self.slack
        return RateBound(rate, max_requests, 1.0, _WARM_UP_UTILIZATION, _WARM_UP_BURST)


class RateShare(msgspec.Struct, frozen=True):
    """How the rate of one target is divided.

    Attributes
    ----------
    holders : int
        Instances that may send to it.
    rate : float
        Requests a second of each.
    burst : float
        Permits that each may save up; with a single one what comes just before it is turned away
        and the rate goes unused until the next request.
    """

    holders: int
    rate: float
    burst: float = 1.0


def compute_share(bound: RateBound, members: int, is_complete: bool = False) -> RateShare:
    """Return how many of some instances may send to a target, and how much each.

    Parameters
    ----------
    bound : RateBound
    members : int
        Instances to which callers come, one at least.
    is_complete : bool
        No instance is missing.
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
    """Return the shares of a fleet that misses nobody: all of the rate, among many holders.

    Each has room for a request on its way and for one saved up. With few holders callers of the
    other instances were refused though the targets took more than all callers brought.
    """
    spare = bound.max_requests - bound.rate * bound.window_seconds
    holders = max(1, min(int(spare / 2.0), members))
    burst = min(bound.max_burst, max(1.0, spare / holders - 1.0))
    return RateShare(holders, bound.rate / holders, burst)
