"""State of a pool: its targets, queue and retry budget, and the choice of a target."""

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
    """What a request needs from the target that a pool chooses.

    Attributes
    ----------
    affinity_key : str
        Requests with the same key probably share a cached prompt prefix.
    avoided_targets : tuple of str
        Targets at which an earlier attempt failed; chosen only if no other has room.
    """

    request_class: RequestClass
    spread: Spread = Spread.TWO_CHOICES
    affinity_key: str = ""
    avoided_targets: tuple[str, ...] = ()


class PoolState:
    """State of one pool as this instance knows it. Performs no I/O.

    Parameters
    ----------
    name : str
        Name of the TargetPool object.
    spec : TargetPool
        The declaration in force.
    seed : int, optional
        Seed of the pickers.
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
        """Apply a newer declaration."""
        self.spec = spec
        self.queue.limit = spec.queue_limit

    def add(self, target: TargetView) -> None:
        """Add a target."""
        self.targets[target.name] = target
        self._sort_targets()

    def remove(self, name: str) -> None:
        """Remove a target if the pool has it."""
        if self.targets.pop(name, None) is not None:
            self._sort_targets()

    def slots(self, now: float) -> int:
        """Return how many requests the pool's targets can run at once."""
        return math.floor(
            sum(t.concurrency_limit for t in self.targets.values() if t.accepts_work(now))
        )

    def facts(self, now: float) -> PoolFacts:
        """Return the facts for routing programs, cached for a fraction of a second."""
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
        """Return whether any target accepts work."""
        return any(target.accepts_work(now) for target in self.targets.values())

    def shortest_backoff(self, now: float) -> float | None:
        """Return the seconds until the first back-off ends; None if no target backs off."""
        left = [
            target.backoff_until - now for target in self.targets.values() if not target.is_leaving
        ]
        return min((seconds for seconds in left if seconds > 0.0), default=None)

    def pick(self, query: PickQuery, now: float) -> TargetView | None:
        """Choose a target that has room, and count the request as started there.

        Returns
        -------
        TargetView or None
            None if no target has room for a request of this class.
        """
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
        """Return targets with room; for a large pool, a sample if enough of it has room."""
        if len(self._sorted_targets) > _SAMPLE_SIZE and query.spread is Spread.TWO_CHOICES:
            sample = self._random.sample(self._sorted_targets, _SAMPLE_SIZE)
            with_room = [target for target in sample if target.has_room(now)]
            if len(with_room) > 1 and not query.avoided_targets:
                return with_room
        with_room = [target for target in self._sorted_targets if target.has_room(now)]
        preferred = [target for target in with_room if target.name not in query.avoided_targets]
        return preferred or with_room

    def _has_room_for_deferrable(self, now: float) -> bool:
        """Return whether interactive work can still start at once beside deferrable work."""
        available = [target for target in self._sorted_targets if target.accepts_work(now)]
        load = sum(target.estimate_load(now) for target in available)
        slots = sum(target.concurrency_limit for target in available)
        return load < max(1.0, slots * _DEFERRABLE_LOAD_SHARE)

    def _sort_targets(self) -> None:
        """Sort the targets by name, so that choices don't depend on the order of arrival."""
        self._sorted_targets = tuple(self.targets[name] for name in sorted(self.targets))
        self._cached_facts = None
