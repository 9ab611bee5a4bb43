"""Registry of the known targets and their state."""

import sys
from collections import OrderedDict
from collections.abc import Callable, Collection

import msgspec

from whinrack.clock import steady
from whinrack.dispatch._backoffs import Backoffs
from whinrack.dispatch._brittle_targets import BrittleTargets
from whinrack.dispatch._cost_placement import CostPlacement, PlacementRequest
from whinrack.dispatch._emptied_halls import EmptiedHalls, HallStatus
from whinrack.dispatch._engine_choice import PromptSize
from whinrack.dispatch._rate_bounds import WarmUpLimits
from whinrack.dispatch._rate_limiter import RateLimiter
from whinrack.dispatch._reachability import ContactChange, Reachability
from whinrack.dispatch._remote_loads import RemoteLoads
from whinrack.dispatch._shared_rates import SharedRatePermits
from whinrack.dispatch._stated_limits import StatedLimits
from whinrack.dispatch._target_choice import TargetSelector
from whinrack.dispatch._target_state import TargetState
from whinrack.dispatch._values import ColdStart, TargetRecord
from whinrack.dispatch._version_history import VersionHistory

__all__ = ["OWN_SOURCE", "TargetRegistry"]

_BUSY_SECONDS = 0.25
# Source of what this instance has observed itself.
OWN_SOURCE = "here"
# Starts of leaving targets that are remembered, the latest ones. Like the number of remembered
# removed targets, it covers a release of the largest fleet that is planned for.
_MAX_LEAVING_STARTS = 2000
# Time for which peers are informed that a start seemed to have ended, seconds.
_ENDED_ADVERTISED_SECONDS = 4.0
# Time after which a report of the same end counts as a new one, so that peers do not repeat each
# other's reports.
_ENDED_REPEAT_SECONDS = 10.0
# Time for which a refuted report is ignored, because peers may still repeat it.
_REFUTED_SECONDS = 1.0


class TargetRegistry:
    """The known targets, by pool.

    Parameters
    ----------
    seed : int, optional
        Seeds the choice between equally good targets.
    rate_permits : SharedRatePermits, optional
        This instance's permits for rate-limited targets; by default the full rate.
    warm_up_limits : WarmUpLimits, optional
        Rate limits of cold targets.
    stated_limits : StatedLimits, optional
        Rate limits that targets have stated.
    brittle_limits : StatedLimits, optional
        Refusals per second beyond which targets have stated that they fall over.
    quota_members : callable, optional
        Returns the names of the instances that have quotas at brittle targets; by default those
        that share rates.
    instances_without : callable, optional
        Returns the names of the instances that have lost contact with a pool.
    clock : callable, optional
        Monotonic clock, replaced in tests.

    Attributes
    ----------
    confirmed_at : callable
        Returns the steady clock time at which the store last confirmed the records.
    """

    def __init__(
        self,
        seed: int | None = None,
        rate_permits: SharedRatePermits | None = None,
        warm_up_limits: WarmUpLimits | None = None,
        stated_limits: StatedLimits | None = None,
        brittle_limits: StatedLimits | None = None,
        quota_members: Callable[[], Collection[str]] | None = None,
        instances_without: Callable[[str], Collection[str]] = lambda pool: (),
        clock: Callable[[], float] = steady,
    ):
        self.clock = clock
        self.confirmed_at: Callable[[], float] = clock
        self.stated_limits = stated_limits or StatedLimits(clock=clock)
        self.rate_permits = rate_permits or SharedRatePermits.for_single_instance()
        self.rate_limiter = RateLimiter(
            self.stated_limits, self.rate_permits, warm_up_limits or WarmUpLimits()
        )
        self.backoffs = Backoffs()
        self.emptied_halls = EmptiedHalls()
        # Steady clock time at which each emptied hall became known here.
        self.hall_emptied_at: dict[str, float] = {}
        self._targets: dict[str, TargetState] = {}
        self._pools: dict[str, dict[str, TargetState]] = {}
        # Starts that announced that they leave. Kept after their records are removed, so that a
        # late, outdated record does not bring them back. Later starts of the same name are not
        # affected.
        self._leaving_starts: OrderedDict[tuple[str, int], None] = OrderedDict()
        # Steady clock times at which starts seemed to have ended, the latest last.
        self._ended_starts: OrderedDict[tuple[str, int], float] = OrderedDict()
        # Steady clock times at which reported starts were found to be running, the latest last.
        self._alive_starts: OrderedDict[tuple[str, int], float] = OrderedDict()
        # Called with a target that seems to have ended and with the source of the report.
        self.on_target_ended: list[Callable[[TargetState, str], None]] = []
        # Called with each target that was replaced by a later start.
        self.on_target_replaced: list[Callable[[TargetState], None]] = []
        # Called when an answer first announces that its target leaves.
        self.on_target_leaving: list[Callable[[], None]] = []
        self.version_history = VersionHistory(clock)
        self.remote_loads = RemoteLoads()
        self.brittle_limits = brittle_limits or StatedLimits(clock=clock)
        self.reachability = Reachability(
            self._identities_in_service, clock, self._identities_with_quota
        )
        self.reachability.on_change.append(self._on_contact_changed)
        self.brittle_targets = BrittleTargets(
            self.rate_permits.name,
            self.brittle_limits,
            self.remote_loads,
            self._identities_in_service,
            quota_members or self.rate_permits.members,
            instances_without,
            self.reachability.is_lost,
            self.reachability.failed_targets,
        )
        self._selector = TargetSelector(self.remote_loads, self.rate_limiter, seed)

    @property
    def placement(self) -> CostPlacement:
        """The placement by cost, with what it has learned."""
        return self._selector.placement

    def observe_remote_first_event(
        self, digest: int, tokens: int, seconds: float, now: float
    ) -> None:
        """Record the time that a target took to send the first event of a peer's request."""
        state = self._by_digest(digest)
        if state is not None:
            pool = state.record.pool
            self.placement.speeds.observe_first_event(pool, digest, tokens, seconds, now)

    def _by_digest(self, digest: int) -> TargetState | None:
        return next((state for state in self._targets.values() if state.digest == digest), None)

    def requests_by_target(self) -> dict[int, int]:
        """Return this instance's requests in flight, by digest of the target."""
        return {
            state.digest: state.in_flight for state in self._targets.values() if state.in_flight
        }

    def unread_tokens(self) -> dict[int, int]:
        """Return this instance's prompt tokens not yet processed, by digest of the target."""
        return {
            state.digest: state.unread_tokens
            for state in self._targets.values()
            if state.unread_tokens
        }

    def replace_all(self, records: Collection[TargetRecord]) -> list[str]:
        """Replace all records by a complete list.

        Returns
        -------
        list of str
            Incarnations of the targets that became leaving by this.
        """
        self.version_history.restart()
        listed = {record.incarnation for record in records}
        newly_leaving = [
            name for name in list(self._targets) if name not in listed and self.remove(name)
        ]
        return newly_leaving + [record.incarnation for record in records if self.put(record)]

    def put(self, record: TargetRecord) -> bool:
        """Add or update one record.

        Returns
        -------
        bool
            Whether the target became leaving by this.
        """
        if record.is_leaving:
            self._remember_leaving(record.incarnation, record.started)
        self.version_history.record(record.pool, record.software_version)
        state = self._targets.get(record.incarnation)
        if state is not None:
            self.version_history.record(state.record.pool, state.record.software_version)
        if state is not None and record.is_different_start(state.record):
            if record.is_older_than(state.record):
                return False
            self._retire_earlier_start(state)
            state = None
        if state is None:
            state = self._targets[record.incarnation] = TargetState(record)
            state.cold_state.update(record.cold_seconds_left, self.clock())
            state.has_announced_leaving = (
                record.incarnation,
                record.started,
            ) in self._leaving_starts
            self._pools.setdefault(record.pool, {})[record.incarnation] = state
            return state.is_leaving
        if not record.started:
            # A record without a start time refers to the known start.
            record = msgspec.structs.replace(record, started=state.record.started)
        was_leaving = state.is_leaving
        if state.record.is_leaving and not record.is_leaving:
            # A leaving target does not become active again: the record is outdated.
            return False
        if record.pool != state.record.pool:
            self._move_to_pool(state, record)
        if (record.revision, record.cold_seconds_left) != (
            state.record.revision,
            state.record.cold_seconds_left,
        ):
            state.cold_state.update(record.cold_seconds_left, self.clock())
        state.record = record
        state.is_removed = False
        if state.is_leaving:
            # The start time may have been unknown until now.
            self._remember_leaving(record.incarnation, record.started)
        return state.is_leaving and not was_leaving

    def remove(self, incarnation: str) -> bool:
        """Remove a target whose record was deleted.

        Returns
        -------
        bool
            Whether the target became leaving by this.
        """
        state = self._targets.get(incarnation)
        if state is None or state.is_removed:
            return False
        was_leaving = state.is_leaving
        self.version_history.record(state.record.pool, state.record.software_version)
        state.is_removed = True
        if not state.in_flight:
            self._drop(state)
        return not was_leaving

    def _retire_earlier_start(self, state: TargetState) -> None:
        """Drop a start that a later start has replaced and notify the listeners."""
        state.is_replaced = not (state.record.is_leaving or state.has_announced_leaving)
        state.is_removed = True
        self._drop(state)
        for callback in self.on_target_replaced:
            callback(state)

    def remove_misdirected(self, state: TargetState) -> None:
        """Remove a target at whose address another target answers."""
        if self._targets.get(state.record.incarnation) is state:
            self.remove(state.record.incarnation)

    def update_hall(self, status: HallStatus) -> bool:
        """Apply the status of a data hall.

        Returns
        -------
        bool
            Whether the hall was emptied or released by this.
        """
        if not self.emptied_halls.update(status):
            return False
        now = self.clock()
        if status.is_emptied:
            self.hall_emptied_at[status.hall] = now
        else:
            self.hall_emptied_at.pop(status.hall, None)
            for state in self._targets.values():
                if state.record.data_hall == status.hall:
                    state.cold_state.record_hall_back(now)
        return True

    def is_in_service(self, state: TargetState) -> bool:
        """Return whether a target is neither leaving nor in an emptied data hall."""
        return not state.is_leaving and state.record.data_hall not in self.emptied_halls.names

    def _on_contact_changed(self, change: ContactChange) -> None:
        """End the ejections in a pool that is reached again: the path was the cause."""
        if not change.is_lost:
            for state in self.targets_in_pool(change.pool):
                state.ejection.record_success(self.clock())

    def _identities_in_service(self, pool: str) -> list[str]:
        return [
            state.record.identity
            for state in self._pools.get(pool, {}).values()
            if self.is_in_service(state)
        ]

    def _identities_with_quota(self, pool: str) -> list[str]:
        now = self.clock()
        return [
            state.record.identity
            for state in self._pools.get(pool, {}).values()
            if self.is_in_service(state) and self.brittle_targets.has_quota(state, now)
        ]

    def backoff_seconds_left(self, state: TargetState, now: float) -> float:
        """Return the seconds for which this instance must not send to a target."""
        return (
            0.0
            if self.backoffs.is_empty
            else self.backoffs.seconds_left(state.record.identity, now)
        )

    def is_eligible(self, state: TargetState, now: float) -> bool:
        """Return whether a target is in service and not backed off from."""
        return self.is_in_service(state) and not self.backoff_seconds_left(state, now)

    def mark_leaving(self, incarnation: str, started: int = 0) -> bool:
        """Mark a target as leaving, as announced by the target or a peer.

        Parameters
        ----------
        started : int
            Start time of the target in question, 0 for the known start.

        Returns
        -------
        bool
            Whether this was not known before.
        """
        state = self._targets.get(incarnation)
        if state is not None and not started:
            started = state.record.started
        self._remember_leaving(incarnation, started)
        if state is None or state.is_leaving or started != state.record.started:
            return False
        state.has_announced_leaving = True
        return True

    def record_ended(self, state: TargetState) -> None:
        """Record that nothing listened at the address of a target."""
        self.merge_ended(state.record.incarnation, state.record.started, OWN_SOURCE)

    def merge_ended(self, incarnation: str, started: int, source: str) -> TargetState | None:
        """Record that a start seemed to have ended, as seen here or by a peer.

        Returns
        -------
        TargetState or None
            The target if the report is new and about its present start.
        """
        now, start = self.clock(), (incarnation, started)
        if self._is_known_end(start, now):
            return None
        self._ended_starts[start] = now
        self._ended_starts.move_to_end(start)
        while len(self._ended_starts) > _MAX_LEAVING_STARTS:
            self._ended_starts.popitem(last=False)
        state = self._targets.get(incarnation)
        if state is None or state.record.started != started:
            return None
        state.record_ended(now)
        for callback in self.on_target_ended:
            callback(state, source)
        return state

    def _is_known_end(self, start: tuple[str, int], now: float) -> bool:
        """Return whether a report of an end repeats an earlier one, or is already refuted."""
        reported_at = self._ended_starts.get(start, float("-inf"))
        reached_at = self._alive_starts.get(start, float("-inf"))
        if reached_at >= reported_at:
            return now - reached_at < _REFUTED_SECONDS
        return now - reported_at < _ENDED_REPEAT_SECONDS

    def merge_alive(self, incarnation: str, started: int) -> None:
        """Record that a start runs that was reported as ended, as seen here or by a peer."""
        start = (incarnation, started)
        if start in self._alive_starts:
            del self._alive_starts[start]
        self._alive_starts[start] = self.clock()
        while len(self._alive_starts) > _MAX_LEAVING_STARTS:
            self._alive_starts.popitem(last=False)
        state = self._targets.get(incarnation)
        if state is not None and state.record.started == started:
            state.ended_at = float("-inf")

    def is_refuted(self, state: TargetState, reported_at: float) -> bool:
        """Return whether an instance has reached a target whose end was reported at a time."""
        start = (state.record.incarnation, state.record.started)
        reached_at = self._alive_starts.get(start, float("-inf"))
        return reached_at >= reported_at - _REFUTED_SECONDS

    def recently_ended(self) -> list[tuple[str, int]]:
        """Return names and start times of the starts that seemed to have ended recently."""
        since = self.clock() - _ENDED_ADVERTISED_SECONDS
        return [
            start
            for start, at in self._ended_starts.items()
            if at >= since and at > self._alive_starts.get(start, float("-inf"))
        ]

    def leaving_records(self) -> list[TargetRecord]:
        """Return the records of targets that announced that they leave, latest last."""
        known = (self._targets.get(incarnation) for incarnation, _ in self._leaving_starts)
        return [
            state.record
            for state in dict.fromkeys(known)
            if state is not None and (state.record.is_leaving or state.has_announced_leaving)
        ]

    def identities_at_address(self, address: tuple[str, int]) -> set[str]:
        """Return the identities of the targets registered at an address."""
        return {
            state.record.identity for state in self._targets.values() if state.address == address
        }

    def targets_in_pool(self, pool: str) -> list[TargetState]:
        """Return all known targets of a pool."""
        return list(self._pools.get(pool, {}).values())

    def has_eligible_target(
        self, pool: str, tried: Collection[str], now: float, cold_start: ColdStart | None = None
    ) -> bool:
        """Return whether an untried target of the pool can be sent a request by this instance."""
        return any(
            state.record.identity not in tried
            and state.is_available(now)
            and self.is_eligible(state, now)
            and self.rate_limiter.can_send(state, cold_start, now)
            and self.brittle_targets.can_send(state, now)
            for state in self._pools.get(pool, {}).values()
        )

    def instances_with_free_slots(self, pool: str, now: float) -> frozenset[str]:
        """Return the other instances that may send to a brittle pool when this one may not."""
        states = [state for state in self.targets_in_pool(pool) if self.is_in_service(state)]
        return self.brittle_targets.instances_with_free_slots(states, now)

    def choose(
        self,
        pool: str,
        affinity: str,
        tried: Collection[str],
        now: float,
        max_in_flight: int = sys.maxsize,
        uses_remote_loads: bool = False,
        prompt: PromptSize | None = None,
        cold_start: ColdStart | None = None,
        priority: int = 0,
        software_version: str | None = None,
        placement: PlacementRequest | None = None,
    ) -> TargetState | None:
        """Choose the target for a request.

        Ejected targets are chosen only if no other target is left: a wrong suspicion must not
        cause refusals.

        Parameters
        ----------
        affinity : str
            Requests with the same key go to the same target while its load allows it; empty
            for no affinity.
        tried : collection of str
            Identities of the targets that were tried for this request.
        max_in_flight : int
            Maximum requests in flight from this instance at one target.
        uses_remote_loads : bool
            Whether to include the requests of other instances in the load. Only useful for
            requests that run longer than the delay with which the counts arrive.
        prompt : PromptSize, optional
            If given, also consider the prompt tokens that the targets have yet to process.
        cold_start : ColdStart, optional
            Limits of targets that have just started, None for no limit.
        priority : int
            Priority of the request, 0 is the most urgent.
        software_version : str, optional
            Software version that the target must have; by default any.
        placement : PlacementRequest, optional
            If given, a prompt goes to the engine with the smallest expected cost.

        Returns
        -------
        TargetState or None
            None if no target accepts the request.
        """
        return self._selector.choose(
            [
                state
                for state in self._pools.get(pool, {}).values()
                if state.record.identity not in tried
                and self.is_eligible(state, now)
                and state.in_flight < max_in_flight
                and self._matches(state, software_version)
                and self.brittle_targets.can_send(state, now)
            ],
            affinity,
            now,
            uses_remote_loads,
            prompt,
            cold_start,
            priority,
            placement,
        )

    def software_version(self, state: TargetState) -> str:
        """Return the software version of a target, empty if it is unknown."""
        return state.software_version(self.confirmed_at())

    def has_later_start(self, incarnation: str, started: int) -> bool:
        """Return whether a later start of a target is known."""
        state = self._targets.get(incarnation)
        return state is not None and state.record.started > started

    def has_version(self, pool: str, software_version: str) -> bool:
        """Return whether a target of a software version is in service; an unknown one has none."""
        return any(
            self.is_in_service(state) and self._matches(state, software_version)
            for state in self.targets_in_pool(pool)
        )

    def sole_version(self, pool: str, seconds: float) -> str:
        """Return the version of all targets that a pool had within the last seconds.

        Returns
        -------
        str
            Empty if there were several, if one is unknown, or if not all targets are known.
        """
        versions = self.version_history.versions_since(pool, self.clock() - seconds)
        if versions is None:
            return ""
        versions |= {self.software_version(state) for state in self.targets_in_pool(pool)}
        return versions.pop() if len(versions) == 1 else ""

    def _matches(self, state: TargetState, software_version: str | None) -> bool:
        if software_version is None:
            return True
        return bool(software_version) and self.software_version(state) == software_version

    def cold_targets(
        self, pool: str, cold_start: ColdStart | None, now: float
    ) -> list[TargetState]:
        """Return the cold targets of a pool."""
        return [state for state in self.targets_in_pool(pool) if state.is_cold(cold_start, now)]

    def begin_request(
        self, state: TargetState, cold_start: ColdStart | None = None
    ) -> float | None:
        """Count a request that is about to be sent and take a permit if one is needed.

        Returns
        -------
        float or None
            Steady clock time until which the permit is valid, None if none is needed.
        """
        state.in_flight += 1
        return self.rate_limiter.take_permit(state, cold_start, self.clock())

    def can_still_send(
        self, state: TargetState, cold_start: ColdStart | None, permit_until: float | None
    ) -> bool:
        """Return whether a begun request may be sent now; see `RateLimiter.can_still_send`."""
        now = self.clock()
        if not self.is_eligible(state, now):
            return False
        return self.rate_limiter.can_still_send(state, cold_start, permit_until, now)

    def end_request(self, state: TargetState) -> None:
        """Count a request that has ended, successfully or not."""
        state.in_flight -= 1
        if state.is_removed and not state.in_flight:
            self._drop(state)

    def mark_busy(self, state: TargetState, now: float) -> None:
        """Record that a target has refused a request because it is full."""
        state.busy_until = now + _BUSY_SECONDS
        self.brittle_targets.record_refusal(state, now)

    def _remember_leaving(self, incarnation: str, started: int) -> None:
        self._leaving_starts[incarnation, started] = None
        while len(self._leaving_starts) > _MAX_LEAVING_STARTS:
            self._leaving_starts.popitem(last=False)

    def _move_to_pool(self, state: TargetState, record: TargetRecord) -> None:
        """Move a target to the pool of its new record."""
        self._pools.get(state.record.pool, {}).pop(record.incarnation, None)
        self._pools.setdefault(record.pool, {})[record.incarnation] = state

    def _drop(self, state: TargetState) -> None:
        name = state.record.incarnation
        if self._targets.get(name) is state:
            del self._targets[name]
            self._pools.get(state.record.pool, {}).pop(name, None)
