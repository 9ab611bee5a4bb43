"""Which of the targets that may take a request gets it. Decisions only, no I/O."""

import math
import random
from collections.abc import Callable

from whinrack.base import rendezvous
from whinrack.dispatch._engine_choice import EngineLoad, PromptNeed, choose_engine
from whinrack.dispatch._rate_limiter import RateLimiter
from whinrack.dispatch._remote_loads import RemoteLoads
from whinrack.dispatch._target_state import TargetState
from whinrack.dispatch._values import ColdStart

__all__ = ["TargetChoice"]

# How far above the mean a target's load may be before affinity gives way.
_IMBALANCE = 1.25
_IMBALANCE_SLACK = 2
# Part of its slots up to which a target isn't so loaded that affinity gives way.
_SLOTS_PART = 0.6
# Where others' loads count, the least loaded of one part in so many is chosen, of two at
# least: their counts are a little old, and all would choose the same target.
_SAMPLED_PART = 4
_FEWEST_SAMPLED = 2


class TargetChoice:
    """Chooses by affinity, load and what has to be read before.

    Parameters
    ----------
    elsewhere : RemoteLoads
        What other instances have at the targets.
    bearing : RateLimiter
        Which targets take few requests, and what this instance may send them.
    seed : int, optional
        Seeds the choice between equals.
    """

    def __init__(self, elsewhere: RemoteLoads, bearing: RateLimiter, seed: int | None = None):
        self.elsewhere = elsewhere
        self.bearing = bearing
        self._random = random.Random(seed)

    def choose(
        self,
        open_: list[TargetState],
        affinity: str,
        now: float,
        shares_loads: bool,
        prompt: PromptNeed | None,
        cold_start: ColdStart | None = None,
        rank: int = 0,
    ) -> TargetState | None:
        """Return one of some targets; see `TargetRegistry.choose`."""
        load = self._load_everywhere if shares_loads else self._load_here
        states = [state for state in open_ if state.takes_work(now)] or open_
        states = self._bearing(states, cold_start, rank, now, load)
        if not states:
            return None
        rested = [state for state in states if state.busy_until <= now] or states
        home = self._by_affinity(rested, affinity, load) if affinity else None
        if home is not None and prompt is None:
            return home
        if shares_loads:
            count = max(_FEWEST_SAMPLED, len(rested) // _SAMPLED_PART)
            rested = self._random.sample(rested, min(count, len(rested)))
        if prompt is not None:
            return self._soonest(home, rested, prompt)
        return min(rested, key=lambda state: (load(state), self._random.random()))

    def _bearing(
        self,
        states: list[TargetState],
        cold_start: ColdStart | None,
        rank: int,
        now: float,
        load: Callable[[TargetState], int],
    ) -> list[TargetState]:
        """Return those of some targets that bear one more request.

        Those that take few only where no other has a free slot, within what this instance may
        send to them; but one that states a limit is asked now and then whether that holds.
        """
        bearing = self.bearing
        if bearing.binds_nothing(cold_start):
            return states
        free: list[TargetState] = []
        few: list[TargetState] = []
        for state in states:
            is_free = bearing.bound(state, cold_start, now) is None
            (free if is_free else few).append(state)
        if not few:
            return free
        asked = [state for state in few if bearing.asks_again(state, cold_start, now)]
        if asked and not bearing.permits.yields(rank, now):
            return asked
        if any(load(state) < state.record.slots for state in free):
            return free
        if not free and bearing.permits.yields(rank, now):
            return []
        permitted = [state for state in few if bearing.may_send(state, cold_start, now)]
        if not free and not permitted:
            bearing.permits.turned_away(rank, now)
        return permitted or free

    def _soonest(
        self, home: TargetState | None, sampled: list[TargetState], prompt: PromptNeed
    ) -> TargetState:
        """Return the engine that reads the prompt first, the one with its shared parts or not."""
        by_name = {state.record.incarnation: state for state in sampled}
        loads = [self._engine_load(state) for state in sampled]
        home_load = None
        if home is not None:
            by_name[home.record.incarnation] = home
            home_load = self._engine_load(home)
        return by_name[choose_engine(home_load, loads, prompt.shared).name]

    def _engine_load(self, state: TargetState) -> EngineLoad:
        return EngineLoad(
            name=state.record.incarnation,
            unread=state.unread_tokens + self.elsewhere.unread_at(state.digest),
            requests=self._load_everywhere(state),
            slots=state.record.slots,
        )

    def _by_affinity(
        self, states: list[TargetState], affinity: str, load: Callable[[TargetState], int]
    ) -> TargetState:
        mean = sum(map(load, states)) / len(states)
        most = math.ceil(_IMBALANCE * mean) + _IMBALANCE_SLACK
        by_name = {state.record.incarnation: state for state in states}
        for name in rendezvous(affinity, by_name):
            state = by_name[name]
            if load(state) < max(most, _SLOTS_PART * state.record.slots):
                return state
        return min(states, key=load)

    def _load_here(self, state: TargetState) -> int:
        return state.in_flight

    def _load_everywhere(self, state: TargetState) -> int:
        return state.in_flight + self.elsewhere.at(state.digest)
