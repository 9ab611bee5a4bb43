"""Probes of targets of pools that may be lost, so that no caller's request has to find out."""

import math
import random

import eventlet
import msgspec

from whinrack.clock import steady
from whinrack.dispatch import (
    ContactChange,
    ContactFailure,
    CurrentConfiguration,
    Dialect,
    PoolRecord,
    TargetRegistry,
    TargetState,
)
from whinrack.exceptions import AttemptTimeout, Refusal, TargetUnavailable
from whinrack.http1 import RequestHead, ResponseHead, TargetConnection
from whinrack.observability import Event, Metrics, log_event

__all__ = ["TargetProbes"]

_CHECK_SECONDS = 0.1
# Targets that are probed at once after the first probe of a check has failed. If none of them
# answers for the time of a round, all others are probed.
_SECOND_PROBES = 3
_ROUND_SECONDS = 0.2
# Time after which a check ends without a result.
_MAX_CHECK_SECONDS = 2.0
_POLL_SECONDS = 0.02
# Minimum interval between two checks of a pool: probes must not add to the load of a pool whose
# targets are slow.
_CHECK_INTERVAL_SECONDS = 1.0
# Interval between the probes of one lost pool.
_PROBE_INTERVAL_SECONDS = 0.5
_CONNECT_SECONDS = 0.3
# Time for the answer: a target that is busy may let a probe wait.
_ANSWER_SECONDS = 0.7
# Interval between the probes of a target that gets no requests until a probe is answered.
_FAILED_TARGET_INTERVAL_SECONDS = 0.5
# While a pool is lost, other pools without an answer for this time are probed as well.
_UNSURE_SECONDS = 1.0
# Results under which probes are counted, besides those of `ContactFailure`.
_ANSWERED = "answered"
_REFUSED = "refused"
# Result of a check of a pool, besides `_ANSWERED`.
_LOST = "lost"


class _ProbeResult(msgspec.Struct, frozen=True):
    """How a probe ended.

    Attributes
    ----------
    failure : ContactFailure or None
        None if the target has answered or closed the connection without a reset.
    head : ResponseHead or None
        Head of the answer, None if there was none.
    """

    failure: ContactFailure | None
    head: ResponseHead | None = None


class TargetProbes:
    """Probes targets of a pool after a failure there, and those of lost pools in turn.

    A brittle target is only probed within this instance's quota, since a probe needs a slot.

    Parameters
    ----------
    registry : TargetRegistry
    current_configuration : CurrentConfiguration
    dialect : Dialect
    metrics : Metrics
    """

    def __init__(
        self,
        registry: TargetRegistry,
        current_configuration: CurrentConfiguration,
        dialect: Dialect,
        metrics: Metrics,
    ):
        self.registry = registry
        self.dialect = dialect
        self.current_configuration = current_configuration
        self.metrics = metrics
        self._probed_at: dict[str, float] = {}
        # Identities of the targets that were probed in the current round, by pool.
        self._probed: dict[str, set[str]] = {}
        self._checking: set[str] = set()
        self._checked_at: dict[str, float] = {}
        self._doubted: set[str] = set()
        # When targets that get no requests were last probed, by identity.
        self._failed_probed_at: dict[str, float] = {}
        registry.reachability.on_failure.append(self._check_by_name)
        registry.reachability.on_change.append(self._check_others)

    def run(self) -> None:
        """Probe until the process ends."""
        while True:
            eventlet.sleep(_CHECK_SECONDS)
            self._log_doubts()
            for pool in self.current_configuration.pools:
                if self._is_uncertain(pool.name):
                    self._check(pool)
            now = steady()
            for pool in self._due_pools(now):
                eventlet.spawn_n(self._probe_next, pool)
            for pool in self.current_configuration.pools:
                self._probe_failed(pool, now)

    def _log_doubts(self) -> None:
        """Log each pool that began or ceased to be doubted."""
        reachability = self.registry.reachability
        pools = [pool.name for pool in self.current_configuration.pools]
        doubted = {pool for pool in pools if reachability.is_doubted(pool)}
        for pool in sorted(doubted ^ self._doubted):
            log_event(
                Event.POOL_DOUBTED,
                pool=pool,
                doubted=pool in doubted,
                lost=reachability.is_lost(pool),
                targets=len(self.registry.targets_in_pool(pool)),
                silent=round(reachability.silent_seconds(pool), 3),
            )
        self._doubted = doubted

    def _probe_failed(self, pool: PoolRecord, now: float) -> None:
        """Probe the targets of a brittle pool that get no requests until a probe is answered."""
        if self.registry.brittle_limits.is_empty or self.registry.reachability.is_lost(pool.name):
            return
        probed_at = self._failed_probed_at
        for state in self.registry.targets_in_pool(pool.name):
            identity = state.record.identity
            is_due = now - probed_at.get(identity, -math.inf) >= _FAILED_TARGET_INTERVAL_SECONDS
            if is_due and self.registry.brittle_targets.needs_check(state, now):
                probed_at[identity] = now
                eventlet.spawn_n(self._probe, pool, state)
        self._failed_probed_at = {
            identity: at
            for identity, at in probed_at.items()
            if now - at < _FAILED_TARGET_INTERVAL_SECONDS
        }

    def _due_pools(self, now: float) -> list[PoolRecord]:
        reachability = self.registry.reachability
        if not reachability.lost_pools():
            self._probed_at.clear()
            self._probed.clear()
            return []
        due = [
            pool
            for pool in self.current_configuration.pools
            if now - self._probed_at.get(pool.name, -math.inf) >= _PROBE_INTERVAL_SECONDS
            and (
                reachability.is_lost(pool.name)
                or reachability.silent_seconds(pool.name) >= _UNSURE_SECONDS
            )
        ]
        for pool in due:
            self._probed_at[pool.name] = now
        return due

    def _is_uncertain(self, pool: str) -> bool:
        """Return whether a pool is suspected, or has targets and has not been reached yet."""
        reachability = self.registry.reachability
        if reachability.is_suspected(pool):
            return True
        return reachability.is_doubted(pool) and bool(self.registry.targets_in_pool(pool))

    def _check_others(self, change: ContactChange) -> None:
        """Check the other pools when one is lost: the path may be broken to their targets, too."""
        if change.is_lost:
            for pool in self.current_configuration.pools:
                if pool.name != change.pool and not self.registry.reachability.is_lost(pool.name):
                    self._checked_at.pop(pool.name, None)
                    self._check(pool)

    def _check_by_name(self, pool_name: str) -> None:
        for pool in self.current_configuration.pools:
            if pool.name == pool_name:
                self._check(pool)

    def _check(self, pool: PoolRecord) -> None:
        """Check in the background whether a pool is lost, unless this is being done."""
        now = steady()
        if now - self._checked_at.get(pool.name, -math.inf) < _CHECK_INTERVAL_SECONDS:
            return
        if pool.name not in self._checking:
            self._checking.add(pool.name)
            self._checked_at[pool.name] = now
            eventlet.spawn_n(self._check_until_certain, pool, now)

    def _check_until_certain(self, pool: PoolRecord, began_at: float) -> None:
        """Probe one target, and more of them only if it fails or others have failed before."""
        probed: set[str] = set()
        try:
            if not self._is_first_probe_answered(pool, probed):
                self._probe_in_rounds(pool, probed, began_at)
                self._log_check(pool, probed, began_at)
        finally:
            self._checking.discard(pool.name)

    def _is_first_probe_answered(self, pool: PoolRecord, probed: set[str]) -> bool:
        """Probe one target, unless the path is in doubt; return whether it has answered."""
        reachability = self.registry.reachability
        if reachability.is_suspected(pool.name) or reachability.lost_pools():
            return False
        for state in self._targets_to_probe(pool, probed, 1):
            probed.add(state.record.identity)
            return not self._probe(pool, state)
        return False

    def _probe_in_rounds(self, pool: PoolRecord, probed: set[str], began_at: float) -> None:
        """Probe some further targets, then all others, until the result is certain."""
        for most in (_SECOND_PROBES, None):
            for state in self._targets_to_probe(pool, probed, most):
                probed.add(state.record.identity)
                eventlet.spawn_n(self._probe, pool, state)
            self._wait_for_result(pool, began_at, steady() + _ROUND_SECONDS)
            if self._has_result(pool, began_at):
                return
        if probed:
            self._wait_for_result(pool, began_at, began_at + _MAX_CHECK_SECONDS)

    def _log_check(self, pool: PoolRecord, probed: set[str], began_at: float) -> None:
        reachability = self.registry.reachability
        to_check = set(reachability.targets_to_check(pool.name))
        held_back = [
            state
            for state in self.registry.targets_in_pool(pool.name)
            if state.record.identity in to_check and not self._can_check(state)
        ]
        in_flight = sum(state.in_flight for state in held_back)
        if not probed and not in_flight:
            # This instance sends nothing to the targets of the pool.
            return
        log_event(
            Event.POOL_CHECKED,
            pool=pool.name,
            result=self._check_result(pool.name, began_at),
            probed=len(probed),
            held_back=len(held_back),
            in_flight=in_flight,
            silent=round(reachability.silent_seconds(pool.name), 3),
            took=round(steady() - began_at, 3),
        )

    def _check_result(self, pool: str, began_at: float) -> str:
        """Return what a check has found, empty if nothing is known."""
        reachability = self.registry.reachability
        if reachability.is_lost(pool):
            return _LOST
        return _ANSWERED if reachability.connected_at(pool) >= began_at else ""

    def _has_result(self, pool: PoolRecord, began_at: float) -> bool:
        """Return whether a new connection was answered since a check began, or the pool is lost."""
        return bool(self._check_result(pool.name, began_at))

    def _wait_for_result(self, pool: PoolRecord, began_at: float, until: float) -> None:
        while steady() < until and not self._has_result(pool, began_at):
            eventlet.sleep(_POLL_SECONDS)

    def _targets_to_probe(
        self, pool: PoolRecord, excluded: set[str], most: int | None
    ) -> list[TargetState]:
        """Return targets that are to be checked in random order."""
        to_check = set(self.registry.reachability.targets_to_check(pool.name)) - excluded
        states = [
            state
            for state in self.registry.targets_in_pool(pool.name)
            if state.record.identity in to_check and self._can_check(state)
        ]
        random.shuffle(states)
        return states[:most]

    def _probe_next(self, pool: PoolRecord) -> None:
        state = self._next_target(pool.name)
        if state is not None:
            self._probe(pool, state)

    def _can_check(self, state: TargetState) -> bool:
        return self.registry.brittle_targets.can_check(state, steady())

    def _probe(self, pool: PoolRecord, state: TargetState) -> bool:
        """Probe a target and record the result; return whether the probe failed."""
        if not self._can_check(state):
            return False
        began_at, identity = steady(), state.record.identity
        with state.counted_check():
            result = _send_probe(state, pool.health_path)
        self._record_result(pool, state, result, began_at)
        if result.failure is None:
            self.registry.reachability.record_answer(pool.name, identity, began_at)
        else:
            self.registry.reachability.record_failure(pool.name, identity, result.failure, began_at)
        return result.failure is not None

    def _record_result(
        self, pool: PoolRecord, state: TargetState, result: _ProbeResult, began_at: float
    ) -> None:
        """Count a probe, and log it if the target had no room for it."""
        label = result.failure.value if result.failure else _ANSWERED
        if result.head is not None and self.dialect.parse_statement(result.head).did_not_run:
            label = _REFUSED
            log_event(
                Event.TARGET_PROBE_REFUSED,
                target=state.record.incarnation,
                started=state.record.started,
                pool=pool.name,
                status=result.head.status,
                waited=round(steady() - began_at, 4),
                in_flight=state.in_flight,
            )
        self.metrics.target_probes.labels(label).inc()

    def _next_target(self, pool: str) -> TargetState | None:
        """Return the next target in service, one that has not failed if possible.

        A round ends when all were probed.
        """
        probed = self._probed.setdefault(pool, set())
        states = [
            state
            for state in self.registry.targets_in_pool(pool)
            if self.registry.is_in_service(state) and self._can_check(state)
        ]
        if not states:
            return None
        remaining = [state for state in states if state.record.identity not in probed]
        if not remaining:
            probed.clear()
            remaining = states
        # Instances that have lost the pool together must not all probe the same target.
        random.shuffle(remaining)
        failed = self.registry.reachability.failed_targets(pool)
        chosen = min(remaining, key=lambda state: state.record.identity in failed)
        probed.add(chosen.record.identity)
        return chosen


def _send_probe(state: TargetState, path: str) -> _ProbeResult:
    """Ask a target for its health; any answer shows that it is reached."""
    host, port = state.address
    try:
        connection = TargetConnection.connect(state.address, _CONNECT_SECONDS)
    except TargetUnavailable:
        return _ProbeResult(ContactFailure.UNREACHABLE)
    deadline = steady() + _ANSWER_SECONDS
    try:
        headers = [(b"host", f"{host}:{port}".encode()), (b"connection", b"close")]
        connection.send(RequestHead(b"GET", path.encode(), headers), b"")
        return _ProbeResult(None, connection.read_head(deadline, lambda headers: True))
    except AttemptTimeout:
        return _ProbeResult(ContactFailure.SILENT)
    except Refusal:
        is_reached = connection.is_closed_by_target or connection.received_bytes
        return _ProbeResult(None if is_reached else ContactFailure.CUT)
    finally:
        # A check that a broken path has held up must not arrive later.
        connection.reset()
