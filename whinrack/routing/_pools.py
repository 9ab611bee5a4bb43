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

_DEFERRABLE_SHARE = 0.75
_SAMPLED = 12
_FACTS_AGE = 0.1


class PickQuery(msgspec.Struct, frozen=True, kw_only=True):
    """What a request asks of a pool.

    Attributes
    ----------
    affinity_key : str
        Requests with the same key likely share a cached prompt prefix.
    avoid : tuple of str
        Targets that an earlier attempt failed at.
    """

    request_class: RequestClass
    spread: Spread = Spread.TWO_CHOICES
    affinity_key: str = ""
    avoid: tuple[str, ...] = ()


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
        self.retries = RetryBudget()
        self.targets: dict[str, TargetView] = {}
        self._ordered: tuple[TargetView, ...] = ()
        self._facts: tuple[float, PoolFacts] | None = None
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
        self._order()

    def remove(self, name: str) -> None:
        """Forget a target, if it is here."""
        if self.targets.pop(name, None) is not None:
            self._order()

    def slots(self, now: float) -> int:
        """Return how many requests the pool's targets run at once."""
        return math.floor(
            sum(t.concurrency_limit for t in self.targets.values() if t.takes_work(now))
        )

    def facts(self, now: float) -> PoolFacts:
        """Return what routing programs see, at most some moments old."""
        if self._facts is not None and 0.0 <= now - self._facts[0] < _FACTS_AGE:
            return self._facts[1]
        facts = self._count(now)
        self._facts = (now, facts)
        return facts

    def _count(self, now: float) -> PoolFacts:
        ready = [target for target in self.targets.values() if target.takes_work(now)]
        slots = sum(target.concurrency_limit for target in ready)
        load = sum(target.load(now) for target in ready)
        busy = round(load / slots, 3) if slots else 1.0
        return PoolFacts(targets=len(ready), queued=len(self.queue), busy=busy)

    def alive(self, now: float) -> bool:
        """Whether any target takes work."""
        return any(target.takes_work(now) for target in self.targets.values())

    def backoff_left(self, now: float) -> float | None:
        """Return the seconds until the first back-off ends, None if there is none."""
        left = [
            target.backoff_until - now for target in self.targets.values() if not target.leaving
        ]
        return min((seconds for seconds in left if seconds > 0.0), default=None)

    def pick(self, query: PickQuery, now: float) -> TargetView | None:
        """Choose a target that has room and count the request there; None if none has."""
        if query.request_class is RequestClass.DEFERRABLE and not self._spare_room(now):
            return None
        picker = self._pickers[query.spread]
        target = picker.pick(self._candidates(query, now), query.affinity_key, now)
        if target is not None:
            target.begin_request()
        return target

    def _candidates(self, query: PickQuery, now: float) -> Sequence[TargetView]:
        """Return targets with room; of a large pool a sample, if enough of it has room."""
        if len(self._ordered) > _SAMPLED and query.spread is Spread.TWO_CHOICES:
            sample = self._random.sample(self._ordered, _SAMPLED)
            roomy = [target for target in sample if target.has_room(now)]
            if len(roomy) > 1 and not query.avoid:
                return roomy
        roomy = [target for target in self._ordered if target.has_room(now)]
        others = [target for target in roomy if target.name not in query.avoid]
        return others or roomy

    def _spare_room(self, now: float) -> bool:
        """Whether deferrable work leaves room for interactive work to start at once."""
        ready = [target for target in self._ordered if target.takes_work(now)]
        load = sum(target.load(now) for target in ready)
        slots = sum(target.concurrency_limit for target in ready)
        return load < max(1.0, slots * _DEFERRABLE_SHARE)

    def _order(self) -> None:
        """Keep the targets in the order of their names: choices don't depend on arrival."""
        self._ordered = tuple(self.targets[name] for name in sorted(self.targets))
        self._facts = None
