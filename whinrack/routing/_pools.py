"""A pool's targets and queue together: who may start where, now."""

import math
import random
from collections.abc import Sequence

import msgspec

from whinrack.objects import RequestClass, TargetPool
from whinrack.routing._pickers import AffinityPicker, Picker, TwoChoicesPicker
from whinrack.routing._program import PoolFacts, Spread
from whinrack.routing._queue import PoolQueue
from whinrack.routing._retries import RetryBudget
from whinrack.routing._targets import TargetView

__all__ = ["PickQuery", "PoolState"]

_DEFERRABLE_LOAD_SHARE = 0.75
_SAMPLE_SIZE = 12
_MAX_FACTS_AGE_SECONDS = 0.1


class PickQuery(msgspec.Struct, frozen=True, kw_only=True):
    """What a request asks of a pool.

    Attributes
    ----------
    affinity_key : str
        Requests with the same key likely share a cached prompt prefix.
    avoided_targets : tuple of str
        Targets that an earlier attempt failed at.
    """

    request_class: RequestClass
    spread: Spread = Spread.TWO_CHOICES
    affinity_key: str = ""
    avoided_targets: tuple[str, ...] = ()


class PoolState:
    """One pool as this instance sees it. Decisions only, no I/O.

    Parameters
    ----------
    name : str
        The TargetPool object's name.
    spec : TargetPool
        The declaration in force.
    seed : int, optional
        Seeds the pickers.
    """

    def __init__(self, name: str, spec: TargetPool, seed: int | None = None):
        self.name = name
        self.spec = spec
        self.seed = seed
        self.queue = PoolQueue(spec.queue_limit)
        self.retry_budget = RetryBudget()
        self.targets: dict[str, TargetView] = {}
        self._sorted_targets: tuple[TargetView, ...] = ()
        self._cached_facts: tuple[float, PoolFacts] | None = None
        self._random = random.Random(seed)
        two_choices = TwoChoicesPicker(seed)
        self._pickers: dict[Spread, Picker] = {
            Spread.TWO_CHOICES: two_choices,
            Spread.AFFINITY: AffinityPicker(two_choices),
        }

    def update(self, spec: TargetPool) -> None:
        """Take in a newer declaration."""
        self.spec = spec
        self.queue.limit = spec.queue_limit

    def add(self, target: TargetView) -> None:
        """Take in a target."""
        self.targets[target.name] = target
        self._sort_targets()

    def remove(self, name: str) -> None:
        """Forget a target, if it is here."""
        if self.targets.pop(name, None) is not None:
            self._sort_targets()

    def slots(self, now: float) -> int:
        """Return how many requests the pool's targets run at once."""
        return math.floor(
            sum(t.concurrency_limit for t in self.targets.values() if t.accepts_work(now))
        )

    def facts(self, now: float) -> PoolFacts:
        """Return what routing programs see, at most some moments old."""
        if (
            self._cached_facts is not None
            and 0.0 <= now - self._cached_facts[0] < _MAX_FACTS_AGE_SECONDS
        ):
            return self._cached_facts[1]
        facts = self._compute_facts(now)
        self._cached_facts = (now, facts)
        return facts

    def _compute_facts(self, now: float) -> PoolFacts:
        available = [target for target in self.targets.values() if target.accepts_work(now)]
        slots = sum(target.concurrency_limit for target in available)
        load = sum(target.estimate_load(now) for target in available)
        busy = round(load / slots, 3) if slots else 1.0
        return PoolFacts(targets=len(available), queued=len(self.queue), busy=busy)

    def has_available_target(self, now: float) -> bool:
        """Whether any target takes work."""
        return any(target.accepts_work(now) for target in self.targets.values())

    def shortest_backoff(self, now: float) -> float | None:
        """Return the seconds until the first back-off ends, None if there is none."""
        left = [
            target.backoff_until - now for target in self.targets.values() if not target.is_leaving
        ]
        return min((seconds for seconds in left if seconds > 0.0), default=None)

    def pick(self, query: PickQuery, now: float) -> TargetView | None:
        """Choose a target that has room and count the request there; None if none has."""
        if query.request_class is RequestClass.DEFERRABLE and not self._has_room_for_deferrable(
            now
        ):
            return None
        picker = self._pickers[query.spread]
        target = picker.pick(self._candidates(query, now), query.affinity_key, now)
        if target is not None:
            target.begin_request()
        return target

    def _candidates(self, query: PickQuery, now: float) -> Sequence[TargetView]:
        """Return targets with room; of a large pool a sample, if enough of it has room."""
        if len(self._sorted_targets) > _SAMPLE_SIZE and query.spread is Spread.TWO_CHOICES:
            sample = self._random.sample(self._sorted_targets, _SAMPLE_SIZE)
            with_room = [target for target in sample if target.has_room(now)]
            if len(with_room) > 1 and not query.avoided_targets:
                return with_room
        with_room = [target for target in self._sorted_targets if target.has_room(now)]
        preferred = [target for target in with_room if target.name not in query.avoided_targets]
        return preferred or with_room

    def _has_room_for_deferrable(self, now: float) -> bool:
        """Whether deferrable work leaves room for interactive work to start at once."""
        available = [target for target in self._sorted_targets if target.accepts_work(now)]
        load = sum(target.estimate_load(now) for target in available)
        slots = sum(target.concurrency_limit for target in available)
        return load < max(1.0, slots * _DEFERRABLE_LOAD_SHARE)

    def _sort_targets(self) -> None:
        """Keep the targets in the order of their names: choices don't depend on arrival."""
        self._sorted_targets = tuple(self.targets[name] for name in sorted(self.targets))
        self._cached_facts = None
