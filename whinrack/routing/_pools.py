"""A pool's targets and queue together: who may start where, now."""

import math
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
        two_choices = TwoChoicesPicker(seed)
        self._pickers: dict[Spread, Picker] = {
            Spread.TWO_CHOICES: two_choices,
            Spread.AFFINITY: AffinityPicker(two_choices),
        }

    def update(self, spec: TargetPool) -> None:
        """Take in a newer declaration."""
        self.spec = spec
        self.queue.limit = spec.queue_limit

    def slots(self, now: float) -> int:
        """Return how many requests the pool's targets run at once."""
        return math.floor(sum(t.limit for t in self.targets.values() if t.takes_work(now)))

    def facts(self, now: float) -> PoolFacts:
        """Return what routing programs see."""
        ready = [target for target in self.targets.values() if target.takes_work(now)]
        slots = sum(target.limit for target in ready)
        load = sum(target.load(now) for target in ready)
        busy = round(load / slots, 3) if slots else 1.0
        return PoolFacts(targets=len(ready), queued=len(self.queue), busy=busy)

    def alive(self, now: float) -> bool:
        """Whether any target takes work."""
        return any(target.takes_work(now) for target in self.targets.values())

    def pick(self, query: PickQuery, now: float) -> TargetView | None:
        """Choose a target that has room and count the request there; None if none has."""
        roomy = [target for target in self.targets.values() if target.has_room(now)]
        others = [target for target in roomy if target.name not in query.avoid]
        if query.request_class is RequestClass.DEFERRABLE and not self._spare_room(now):
            return None
        picker = self._pickers[query.spread]
        target = picker.pick(_sorted(others or roomy), query.affinity_key, now)
        if target is not None:
            target.started()
        return target

    def _spare_room(self, now: float) -> bool:
        """Whether deferrable work leaves room for interactive work to start at once."""
        ready = [target for target in self.targets.values() if target.takes_work(now)]
        load = sum(target.load(now) for target in ready)
        slots = sum(target.limit for target in ready)
        return load < max(1.0, slots * _DEFERRABLE_SHARE)


def _sorted(targets: Sequence[TargetView]) -> list[TargetView]:
    return sorted(targets, key=lambda target: target.name)
