"""Limits for targets that state that refusals for lack of room make them fall over; pure logic.

Such a target falls over if it has to refuse more than a stated number of requests within a second,
from all instances together. While it states that, each instance keeps to a quota of the target's
slots, so that all instances together never exceed them. A request beyond its quota is forwarded to
an instance whose quota is not used up. With more instances than slots most have no quota at a
target.

Health checks need slots as well and are refused like requests, so they count towards the quota. A
target at which a request has failed gets none until a check, in their place, is answered, or for
some seconds: health checks may hang though requests are answered.

Instances learn at different times that one of them joins, ends or loses the pool. For some time
after a change each keeps to the lower of its quotas before and after it.

The targets of a pool state it together. Until a target has answered, it is treated as the latest
statement of its pool says: a target that fell over comes back as a new start, and may fall over
before any answer of it has reached all instances.
"""

import math
from collections.abc import Callable, Collection

from whinrack.dispatch._quota_members import MemberHistory, QuotaMembers
from whinrack.dispatch._remote_loads import RemoteLoads
from whinrack.dispatch._stated_limits import NO_LIMIT, StatedLimits
from whinrack.dispatch._target_state import TargetState
from whinrack.observability import Event, log_event

__all__ = ["BrittleTargets"]

# Time for which an instance that was refused by a brittle target stays below its quota there, and
# the fraction of the quota that it uses meanwhile. A quota of one pauses for as long as a target
# counts the refusals that make it fall over.
_CAUTION_SECONDS = 3.0
_CAUTION_FRACTION = 0.5
_PAUSE_SECONDS = 1.0
# Time for which a target at which a request has failed gets only health checks, unless one is
# answered.
_CHECKED_SECONDS = 3.0
# Targets at which requests have failed that are remembered, the latest ones.
_MAX_FAILED_TARGETS = 500
# Interval at which an unchanged statement of a pool is confirmed, in seconds.
_CONFIRMATION_SECONDS = 1.0
# Prefix of the name under which the latest statement of a pool is kept and reported to peers.
_POOL_PREFIX = "pool/"
# Targets of brittle pools that are remembered as not brittle, and for how long after an answer.
_MAX_STURDY_TARGETS = 500
_STURDY_SECONDS = 5.0
# The members are needed for each target and request, and recomputed at this interval.
_REFRESH_SECONDS = 0.1


class BrittleTargets:
    """Decides whether this instance may send one more request to a brittle target.

    Parameters
    ----------
    name : str
        Name of this instance.
    limits : StatedLimits
        The refusals per second that targets state, `NO_LIMIT` for targets that are not brittle.
    remote_loads : RemoteLoads
        Loads that other instances put on the targets.
    identities_in_service : callable
        Returns the identities of the targets of a pool that are in service.
    members : callable
        Returns the names of the instances that have quotas, with this one; empty while unknown.
    instances_without : callable, optional
        Returns the names of the instances that have lost contact with a pool; they have no quota.
    is_lost : callable, optional
        Returns whether this instance has lost contact with a pool.
    failed_targets : callable, optional
        Returns the identities of the targets of a pool that have failed since its last answer.
    """

    def __init__(
        self,
        name: str,
        limits: StatedLimits,
        remote_loads: RemoteLoads,
        identities_in_service: Callable[[str], Collection[str]],
        members: Callable[[], Collection[str]],
        instances_without: Callable[[str], Collection[str]] = lambda pool: (),
        is_lost: Callable[[str], bool] = lambda pool: False,
        failed_targets: Callable[[str], Collection[str]] = lambda pool: (),
    ):
        self.name = name
        self.failed_targets = failed_targets
        self.members = members
        self.instances_without = instances_without
        self.is_lost = is_lost
        self.limits = limits
        self.remote_loads = remote_loads
        self.identities_in_service = identities_in_service
        # When targets of brittle pools last stated that they are not brittle themselves.
        self._sturdy: dict[str, float] = {}
        self._refused_at: dict[str, float] = {}
        # When requests last failed at targets, the latest ones last.
        self._failed_at: dict[str, float] = {}
        self._members_by_pool: dict[str, MemberHistory] = {}
        self._fleet = QuotaMembers(frozenset())
        self._fleet_updated_at = -math.inf

    def is_brittle(self, state: TargetState) -> bool:
        """Return whether a target is brittle by its own statement or, before it, by its pool's."""
        return self.max_refusals(state) != NO_LIMIT

    def max_refusals(self, state: TargetState) -> float:
        """Return the refusals per second that a target survives, `NO_LIMIT` if any number."""
        identity = state.record.identity
        stated = self.limits.rate(identity)
        sturdy_at = self._sturdy.get(identity, -math.inf)
        if stated != NO_LIMIT or self.limits.clock() - sturdy_at < _STURDY_SECONDS:
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
        self._sturdy[identity] = self.limits.clock()
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
        return self._has_free_place(state, now) and not self._has_failed(state, now)

    def can_check(self, state: TargetState, now: float) -> bool:
        """Return whether a health check may be sent to a target now.

        An instance that has lost the pool has no quota. It may check a target where it would have
        one, if at least half of the slots are free by the reported loads, which lag.
        """
        if self.limits.is_empty or not self.is_brittle(state):
            return True
        if not self.is_lost(state.record.pool):
            return self._has_free_place(state, now)
        in_use = _slots_in_use(state, now) + self.remote_loads.requests_at(state.digest)
        is_free = in_use == 0 or 2 * (in_use + 1) <= state.record.slots
        has_quota = self._fleet_members(now).quota(self.name, state) > 0
        return has_quota and is_free and not state.may_have_ended(now)

    def needs_check(self, state: TargetState, now: float) -> bool:
        """Return whether a target gets no requests until a health check is answered."""
        if self.limits.is_empty or not self.is_brittle(state):
            return False
        return self._has_failed(state, now) and self.can_check(state, now)

    def has_room(self, state: TargetState, now: float) -> bool:
        """Return whether the quota has room, also at a target that may have ended."""
        if self.limits.is_empty or not self.is_brittle(state):
            return True
        return _slots_in_use(state, now) < self._allowance(state, now)

    def has_quota(self, state: TargetState, now: float) -> bool:
        """Return whether this instance sends to a target at all."""
        if self.limits.is_empty or not self.is_brittle(state):
            return True
        return self._quota(state, now) > 0

    def _has_failed(self, state: TargetState, now: float) -> bool:
        identity = state.record.identity
        if now - self._failed_at.get(identity, -math.inf) >= _CHECKED_SECONDS:
            return False
        return identity in self.failed_targets(state.record.pool)

    def _has_free_place(self, state: TargetState, now: float) -> bool:
        if not self.has_room(state, now):
            return False
        # A later start may listen there already and gets a quota of its own with its record.
        return not state.may_have_ended(now) and not state.ejection.is_ejected(now)

    def record_failure(self, state: TargetState, now: float) -> None:
        """Record that a request could not be sent to a target or was not answered."""
        self._failed_at.pop(state.record.identity, None)
        self._failed_at[state.record.identity] = now
        while len(self._failed_at) > _MAX_FAILED_TARGETS:
            del self._failed_at[next(iter(self._failed_at))]

    def record_refusal(self, state: TargetState, now: float) -> None:
        """Record that a target refused a request because it is full."""
        if self.is_brittle(state):
            self._log_refusal(state, now)
            self._refused_at[state.record.identity] = now
        self._refused_at = {
            target: at for target, at in self._refused_at.items() if now - at < _CAUTION_SECONDS
        }

    def instances_with_free_slots(
        self, states: Collection[TargetState], now: float
    ) -> frozenset[str]:
        """Return the other instances that may have quotas left at brittle targets.

        Reported loads lag, so an instance that is asked may have none left.
        """
        if self.limits.is_empty:
            return frozenset()
        names: set[str] = set()
        for state in states:
            if not self.is_brittle(state) or state.may_have_ended(now):
                continue
            in_use = _slots_in_use(state, now) + self.remote_loads.requests_at(state.digest)
            if in_use < state.record.slots:
                names.update(self._recent_members(state.record.pool, now)[-1].holders(state))
        return frozenset(names - {self.name})

    def _log_refusal(self, state: TargetState, now: float) -> None:
        members = self._recent_members(state.record.pool, now)[-1]
        log_event(
            Event.BRITTLE_TARGET_FULL,
            target=state.record.incarnation,
            started=state.record.started,
            refusals=self.max_refusals(state),
            stated=self.limits.rate(state.record.identity) != NO_LIMIT,
            quota=members.quota(self.name, state),
            members=len(members.names),
            in_flight=state.in_flight,
            checks=state.checks_in_flight,
            held=state.held_slots(now),
            reported=self.remote_loads.requests_at(state.digest),
            slots=state.record.slots,
        )

    def _allowance(self, state: TargetState, now: float) -> int:
        """Return how many requests this instance may have in flight without risking a refusal."""
        quota = self._quota(state, now)
        refused_seconds = now - self._refused_at.get(state.record.identity, -math.inf)
        if refused_seconds >= _CAUTION_SECONDS:
            return quota
        if quota <= 1:
            return quota if refused_seconds >= _PAUSE_SECONDS else 0
        return int(quota * _CAUTION_FRACTION)

    def _quota(self, state: TargetState, now: float) -> int:
        recent = self._recent_members(state.record.pool, now)
        return min(members.quota(self.name, state) for members in recent)

    def _fleet_members(self, now: float) -> QuotaMembers:
        """Return the instances that have quotas while none has lost contact with a pool."""
        if now - self._fleet_updated_at >= _REFRESH_SECONDS:
            self._fleet_updated_at = now
            names = frozenset(self.members())
            if names != self._fleet.names:
                self._fleet = QuotaMembers(names)
        return self._fleet

    def _recent_members(self, pool: str, now: float) -> list[QuotaMembers]:
        history = self._members_by_pool.setdefault(pool, MemberHistory())
        if now - history.updated_at >= _REFRESH_SECONDS:
            # Whether the pool is lost may depend on quotas: meanwhile those so far count.
            history.updated_at = now
            without = set(self.instances_without(pool))
            if self.is_lost(pool):
                without.add(self.name)
            history.update(frozenset(self.members()) - without, now)
        return history.recent or [self._fleet_members(now)]


def _slots_in_use(state: TargetState, now: float) -> int:
    """Return the slots of a target that this instance uses or may still hold."""
    return state.in_flight + state.checks_in_flight + state.held_slots(now)
