"""Admission of requests to targets: applies the pools' decisions in green threads."""

from eventlet.semaphore import Semaphore
from returns.result import Failure, Result, Success

from whinrack.clock import steady
from whinrack.engines import EngineLoad
from whinrack.exceptions import DeadlineUnreachable, Refusal, TargetUnavailable
from whinrack.feed import ConfigStore
from whinrack.objects import Protocol, Target, TargetPool
from whinrack.observability import Event, Metrics, log_event
from whinrack.routing import (
    LoadReport,
    LocalEjection,
    PickQuery,
    PoolState,
    QueuedRequest,
    RouteDecision,
    TargetView,
)

__all__ = ["PoolDirectory", "Slot"]

_NO_TARGET_RETRY_AFTER = 2.0


class Slot:
    """A slot at a target that a request occupies until it is released."""

    def __init__(self, directory: "PoolDirectory", pool: PoolState, target: TargetView):
        self.directory = directory
        self.pool = pool
        self.target = target
        self.started_at = steady()
        self.is_released = False

    def release(self) -> None:
        """Release the slot; further calls have no effect."""
        if self.is_released:
            return
        self.is_released = True
        self.target.end_request()
        self.pool.queue.record_service_time(steady() - self.started_at)
        self.directory.wake_first(self.pool)


class PoolDirectory:
    """The declared pools, and admission to their targets.

    Parameters
    ----------
    config : ConfigStore
        Holds the declared pools and targets.
    metrics : Metrics
        Counts waits and ejections.
    seed : int, optional
        Seed of the pickers.
    """

    def __init__(self, config: ConfigStore, metrics: Metrics, seed: int | None = None):
        self.config = config
        self.metrics = metrics
        self.seed = seed
        self._pools: dict[str, PoolState] = {}
        self._leaving_instances: set[str] = set()

    def apply_config(self) -> None:
        """Update pools and targets from the declarations in force."""
        specs = self.config.specs_of_kind(TargetPool)
        for name in set(self._pools) - set(specs):
            del self._pools[name]
        for name, spec in specs.items():
            pool = self._pools.get(name)
            if pool is None:
                self._pools[name] = PoolState(name, spec, self.seed)
            else:
                pool.update(spec)
        self._rebuild_targets()

    def set_leaving_instances(self, instances: set[str]) -> None:
        """Set the leaving instances, as known from the platform's list and from peers."""
        if instances == self._leaving_instances:
            return
        self._leaving_instances = set(instances)
        self._rebuild_targets()

    def pools(self) -> dict[str, PoolState]:
        """Return the pools by name."""
        return self._pools

    def targets(self) -> list[TargetView]:
        """Return all targets."""
        return [target for pool in self._pools.values() for target in pool.targets.values()]

    def pools_serving(self, model: str) -> dict[str, PoolState]:
        """Return the chat pools that serve a model."""
        return {
            name: pool
            for name, pool in self._pools.items()
            if pool.spec.protocol is Protocol.CHAT and model in pool.spec.models
        }

    def admit(
        self, decision: RouteDecision, query: PickQuery, deadline: float
    ) -> Result[Slot, Refusal]:
        """Acquire a slot, waiting in the first pool with an available target if need be.

        Pools are tried in the order of the decision. No pool is tried in which requests of
        the same or a more urgent class wait already.
        """
        pools = [self._pools[name] for name in decision.pools if name in self._pools]
        now = steady()
        for pool in pools:
            if not self._must_queue(pool, query, now):
                target = pool.pick(query, now)
                if target is not None:
                    return Success(Slot(self, pool, target))
        available = [pool for pool in pools if pool.has_available_target(now)]
        if not available:
            waits = [
                seconds_left
                for pool in pools
                if (seconds_left := pool.shortest_backoff(now)) is not None
            ]
            return Failure(
                TargetUnavailable(
                    "no target of the allowed pools accepts requests",
                    retry_after=min(waits, default=_NO_TARGET_RETRY_AFTER),
                )
            )
        return self._wait_in_queue(available[0], query, min(deadline, now + decision.wait), now)

    def record_load(self, target: TargetView, load: EngineLoad) -> None:
        """Record a target's load report."""
        was_leaving = target.is_leaving
        target.has_reported_leaving = load.leaving
        target.report = LoadReport(load.running, load.waiting, steady(), target.in_flight)
        if target.is_leaving and not was_leaving:
            log_event(Event.TARGET_LEAVING, target=target.name, source="report")

    def record_failure(self, target: TargetView) -> None:
        """Record a failed or broken connection to a target."""
        now = steady()
        before = target.ejection.is_ejected(now)
        target.record_failure(now)
        if target.ejection.is_ejected(now) and not before:
            self.metrics.ejections.inc()
            log_event(Event.TARGET_EJECTED, target=target.name)

    def wake_first(self, pool: PoolState) -> None:
        """Wake the first request in the queue of a pool, so that it tries for a slot."""
        queued = pool.queue.peek(steady())
        if queued is not None:
            queued.wake()

    def wake_all(self) -> None:
        """Wake the first request of each queue, as limits and loads may have changed."""
        for pool in self._pools.values():
            self.wake_first(pool)

    def _wait_in_queue(self, pool: PoolState, query: PickQuery, deadline: float, now: float):
        """Queue a request and wait for a slot; refuse it if the queue does not take it."""
        semaphore = Semaphore(0)
        queued = QueuedRequest(query.request_class, deadline, semaphore.release)
        joined = pool.queue.enqueue(queued, pool.slots(now), now)
        if isinstance(joined, Failure):
            return joined
        try:
            return self._wait_for_slot(pool, query, queued, semaphore)
        finally:
            pool.queue.remove(queued)
            self.metrics.queue_wait_seconds.labels(str(query.request_class)).observe(steady() - now)

    def _wait_for_slot(self, pool, query, queued, semaphore) -> Result[Slot, Refusal]:
        """Wait until a slot is free, the wait ends or a more urgent request takes the place."""
        while True:
            now = steady()
            seconds_left = queued.deadline - now
            if queued.refusal is not None:
                return Failure(queued.refusal)
            if seconds_left <= 0:
                wait = pool.queue.expected_wait(len(pool.queue), pool.slots(now))
                return Failure(
                    DeadlineUnreachable(
                        "no slot became free within the allowed wait", retry_after=max(1.0, wait)
                    )
                )
            if not semaphore.acquire(timeout=seconds_left):
                continue
            if queued.refusal is not None:
                return Failure(queued.refusal)
            target = pool.pick(query, steady())
            if target is not None:
                pool.queue.remove(queued)
                self.wake_first(pool)
                return Success(Slot(self, pool, target))

    def _must_queue(self, pool: PoolState, query: PickQuery, now: float) -> bool:
        """Return whether a request of the same or a more urgent class waits already."""
        first = pool.queue.peek(now)
        if first is None:
            return False
        ranks = list(type(query.request_class))
        return ranks.index(first.request_class) <= ranks.index(query.request_class)

    def _rebuild_targets(self) -> None:
        specs = self.config.specs_of_kind(Target)
        for pool in self._pools.values():
            for name in list(pool.targets):
                if name not in specs or specs[name].pool != pool.name:
                    pool.remove(name)
        for name, spec in specs.items():
            if spec.pool in self._pools:
                self._update_target(self._pools[spec.pool], name, spec)

    def _update_target(self, pool: PoolState, name: str, spec: Target) -> None:
        target = pool.targets.get(name)
        if target is None:
            target = TargetView(name, spec, LocalEjection())
            pool.add(target)
        was_leaving = target.is_leaving
        target.update(spec)
        target.is_instance_leaving = spec.instance in self._leaving_instances
        if target.is_leaving and not was_leaving:
            log_event(Event.TARGET_LEAVING, target=name)
