"""The targets that this instance knows, and which of them takes a request."""

import math
import random
import sys
from collections import OrderedDict
from collections.abc import Callable, Collection

import msgspec
import xxhash

from whinrack.base import rendezvous
from whinrack.dispatch._loads import LoadsElsewhere
from whinrack.dispatch._placement import EngineLoad, PromptNeed, choose_engine
from whinrack.dispatch._values import TargetRecord
from whinrack.ejection import EjectAlone

__all__ = ["Reading", "TargetRegistry", "TargetState"]

# How far above the mean a target's load may be before affinity gives way.
_IMBALANCE = 1.25
_IMBALANCE_SLACK = 2
# Part of its slots up to which a target isn't so loaded that affinity gives way.
_SLOTS_PART = 0.6
_BUSY_SECONDS = 0.25
# Where others' loads count, the least loaded of one part in so many is chosen, of two at
# least: their counts are a little old, and all would choose the same target.
_SAMPLED_PART = 4
_FEWEST_SAMPLED = 2
# Names of targets that said that they leave, the last ones; chosen as the names of those that
# are gone are, for a release of the largest fleet aimed at.
_MOST_LEFT = 2000


class TargetState:
    """One target as this instance sees it. Decisions only, no I/O."""

    def __init__(self, record: TargetRecord):
        self.record = record
        self.digest = xxhash.xxh32_intdigest(record.identity.encode())
        self.in_flight = 0
        # Prompt tokens of requests from here that have brought no event yet.
        self.unread = 0
        self.gone = False
        self.told_leaving = False
        # A later start took its place before it had said that it leaves.
        self.replaced = False
        self.busy_until = float("-inf")
        self.ejection = EjectAlone(failures=3, first=1.0, longest=4.0)

    @property
    def address(self) -> tuple[str, int]:
        """Where it listens."""
        return self.record.address

    @property
    def leaving(self) -> bool:
        """Whether it takes no new work."""
        return self.gone or self.told_leaving or self.record.leaving

    def takes_work(self, now: float) -> bool:
        """Whether a request may be sent to it."""
        return not self.leaving and not self.ejection.ejected(now)


class Reading:
    """Prompt tokens that a target has to read for one request."""

    def __init__(self, state: TargetState, tokens: int):
        self.state = state
        self.tokens = tokens
        state.unread += tokens

    def end(self) -> None:
        """Learn that they are read, or needn't be; calling it again changes nothing."""
        self.state.unread -= self.tokens
        self.tokens = 0


class TargetRegistry:
    """All targets by pool.

    Parameters
    ----------
    seed : int, optional
        Seeds the choice between equals.
    """

    def __init__(self, seed: int | None = None):
        self._targets: dict[str, TargetState] = {}
        self._pools: dict[str, dict[str, TargetState]] = {}
        # Starts that said that they leave, also after their records have gone: an old record,
        # told late, doesn't bring them back. A later start under the same name is no part of it.
        self._left: OrderedDict[tuple[str, int], None] = OrderedDict()
        # Called with each target of which a later start took the place.
        self.ended: list[Callable[[TargetState], None]] = []
        self.elsewhere = LoadsElsewhere()
        self._random = random.Random(seed)

    def loads(self) -> dict[int, int]:
        """Return the requests in flight from here, by the targets' digests."""
        return {
            state.digest: state.in_flight for state in self._targets.values() if state.in_flight
        }

    def unread(self) -> dict[int, int]:
        """Return the prompt tokens to be read for requests from here, by targets' digests."""
        return {state.digest: state.unread for state in self._targets.values() if state.unread}

    def replace_all(self, records: Collection[TargetRecord]) -> list[str]:
        """Take in a whole list; returns the incarnations that are new to leaving."""
        listed = {record.incarnation for record in records}
        left = [name for name in list(self._targets) if name not in listed and self.remove(name)]
        return left + [record.incarnation for record in records if self.put(record)]

    def put(self, record: TargetRecord) -> bool:
        """Take in one record; True if the target turned to leaving by it."""
        if record.leaving:
            self._note_left(record.incarnation, record.started)
        state = self._targets.get(record.incarnation)
        if state is not None and record.is_other_start(state.record):
            if record.is_older_than(state.record):
                return False
            self._end_earlier(state)
            state = None
        if state is None:
            state = self._targets[record.incarnation] = TargetState(record)
            state.told_leaving = (record.incarnation, record.started) in self._left
            self._pools.setdefault(record.pool, {})[record.incarnation] = state
            return state.leaving
        if not record.started:
            # Without its start the record tells of the one that is known.
            record = msgspec.structs.replace(record, started=state.record.started)
        was_leaving = state.leaving
        if state.record.leaving and not record.leaving:
            # A run that is leaving doesn't come back; the record is an old one.
            return False
        if record.pool != state.record.pool:
            self._move(state, record)
        state.record = record
        state.gone = False
        return state.leaving and not was_leaving

    def remove(self, incarnation: str) -> bool:
        """Learn that a target's record is gone; True if it turned to leaving by that."""
        state = self._targets.get(incarnation)
        if state is None or state.gone:
            return False
        was_leaving = state.leaving
        state.gone = True
        if not state.in_flight:
            self._drop(state)
        return not was_leaving

    def _end_earlier(self, state: TargetState) -> None:
        """Learn from another start's record that one has ended."""
        state.replaced = not state.leaving
        state.gone = True
        self._drop(state)
        for ended in self.ended:
            ended(state)

    def not_at_its_address(self, state: TargetState) -> None:
        """Learn that another target answers at the address of one."""
        if self._targets.get(state.record.incarnation) is state:
            self.remove(state.record.incarnation)

    def leave(self, incarnation: str, started: int = 0) -> bool:
        """Learn from a peer that a target is leaving; True if that is news.

        Parameters
        ----------
        started : int
            Of the start that says it; 0 means the one that is known here.
        """
        state = self._targets.get(incarnation)
        if state is not None and not started:
            started = state.record.started
        self._note_left(incarnation, started)
        if state is None or state.leaving or started != state.record.started:
            return False
        state.told_leaving = True
        return True

    def leaving(self) -> list[TargetRecord]:
        """Return the records of targets that said that they are leaving, for the peers."""
        return [
            state.record
            for state in self._targets.values()
            if state.record.leaving or state.told_leaving
        ]

    def at_address(self, address: tuple[str, int]) -> set[str]:
        """Return the identities of the targets that are said to listen at an address."""
        return {
            state.record.identity for state in self._targets.values() if state.address == address
        }

    def of_pool(self, pool: str) -> list[TargetState]:
        """Return every known target of a pool."""
        return list(self._pools.get(pool, {}).values())

    def has_other(self, pool: str, tried: Collection[str], now: float) -> bool:
        """Whether a target of the pool that was not tried takes work."""
        return any(
            state.record.identity not in tried and state.takes_work(now)
            for state in self._pools.get(pool, {}).values()
        )

    def choose(
        self,
        pool: str,
        affinity: str,
        tried: Collection[str],
        now: float,
        most_in_flight: int = sys.maxsize,
        shares_loads: bool = False,
        prompt: PromptNeed | None = None,
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
        most_in_flight : int
            Requests that this instance may have at one target at once.
        shares_loads : bool
            Count what other instances have at the targets: for requests that last so
            long that their counts are not old when they arrive.
        prompt : PromptNeed, optional
            Place by what the targets have to read before, too.
        """
        open_ = [
            state
            for state in self._pools.get(pool, {}).values()
            if state.record.identity not in tried
            and not state.leaving
            and state.in_flight < most_in_flight
        ]
        states = [state for state in open_ if state.takes_work(now)] or open_
        if not states:
            return None
        rested = [state for state in states if state.busy_until <= now] or states
        load = self._load_everywhere if shares_loads else self._load_here
        home = self._by_affinity(rested, affinity, load) if affinity else None
        if home is not None and prompt is None:
            return home
        if shares_loads:
            count = max(_FEWEST_SAMPLED, len(rested) // _SAMPLED_PART)
            rested = self._random.sample(rested, min(count, len(rested)))
        if prompt is not None:
            return self._soonest(home, rested, prompt)
        return min(rested, key=lambda state: (load(state), self._random.random()))

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
            unread=state.unread + self.elsewhere.unread_at(state.digest),
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

    def started(self, state: TargetState) -> None:
        """Count a request that is sent to a target."""
        state.in_flight += 1

    def finished(self, state: TargetState) -> None:
        """Count a request that ended, in whatever way."""
        state.in_flight -= 1
        if state.gone and not state.in_flight:
            self._drop(state)

    def busy(self, state: TargetState, now: float) -> None:
        """Learn from a target's word that it is full."""
        state.busy_until = now + _BUSY_SECONDS

    def _note_left(self, incarnation: str, started: int) -> None:
        self._left[incarnation, started] = None
        while len(self._left) > _MOST_LEFT:
            self._left.popitem(last=False)

    def _move(self, state: TargetState, record: TargetRecord) -> None:
        """Let a target serve another pool."""
        self._pools.get(state.record.pool, {}).pop(record.incarnation, None)
        self._pools.setdefault(record.pool, {})[record.incarnation] = state

    def _drop(self, state: TargetState) -> None:
        name = state.record.incarnation
        if self._targets.get(name) is state:
            del self._targets[name]
            self._pools.get(state.record.pool, {}).pop(name, None)
