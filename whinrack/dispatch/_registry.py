"""The targets that this instance knows."""

import sys
from collections import OrderedDict
from collections.abc import Callable, Collection

import msgspec

from whinrack.clock import steady
from whinrack.dispatch._backoffs import Backoffs
from whinrack.dispatch._emptied_halls import EmptiedHalls, HallStatus
from whinrack.dispatch._engine_choice import PromptSize
from whinrack.dispatch._rate_bounds import WarmUpLimits
from whinrack.dispatch._rate_limiter import RateLimiter
from whinrack.dispatch._remote_loads import RemoteLoads
from whinrack.dispatch._shared_rates import SharedRatePermits
from whinrack.dispatch._stated_limits import StatedLimits
from whinrack.dispatch._target_choice import TargetSelector
from whinrack.dispatch._target_state import TargetState
from whinrack.dispatch._values import ColdStart, TargetRecord

__all__ = ["TargetRegistry"]

_BUSY_SECONDS = 0.25
# Names of targets that said that they leave, the last ones; chosen as the names of those that
# are gone are, for a release of the largest fleet aimed at.
_MAX_LEAVING_STARTS = 2000


class TargetRegistry:
    """All targets by pool.

    Parameters
    ----------
    seed : int, optional
        Seeds the choice between equals.
    rate_permits : SharedRatePermits, optional
        What this instance may send to targets that take few requests; by default all of it.
    warm_up_limits : WarmUpLimits, optional
        What cold targets bear.
    stated_limits : StatedLimits, optional
        What targets say that they take.
    clock : callable, optional
        The steady clock, replaced in tests.
    """

    def __init__(
        self,
        seed: int | None = None,
        rate_permits: SharedRatePermits | None = None,
        warm_up_limits: WarmUpLimits | None = None,
        stated_limits: StatedLimits | None = None,
        clock: Callable[[], float] = steady,
    ):
        self.clock = clock
        self.stated_limits = stated_limits or StatedLimits(clock=clock)
        self.rate_permits = rate_permits or SharedRatePermits.for_single_instance()
        self.rate_limiter = RateLimiter(
            self.stated_limits, self.rate_permits, warm_up_limits or WarmUpLimits()
        )
        self.backoffs = Backoffs()
        self.emptied_halls = EmptiedHalls()
        # When it was learnt that a hall is emptied.
        self.hall_emptied_at: dict[str, float] = {}
        self._targets: dict[str, TargetState] = {}
        self._pools: dict[str, dict[str, TargetState]] = {}
        # Starts that said that they leave, also after their records have gone: an old record,
        # told late, doesn't bring them back. A later start under the same name is no part of it.
        self._leaving_starts: OrderedDict[tuple[str, int], None] = OrderedDict()
        # Called with each target of which a later start took the place.
        self.on_target_replaced: list[Callable[[TargetState], None]] = []
        # Called when a target has said in an answer that it leaves, and that is news.
        self.on_target_leaving: list[Callable[[], None]] = []
        self.remote_loads = RemoteLoads()
        self._selector = TargetSelector(self.remote_loads, self.rate_limiter, seed)

    def requests_by_target(self) -> dict[int, int]:
        """Return the requests in flight from here, by the targets' digests."""
        return {
            state.digest: state.in_flight for state in self._targets.values() if state.in_flight
        }

    def unread_tokens(self) -> dict[int, int]:
        """Return the prompt tokens to be read for requests from here, by targets' digests."""
        return {
            state.digest: state.unread_tokens
            for state in self._targets.values()
            if state.unread_tokens
        }

    def replace_all(self, records: Collection[TargetRecord]) -> list[str]:
        """Take in a whole list; returns the incarnations that are new to leaving."""
        listed = {record.incarnation for record in records}
        newly_leaving = [
            name for name in list(self._targets) if name not in listed and self.remove(name)
        ]
        return newly_leaving + [record.incarnation for record in records if self.put(record)]

    def put(self, record: TargetRecord) -> bool:
        """Take in one record; True if the target turned to leaving by it."""
        if record.is_leaving:
            self._remember_leaving(record.incarnation, record.started)
        state = self._targets.get(record.incarnation)
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
            # Without its start the record tells of the one that is known.
            record = msgspec.structs.replace(record, started=state.record.started)
        was_leaving = state.is_leaving
        if state.record.is_leaving and not record.is_leaving:
            # A run that is leaving doesn't come back; the record is an old one.
            return False
        if record.pool != state.record.pool:
            self._move_to_pool(state, record)
        if (record.version, record.cold_seconds_left) != (
            state.record.version,
            state.record.cold_seconds_left,
        ):
            state.cold_state.update(record.cold_seconds_left, self.clock())
        state.record = record
        state.is_removed = False
        if state.is_leaving:
            # Its start may have become known only now.
            self._remember_leaving(record.incarnation, record.started)
        return state.is_leaving and not was_leaving

    def remove(self, incarnation: str) -> bool:
        """Learn that a target's record is gone; True if it turned to leaving by that."""
        state = self._targets.get(incarnation)
        if state is None or state.is_removed:
            return False
        was_leaving = state.is_leaving
        state.is_removed = True
        if not state.in_flight:
            self._drop(state)
        return not was_leaving

    def _retire_earlier_start(self, state: TargetState) -> None:
        """Learn from another start's record that one has ended."""
        state.is_replaced = not (state.record.is_leaving or state.has_announced_leaving)
        state.is_removed = True
        self._drop(state)
        for callback in self.on_target_replaced:
            callback(state)

    def remove_misdirected(self, state: TargetState) -> None:
        """Learn that another target answers at the address of one."""
        if self._targets.get(state.record.incarnation) is state:
            self.remove(state.record.incarnation)

    def update_hall(self, status: HallStatus) -> bool:
        """Take in a word on a data hall; True if it was emptied or came back by it."""
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
        """Whether a target takes requests at all: it doesn't leave, nor is its hall emptied."""
        return not state.is_leaving and state.record.data_hall not in self.emptied_halls.names

    def backoff_seconds_left(self, state: TargetState, now: float) -> float:
        """Return the seconds for which a target takes nothing from this instance."""
        return (
            0.0
            if self.backoffs.is_empty
            else self.backoffs.seconds_left(state.record.identity, now)
        )

    def is_eligible(self, state: TargetState, now: float) -> bool:
        """Whether nothing that is known now forbids to send a request to a target."""
        return self.is_in_service(state) and not self.backoff_seconds_left(state, now)

    def mark_leaving(self, incarnation: str, started: int = 0) -> bool:
        """Learn from the target or a peer that a target is leaving; True if that is news.

        Parameters
        ----------
        started : int
            Of the start that says it; 0 means the one that is known here.
        """
        state = self._targets.get(incarnation)
        if state is not None and not started:
            started = state.record.started
        self._remember_leaving(incarnation, started)
        if state is None or state.is_leaving or started != state.record.started:
            return False
        state.has_announced_leaving = True
        return True

    def leaving_records(self) -> list[TargetRecord]:
        """Return the records of targets that said that they leave, the latest last."""
        known = (self._targets.get(incarnation) for incarnation, _ in self._leaving_starts)
        return [
            state.record
            for state in dict.fromkeys(known)
            if state is not None and (state.record.is_leaving or state.has_announced_leaving)
        ]

    def identities_at_address(self, address: tuple[str, int]) -> set[str]:
        """Return the identities of the targets that are said to listen at an address."""
        return {
            state.record.identity for state in self._targets.values() if state.address == address
        }

    def targets_in_pool(self, pool: str) -> list[TargetState]:
        """Return every known target of a pool."""
        return list(self._pools.get(pool, {}).values())

    def has_eligible_target(
        self, pool: str, tried: Collection[str], now: float, cold_start: ColdStart | None = None
    ) -> bool:
        """Whether a target of the pool that was not tried takes work from here."""
        return any(
            state.record.identity not in tried
            and state.is_available(now)
            and self.is_eligible(state, now)
            and self.rate_limiter.can_send(state, cold_start, now)
            for state in self._pools.get(pool, {}).values()
        )

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
    ) -> TargetState | None:
        """Return the target for a request, None if no target takes work.

        Targets that are set aside are chosen only where no other is left: a wrong
        suspicion must not turn requests away.

        Parameters
        ----------
        affinity : str
            Requests with the same text go to the same target while its load allows
            it; empty for none.
        tried : collection of str
            Identities of the starts that this request has been sent to.
        max_in_flight : int
            Requests that this instance may have at one target at once.
        uses_remote_loads : bool
            Count what other instances have at the targets: for requests that last so
            long that their counts are not old when they arrive.
        prompt : PromptNeed, optional
            Place by what the targets have to read before, too.
        cold_start : ColdStart, optional
            What targets of the pool bear after a start; None for no limit.
        priority : int
            Of the request, 0 is the most urgent.
        """
        return self._selector.choose(
            [
                state
                for state in self._pools.get(pool, {}).values()
                if state.record.identity not in tried
                and self.is_eligible(state, now)
                and state.in_flight < max_in_flight
            ],
            affinity,
            now,
            uses_remote_loads,
            prompt,
            cold_start,
            priority,
        )

    def cold_targets(
        self, pool: str, cold_start: ColdStart | None, now: float
    ) -> list[TargetState]:
        """Return the targets of a pool that are cold."""
        return [state for state in self.targets_in_pool(pool) if state.is_cold(cold_start, now)]

    def begin_request(
        self, state: TargetState, cold_start: ColdStart | None = None
    ) -> float | None:
        """Count a request that is to be sent to a target.

        Returns
        -------
        float or None
            Until when its permit is good, steady clock; None if it needs none.
        """
        state.in_flight += 1
        return self.rate_limiter.take_permit(state, cold_start, self.clock())

    def can_still_send(
        self, state: TargetState, cold_start: ColdStart | None, permit_until: float | None
    ) -> bool:
        """Whether a request that was started may be sent now; see `RateLimiter.still_takes`."""
        now = self.clock()
        if not self.is_eligible(state, now):
            return False
        return self.rate_limiter.can_still_send(state, cold_start, permit_until, now)

    def end_request(self, state: TargetState) -> None:
        """Count a request that ended, in whatever way."""
        state.in_flight -= 1
        if state.is_removed and not state.in_flight:
            self._drop(state)

    def mark_busy(self, state: TargetState, now: float) -> None:
        """Learn from a target's word that it is full."""
        state.busy_until = now + _BUSY_SECONDS

    def _remember_leaving(self, incarnation: str, started: int) -> None:
        self._leaving_starts[incarnation, started] = None
        while len(self._leaving_starts) > _MAX_LEAVING_STARTS:
            self._leaving_starts.popitem(last=False)

    def _move_to_pool(self, state: TargetState, record: TargetRecord) -> None:
        """Let a target serve another pool."""
        self._pools.get(state.record.pool, {}).pop(record.incarnation, None)
        self._pools.setdefault(record.pool, {})[record.incarnation] = state

    def _drop(self, state: TargetState) -> None:
        name = state.record.incarnation
        if self._targets.get(name) is state:
            del self._targets[name]
            self._pools.get(state.record.pool, {}).pop(name, None)
