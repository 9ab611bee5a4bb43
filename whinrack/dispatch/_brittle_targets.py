"""Limits for targets that state that refusals for lack of room make them fall over; pure logic.

Such a target falls over if it has to refuse more than a stated number of requests within a second,
from all instances together. While it states that, each instance keeps to a quota of the target's
slots, so that all instances together never exceed them. Beyond its quota an instance uses slots
that stay free according to the reported loads, or takes one of the few permits for requests that
may be refused.

The targets of a pool state it together. Until a target has answered, it is treated as the latest
statement of its pool says: a target that fell over comes back as a new start, and may fall over
before any answer of it has reached all instances.
"""

from collections.abc import Callable, Collection

from whinrack.base import rendezvous_order
from whinrack.dispatch._rate_bounds import RateBound
from whinrack.dispatch._remote_loads import RemoteLoads
from whinrack.dispatch._shared_rates import SharedRatePermits
from whinrack.dispatch._stated_limits import NO_LIMIT, StatedLimits
from whinrack.dispatch._target_state import TargetState

__all__ = ["BrittleTargets"]

# Window of the stated number of refusals, in seconds.
_WINDOW_SECONDS = 1.0
# Fraction of the stated refusals that all instances together risk.
_RISKED_FRACTION = 0.5
# Time for which an instance that was refused by a brittle target stays below its quota there, and
# the fraction of the quota that it uses meanwhile.
_CAUTION_SECONDS = 3.0
_CAUTION_FRACTION = 0.5
# Interval at which an unchanged statement of a pool is confirmed, in seconds.
_CONFIRMATION_SECONDS = 1.0
# Prefix of the name under which the latest statement of a pool is kept and reported to peers.
_POOL_PREFIX = "pool/"
# Targets of brittle pools that are remembered as not brittle.
_MAX_STURDY_TARGETS = 500
# Suffix of the name under which permits for requests beyond the quota are counted.
_PERMIT_SUFFIX = "/beyond-quota"


# The members are needed for each target and request, and recomputed at this interval.
_REFRESH_SECONDS = 0.1
# Targets whose positions are remembered.
_MAX_POSITIONS = 5000


class _Members:
    """The instances that have a quota in a pool, with this instance's position by target."""

    def __init__(self, names: frozenset[str], updated_at: float):
        self.names = names
        self.updated_at = updated_at
        self._positions: dict[str, int] = {}

    def position(self, name: str, target: str) -> int:
        """Return the position of a member in the rendezvous order of a target."""
        if target not in self._positions:
            if len(self._positions) >= _MAX_POSITIONS:
                self._positions.clear()
            self._positions[target] = rendezvous_order(target, self.names).index(name)
        return self._positions[target]


class BrittleTargets:
    """Decides whether this instance may send one more request to a brittle target.

    Parameters
    ----------
    limits : StatedLimits
        The refusals per second that targets state, `NO_LIMIT` for targets that are not brittle.
    permits : SharedRatePermits
        Divides the permits for requests beyond the quotas among the instances.
    remote_loads : RemoteLoads
        Loads that other instances put on the targets.
    identities_in_service : callable
        Returns the identities of the targets of a pool that are in service.
    instances_without : callable, optional
        Returns the names of the instances that have lost contact with a pool; they have no quota.
    """

    def __init__(
        self,
        limits: StatedLimits,
        permits: SharedRatePermits,
        remote_loads: RemoteLoads,
        identities_in_service: Callable[[str], Collection[str]],
        instances_without: Callable[[str], Collection[str]] = lambda pool: (),
    ):
        self.instances_without = instances_without
        self.limits = limits
        self.permits = permits
        self.remote_loads = remote_loads
        self.identities_in_service = identities_in_service
        # Targets of brittle pools that have stated that they are not brittle.
        self._sturdy: dict[str, None] = {}
        self._refused_at: dict[str, float] = {}
        self._members_by_pool: dict[str, _Members] = {}

    def is_brittle(self, state: TargetState) -> bool:
        """Return whether a target is brittle by its own statement or, before it, by its pool's."""
        return self.max_refusals(state) != NO_LIMIT

    def max_refusals(self, state: TargetState) -> float:
        """Return the refusals per second that a target survives, `NO_LIMIT` if any number."""
        identity = state.record.identity
        stated = self.limits.rate(identity)
        if stated != NO_LIMIT or identity in self._sturdy:
            return stated
        return self.limits.rate(_POOL_PREFIX + state.record.pool)

    def count_stated(self) -> int:
        """Return the number of targets that state that they are brittle."""
        return sum(not target.startswith(_POOL_PREFIX) for target in self.limits.limited_targets())

    def record_statement(
        self, state: TargetState, max_refusals: float, sent_at: float, request: str
    ) -> None:
        """Record the refusals per second that an answer stated; see `StatedLimits`."""
        identity, pool = state.record.identity, _POOL_PREFIX + state.record.pool
        self.limits.record_answer(identity, max_refusals, sent_at, request)
        if max_refusals != NO_LIMIT:
            self._sturdy.pop(identity, None)
            self._confirm_pool(pool, max_refusals, sent_at, request)
            return
        if self.limits.rate(pool) == NO_LIMIT:
            return
        self._sturdy[identity] = None
        while len(self._sturdy) > _MAX_STURDY_TARGETS:
            del self._sturdy[next(iter(self._sturdy))]
        in_service = self.identities_in_service(state.record.pool)
        if all(self.limits.rate(target) == NO_LIMIT for target in in_service):
            self.limits.record_answer(pool, NO_LIMIT, sent_at, request)

    def _confirm_pool(self, pool: str, max_refusals: float, sent_at: float, request: str) -> None:
        """Record the statement of a pool, which is the lowest of its targets."""
        is_lower = max_refusals < self.limits.rate(pool)
        if is_lower or self.limits.silent_seconds(pool) >= _CONFIRMATION_SECONDS:
            self.limits.record_answer(pool, max_refusals, sent_at, request)

    def can_send(self, state: TargetState, now: float) -> bool:
        """Return whether one more request may be sent to a target now."""
        if self.limits.is_empty or not self.is_brittle(state):
            return True
        if state.may_have_ended(now) or state.ejection.is_ejected(now):
            # A later start may listen there already and gets a quota of its own with its record.
            return False
        if _slots_in_use(state, now) < self._allowance(state, now):
            return True
        if self._is_cautious(state, now):
            return False
        target, bound = self._permit(state)
        return bound is not None and self.permits.has_permit(target, bound, now)

    def begin(self, state: TargetState, now: float) -> None:
        """Count a request that is about to be sent; it is not part of `in_flight` yet."""
        if self.limits.is_empty or not self.is_brittle(state):
            return
        target, bound = self._permit(state)
        if _slots_in_use(state, now) >= self._allowance(state, now) and bound is not None:
            self.permits.take_permit(target, bound, now)

    def record_refusal(self, state: TargetState, now: float) -> None:
        """Record that a target refused a request because it is full."""
        if self.is_brittle(state):
            self._refused_at[state.record.identity] = now
        self._refused_at = {
            target: at for target, at in self._refused_at.items() if now - at < _CAUTION_SECONDS
        }

    def _allowance(self, state: TargetState, now: float) -> int:
        """Return how many requests this instance may have in flight without risking a refusal."""
        members = self._members(state.record.pool, now)
        quota = self._quota(state, members)
        if self._is_cautious(state, now):
            return max(1, int(quota * _CAUTION_FRACTION)) if quota else 0
        in_use = _slots_in_use(state, now)
        free = state.record.slots - in_use - self.remote_loads.requests_at(state.digest)
        # Each member may use an equal part of what is free before it hears of the others.
        return max(quota, in_use + max(0, free) // max(1, len(members.names)))

    def _members(self, pool: str, now: float) -> _Members:
        known = self._members_by_pool.get(pool)
        if known is not None and now - known.updated_at < _REFRESH_SECONDS:
            return known
        names = frozenset(self.permits.members()).difference(self.instances_without(pool))
        if known is None or known.names != names:
            known = self._members_by_pool[pool] = _Members(names, now)
        known.updated_at = now
        return known

    def _quota(self, state: TargetState, members: _Members) -> int:
        """Return this instance's part of the slots; what does not divide goes to the first ones."""
        if self.permits.name not in members.names:
            return 0
        quota, rest = divmod(state.record.slots, len(members.names))
        return quota + (members.position(self.permits.name, state.record.identity) < rest)

    def _is_cautious(self, state: TargetState, now: float) -> bool:
        refused_at = self._refused_at.get(state.record.identity)
        return refused_at is not None and now - refused_at < _CAUTION_SECONDS

    def _permit(self, state: TargetState) -> tuple[str, RateBound | None]:
        """Return the name and the bound of the permits for requests beyond the quotas."""
        identity = state.record.identity
        refusals = self.max_refusals(state)
        if refusals < 1.0 or refusals == NO_LIMIT:
            return identity, None
        bound = RateBound(
            rate=_RISKED_FRACTION * refusals,
            max_requests=refusals,
            window_seconds=_WINDOW_SECONDS,
            utilization=_RISKED_FRACTION,
            max_burst=1.0,
        )
        return identity + _PERMIT_SUFFIX, bound


def _slots_in_use(state: TargetState, now: float) -> int:
    """Return the slots of a target that requests of this instance use or may still hold."""
    return state.in_flight + state.held_slots(now)
