"""Rate limits of targets and this instance's permission to send; pure logic without I/O.

A target is rate-limited after a start, while it is cold, or when it states a limit itself.
"""

from whinrack.dispatch._rate_bounds import RateBound, WarmUpLimits
from whinrack.dispatch._shared_rates import SharedRatePermits
from whinrack.dispatch._stated_limits import NO_LIMIT, StatedLimits, stated_rate_bound
from whinrack.dispatch._target_state import TargetState
from whinrack.dispatch._values import ColdStart

__all__ = ["RateLimiter"]

# Validity of a permit. When a broken link recovers, all connections that were waiting for it open
# at the same moment; without this limit, the permits of many seconds would be spent at once.
_PERMIT_SECONDS = 0.5


class RateLimiter:
    """Applies rate limits to the requests that this instance sends to targets.

    Parameters
    ----------
    stated_limits : StatedLimits
    rate_permits : SharedRatePermits
    warm_up_limits : WarmUpLimits
        Rate limits of cold targets.
    """

    def __init__(
        self,
        stated_limits: StatedLimits,
        rate_permits: SharedRatePermits,
        warm_up_limits: WarmUpLimits,
    ):
        self.stated_limits = stated_limits
        self.rate_permits = rate_permits
        self.warm_up_limits = warm_up_limits

    def is_pool_unlimited(self, cold_start: ColdStart | None) -> bool:
        """Return whether no target of a pool can be rate-limited, without checking each target."""
        return cold_start is None and self.stated_limits.is_empty

    def rate_bound(
        self, state: TargetState, cold_start: ColdStart | None, now: float
    ) -> RateBound | None:
        """Return the bound on requests from all instances to a target, None if unlimited."""
        stated = self.stated_limits.rate(state.record.identity)
        is_cold = state.is_cold(cold_start, now)
        if stated == NO_LIMIT:
            return self.warm_up_limits.rate_bound(cold_start.rate) if is_cold else None
        if is_cold and cold_start.rate < stated:
            return self.warm_up_limits.rate_bound(cold_start.rate)
        return stated_rate_bound(stated)

    def has_stated_limit(self, state: TargetState) -> bool:
        """Return whether a target states a limit."""
        return self.stated_limits.rate(state.record.identity) != NO_LIMIT

    def permitted_rate(self, target: str) -> float:
        """Return the requests per second that this instance may send to a target.

        Returns
        -------
        float
            `NO_LIMIT` if the target states no limit, 0 if this instance holds no share.
        """
        rate = self.stated_limits.rate(target)
        if rate == NO_LIMIT:
            return NO_LIMIT
        shares = self.rate_permits.held_shares({target: stated_rate_bound(rate)})
        return shares[target].rate if shares else 0.0

    def can_send(self, state: TargetState, cold_start: ColdStart | None, now: float) -> bool:
        """Return whether this instance may send one more request to a target."""
        bound = self.rate_bound(state, cold_start, now)
        if bound is None:
            return True
        target = state.record.identity
        max_unanswered = self.rate_permits.max_unanswered(target, bound)
        if self.has_stated_limit(state) and state.unanswered_requests >= max_unanswered:
            return False
        return self.rate_permits.has_permit(
            target, bound, now, self.stated_limits.silent_seconds(target)
        )

    def is_probe_due(self, state: TargetState, cold_start: ColdStart | None, now: float) -> bool:
        """Return whether to send a limited target a request to learn if the limit still holds.

        Only one probe at a time: otherwise a target that does not answer would receive its full
        rate although other targets have capacity.
        """
        if not self.has_stated_limit(state) or state.unanswered_requests:
            return False
        if not self.stated_limits.is_probe_due(state.record.identity):
            return False
        return self.can_send(state, cold_start, now)

    def take_permit(
        self, state: TargetState, cold_start: ColdStart | None, now: float
    ) -> float | None:
        """Take a permit if one is needed.

        Returns
        -------
        float or None
            Steady clock time until which the permit is valid, None if none is needed.
        """
        bound = self.rate_bound(state, cold_start, now)
        if bound is None:
            return None
        target = state.record.identity
        self.rate_permits.take_permit(target, bound, now, self.stated_limits.silent_seconds(target))
        return now + _PERMIT_SECONDS

    def can_still_send(
        self,
        state: TargetState,
        cold_start: ColdStart | None,
        permit_until: float | None,
        now: float,
    ) -> bool:
        """Return whether a request may be sent to a target that was chosen earlier.

        The target may have stated a limit or become cold since then; if so, a permit is taken.
        """
        if self.rate_bound(state, cold_start, now) is None:
            return True
        if permit_until is not None and now <= permit_until:
            return True
        if not self.can_send(state, cold_start, now):
            return False
        self.take_permit(state, cold_start, now)
        return True
