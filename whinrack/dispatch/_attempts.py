"""Sends a request to one target, relays its answer and records the outcome for the target."""

import sys
from collections.abc import Callable

from whinrack.clock import steady
from whinrack.dispatch._abandoned_runs import settle_abandoned_run
from whinrack.dispatch._answer_times import AnswerTimes
from whinrack.dispatch._answers import AnswerRelay
from whinrack.dispatch._cost_placement import Objective, PlacementRequest
from whinrack.dispatch._crash_detector import CrashDetector
from whinrack.dispatch._held_body import hold_body
from whinrack.dispatch._open_connections import OpenConnections
from whinrack.dispatch._reachability import ContactFailure
from whinrack.dispatch._refusals import (
    deadline_refusal,
    no_target_refusal,
    target_full_refusal,
)
from whinrack.dispatch._registry import TargetRegistry
from whinrack.dispatch._request_run import RequestRun
from whinrack.dispatch._retries import RetryBudgets
from whinrack.dispatch._run_log import log_early_answer
from whinrack.dispatch._run_times import RunTimes
from whinrack.dispatch._silent_attempts import SilentAttempt
from whinrack.dispatch._statements import StatementHandler, TargetStatement
from whinrack.dispatch._stream_versions import StreamVersions
from whinrack.dispatch._target_state import PendingOutput, PendingPrompt, TargetState
from whinrack.dispatch._values import Attempt, PoolRecord, RouteKind, TargetsView
from whinrack.dispatch.base import Dialect
from whinrack.exceptions import (
    AnswerCut,
    AnsweredByLaterStart,
    AnswerUnbounded,
    AttemptTimeout,
    CallerGone,
    Refusal,
    TargetUnavailable,
)
from whinrack.http1 import ConnectionPool, RequestHead, ResponseHead, TargetConnection
from whinrack.observability import Metrics
from whinrack.quarantine import AdmitAll, RunGuard

__all__ = [
    "TIMEOUT_MARGIN",
    "AttemptFailed",
    "AttemptRunner",
    "ConnectionRefused",
    "NoTargetAvailable",
]

_OK = 200
_SERVER_ERROR = 500
# Fraction of a target's connection limit that all instances together may use.
_CONNECTION_FRACTION = 0.9
_MIN_IN_FLIGHT = 2
# Seconds subtracted from the time left, so that the target's own timeout response can arrive.
TIMEOUT_MARGIN = 0.05
# Minimum seconds without an answer that count as evidence that contact with a pool is lost.
_MIN_SILENCE_SECONDS = 0.6
# Labels under which bytes sent to and received from targets are counted.
_REQUESTS = "request"
_ANSWERS = "answer"


class AttemptFailed(Exception):
    """Raised when an attempt ends before the caller has received an answer.

    Attributes
    ----------
    refusal : Refusal
        The refusal returned to the caller if no further attempt is made.
    was_sent : bool
        Whether the request was sent to the target.
    reason : str
        What happened, for the log.
    """

    def __init__(self, refusal: Refusal, was_sent: bool, reason: str = ""):
        self.reason = reason or refusal.message
        super().__init__(self.reason)
        self.refusal = refusal
        self.was_sent = was_sent


class NoTargetAvailable(AttemptFailed):
    """Raised when no target of the pool accepts a request; an immediate retry cannot succeed."""

    def __init__(self, refusal: Refusal):
        super().__init__(refusal, was_sent=False)


class ConnectionRefused(AttemptFailed):
    """Raised when a target refuses the connection, which costs the request no time."""

    def __init__(self, refusal: Refusal, reason: str):
        super().__init__(refusal, was_sent=False, reason=reason)


class AttemptRunner:
    """Runs single attempts of requests at targets and relays their answers.

    Parameters
    ----------
    dialect : Dialect
    registry : TargetRegistry
    connections : ConnectionPool
    answers : AnswerRelay
    retry_budgets : RetryBudgets
    metrics : Metrics
    instance_count : callable
        Returns the number of instances that share the targets' connection limits.
    targets_view : callable
        Returns the revision and age of the registry's target list, for the log.
    record_traffic : callable
        Called with the kind of traffic, the target's data hall and the number of bytes sent to
        or received from the target.
    stream_versions : StreamVersions
    guard : RunGuard, optional
        Notified of how runs end.
    """

    def __init__(
        self,
        dialect: Dialect,
        registry: TargetRegistry,
        connections: ConnectionPool,
        answers: AnswerRelay,
        retry_budgets: RetryBudgets,
        metrics: Metrics,
        instance_count: Callable[[], int],
        targets_view: Callable[[], TargetsView],
        record_traffic: Callable[[str, str, int], None],
        stream_versions: StreamVersions,
        guard: RunGuard | None = None,
    ):
        self.dialect = dialect
        self.registry = registry
        self.connections = connections
        self.answers = answers
        self.retry_budgets = retry_budgets
        self.metrics = metrics
        self.instance_count = instance_count
        self.targets_view = targets_view
        self.record_traffic = record_traffic
        self.stream_versions = stream_versions
        self.answer_times = AnswerTimes()
        self.run_times = RunTimes()
        self.open_connections = OpenConnections(connections)
        registry.on_target_replaced.append(self.open_connections.abort_replaced)
        self.statements = StatementHandler(registry, metrics)
        self.guard = guard or AdmitAll()
        self.crash_detector = CrashDetector(registry, self.guard)

    def attempt(self, run: RequestRun, pool_name: str) -> None:
        """Send the request to one target and relay its answer.

        Raises
        ------
        AttemptFailed
            If the caller has not received an answer.
        """
        pool = run.configuration.pools.get(pool_name)
        if pool is None:
            raise NoTargetAvailable(no_target_refusal())
        self.stream_versions.await_settled(run)
        now = steady()
        max_in_flight = self._max_in_flight(pool)
        has_engines = pool.engine is not None
        prompt = run.prompt if has_engines else None
        placement = self._placement_request(run, pool) if prompt is not None else None
        state = self.registry.choose(
            pool_name,
            run.affinity,
            run.tried_targets,
            now,
            max_in_flight,
            uses_remote_loads=has_engines,
            prompt=prompt,
            cold_start=pool.cold_start,
            priority=run.priority,
            software_version=run.origin.software_version if run.origin is not None else None,
            placement=placement,
        )
        if state is None:
            raise NoTargetAvailable(self.stream_versions.refusal(run, pool))
        self._check_placement(run, placement)
        run.tried_targets.add(state.record.identity)
        run.target = state.record.incarnation
        run.software_version = self.registry.software_version(state)
        run.target_started = state.record.started
        run.targets_view = self.targets_view()
        self.metrics.targets_age_seconds.set(run.targets_view.age)
        permit_until = self.registry.begin_request(state, pool.cold_start)
        run.pending_prompt = PendingPrompt(state, prompt.tokens if prompt is not None else 0)
        output_tokens = placement.objective.output_tokens if placement is not None else 0.0
        run.pending_output = PendingOutput(state, output_tokens)
        connection = None
        try:
            connection = self._connect(run, state)
            if not self.registry.can_still_send(state, pool.cold_start, permit_until):
                # The target became unavailable while the connection was being opened; nothing
                # was sent yet.
                raise AttemptFailed(no_target_refusal(), was_sent=False)
            self.open_connections.add(state, connection)
            self._exchange(run, pool, state, connection)
        finally:
            self.open_connections.remove(state, connection)
            run.pending_prompt.finish()
            run.pending_output.finish()
            self.registry.end_request(state)
            if connection is not None and not run.waits_for(connection):
                self.connections.release(connection)

    def read_late_refusal(self, run: RequestRun) -> bool:
        """Return whether the target of a silent attempt refuses the request after all.

        Then no target has run the request. Waits for the target once more for as long as the
        attempt has waited.
        """
        attempt = run.silent_attempt
        if attempt is None:
            return False
        now, state, received = steady(), attempt.state, attempt.connection.received_bytes
        deadline = min(run.deadline - TIMEOUT_MARGIN, now + attempt.patience)
        try:
            statement = attempt.read_statement(run.request, self.dialect, deadline)
        finally:
            late_bytes = attempt.connection.received_bytes - received
            self.record_traffic(_ANSWERS, state.record.data_hall, late_bytes)
            self.close_silent_attempt(run)
        if statement is None:
            return False
        self.registry.reachability.record_answer(
            state.record.pool, state.record.identity, attempt.connection.opened_at
        )
        self.statements.handle(state, statement, attempt.sent_at, run.request_id)
        if statement.did_not_run:
            run.may_have_run = False
            self._record_target_refusal(state, statement)
        return statement.did_not_run

    def close_silent_attempt(self, run: RequestRun) -> None:
        """Close the connection of a silent attempt, if there is one."""
        if run.silent_attempt is not None:
            self.connections.release(run.silent_attempt.connection)
            run.silent_attempt = None

    def _placement_request(self, run: RequestRun, pool: PoolRecord) -> PlacementRequest | None:
        """Return what the placement has to reach, None if the pool's routes state no objective."""
        objectives = run.configuration.objectives(pool.name)
        if objectives is None:
            return None
        estimate = self.registry.placement.outputs.estimate(
            run.route.name, run.workspace_name, run.request.declared_tokens.output
        )
        return PlacementRequest(
            Objective(
                goal=run.route.goal or objectives.tightest_goal,
                seconds_left=run.seconds_left(),
                tightest_gap_goal=objectives.tightest_gap_goal,
                output_tokens=estimate.mean,
            )
        )

    def _check_placement(self, run: RequestRun, placement: PlacementRequest | None) -> None:
        """Refuse a request that cannot begin before its deadline at any target."""
        run.placement = placement.result if placement is not None else None
        if run.placement is None:
            return
        if not run.placement.is_reachable and not run.attempts and not run.exchange.is_started:
            raise NoTargetAvailable(deadline_refusal(run.placement.least_work_seconds))
        self.metrics.placements.labels(run.placement.reason).inc()

    def _max_in_flight(self, pool: PoolRecord) -> int:
        """Return this instance's share of the connections that one target accepts.

        Unlimited if the pool has no connection limit.
        """
        if not pool.max_connections:
            return sys.maxsize
        share = _CONNECTION_FRACTION * pool.max_connections / max(1, self.instance_count())
        return max(_MIN_IN_FLIGHT, int(share))

    def _connect(self, run: RequestRun, state: TargetState) -> TargetConnection:
        began_at = steady()
        try:
            return self.connections.acquire(state.address, run.deadline)
        except TargetUnavailable as failure:
            state.record_unreachable(steady())
            is_refused = isinstance(failure.__cause__, ConnectionRefusedError)
            # A running target with too many connections refuses further ones as well.
            if is_refused and state.in_flight <= 1:
                self.crash_detector.record_refused(state)
            self._record_contact_failure(state, ContactFailure.UNREACHABLE, began_at)
            if is_refused:
                raise ConnectionRefused(no_target_refusal(), failure.message) from failure
            raise AttemptFailed(
                no_target_refusal(), was_sent=False, reason=failure.message
            ) from failure

    def _record_contact_failure(
        self,
        state: TargetState,
        kind: ContactFailure,
        began_at: float,
        connection: TargetConnection | None = None,
    ) -> None:
        record = state.record
        has_new_connection = connection is None or not connection.is_reused
        opened_at = None if has_new_connection else connection.opened_at
        self.registry.brittle_targets.record_failure(state, steady())
        self.registry.reachability.record_failure(
            record.pool, record.identity, kind, began_at, opened_at
        )

    def _exchange(
        self, run: RequestRun, pool: PoolRecord, state: TargetState, connection: TargetConnection
    ) -> None:
        run.start_attempt()
        may_have_run_before, silent_attempt = run.may_have_run, run.silent_attempt
        run.may_have_run, run.silent_attempt = True, None
        sent_at, has_head = steady(), False
        reachability = self.registry.reachability
        run.sent_at, run.concurrent_requests = sent_at, state.in_flight - 1
        run.connected_at = connection.opened_at
        silence_timeout = self.answer_times.silence_timeout(pool)
        silent_at = sent_at + self._evidence_seconds(pool.name, silence_timeout)
        can_try_another = self._can_try_another(run, pool, sent_at)
        head_deadline = (
            min(run.deadline, sent_at + silence_timeout) if can_try_another else run.deadline
        )

        def on_statement(statement: TargetStatement) -> None:
            self.statements.handle(state, statement, sent_at, run.request_id)

        try:
            head = self._send_and_read_head(run, state, connection, head_deadline, silent_at)
            if not connection.has_sent_request:
                log_early_answer(run, head.status, connection.sent_bytes)
            reachability.record_answer(pool.name, state.record.identity, connection.opened_at)
            self.answer_times.observe(pool.name, steady() - sent_at)
            statement = self.dialect.parse_statement(head)
            on_statement(statement)
            if statement.did_not_run:
                run.may_have_run, run.silent_attempt = may_have_run_before, silent_attempt
                self._handle_target_refusal(pool, state, statement)
            has_head = True
            state.record_answer(steady())
            state.record_alive(connection.opened_at)
            self._relay_answer(run, pool, state, connection, head)
            state.record_whole_answer(steady())
            self.run_times.observe(pool.name, steady() - sent_at, steady())
            if head.status < _SERVER_ERROR:
                # Only a run that wrote an answer shows that no part of its prompt ends targets.
                signature = run.request_name
                self.guard.record_success(
                    signature if run.has_written else signature.without_parts()
                )
        except AnsweredByLaterStart as failure:
            # Nothing of its answer was relayed, so the stream can go on elsewhere.
            raise AttemptFailed(failure, was_sent=True) from failure
        except AnswerUnbounded as failure:
            # The path works and the target runs, so this is no evidence of a loss or an end.
            state.ejection.record_unreachable(steady())
            self._hold_slot(run, state)
            raise AttemptFailed(failure, was_sent=True) from failure
        except AnswerCut as failure:
            state.ejection.record_failure(steady())
            if not has_head:
                self._record_contact_failure(state, ContactFailure.CUT, sent_at, connection)
            self.crash_detector.record_cut(state, run.request_name)
            if not connection.is_closed_by_target:
                self._hold_slot(run, state)
            if state.is_replaced:
                self.stream_versions.record_replaced(run)
            raise AttemptFailed(failure, was_sent=True) from failure
        except AttemptTimeout as failure:
            self._suspect_silence(run, state, has_head, silence_timeout)
            self._hold_slot(run, state)
            if can_try_another and not has_head and not may_have_run_before:
                run.silent_attempt = SilentAttempt(state, connection, sent_at, silence_timeout)
            raise AttemptFailed(failure, was_sent=True) from failure
        except CallerGone:
            self._suspect_silence(run, state, has_head, silence_timeout)
            # No caller is waiting, so there is time to find out how many tokens were generated, or
            # whether a brittle target has a free slot again.
            is_end_wanted = run.reservation is not None or self._is_brittle(state)
            if not (is_end_wanted and run.may_have_run) or not settle_abandoned_run(
                run, pool, connection, self.dialect, on_statement, has_head
            ):
                self._hold_slot(run, state)
            raise
        finally:
            if silent_attempt is not None and run.silent_attempt is not silent_attempt:
                self.connections.release(silent_attempt.connection)
            self.record_traffic(_REQUESTS, state.record.data_hall, connection.sent_bytes)
            self.record_traffic(_ANSWERS, state.record.data_hall, connection.received_bytes)

    def _evidence_seconds(self, pool: str, silence_timeout: float) -> float:
        """Return the silence of a target after which the path to it may be broken.

        Without an answer of the pool its usual answer times are not known.
        """
        if not self.registry.reachability.has_answered(pool):
            return _MIN_SILENCE_SECONDS
        return max(silence_timeout, _MIN_SILENCE_SECONDS)

    def _is_brittle(self, state: TargetState) -> bool:
        return self.registry.brittle_targets.is_brittle(state)

    def _hold_slot(self, run: RequestRun, state: TargetState) -> None:
        """Count a slot as in use for as long as the target may run a request given up here."""
        until = self.run_times.latest_end(state.record.pool, run.sent_at, run.deadline)
        state.hold_slot(until, steady())

    def _send_and_read_head(
        self,
        run: RequestRun,
        state: TargetState,
        connection: TargetConnection,
        deadline: float,
        silent_at: float,
    ) -> ResponseHead:
        """Send the request and read the head of its answer.

        Parameters
        ----------
        deadline, silent_at : float
            Steady clock times at which to give up, and at which the target counts as silent.
        """
        state.unanswered_requests += 1

        def read_head(until: float) -> ResponseHead:
            return connection.read_head(
                until, lambda headers: self.dialect.is_response_to(run.request, headers)
            )

        try:
            self._send(run, state, connection)
            try:
                return read_head(min(deadline, silent_at))
            except AttemptTimeout:
                if steady() >= silent_at:
                    self._record_contact_failure(
                        state, ContactFailure.SILENT, run.sent_at, connection
                    )
                if steady() >= deadline or self._should_move(run, state.record.pool):
                    raise
            return read_head(deadline)
        finally:
            state.unanswered_requests -= 1

    def _should_move(self, run: RequestRun, pool: str) -> bool:
        """Return whether a request waits for a target of a lost pool and may be repeated."""
        return (
            run.route.kind is RouteKind.REPEATABLE
            and run.attempts < run.route.max_attempts
            and self.registry.reachability.is_lost(pool)
        )

    def _can_try_another(self, run: RequestRun, pool: PoolRecord, now: float) -> bool:
        """Return whether the request may be sent to another target if this one stays silent.

        Never for pools of engines: an abandoned run may have generated tokens that are billed,
        and a retry adds load to engines that are already busy. In a test day with silent engines,
        14% of the requests were refused because of their budgets with such retries and 4%
        without.
        """
        if pool.engine is not None or run.attempts >= run.route.max_attempts:
            return False
        if not run.route.can_run_again:
            return False
        if not self.retry_budgets.for_pool(pool.name).has_permit(now, self.instance_count()):
            return False
        return self.registry.has_eligible_target(pool.name, run.tried_targets, now, pool.cold_start)

    def _suspect_silence(
        self, run: RequestRun, state: TargetState, has_head: bool, silence_timeout: float
    ) -> None:
        """Record a failure of a target that stayed silent for the whole silence timeout.

        Shorter waits are no evidence of a failure, but callers may never wait for longer. So they
        lead to a check of the pool.
        """
        if has_head:
            return
        now = steady()
        waited = now - run.sent_at
        if waited >= silence_timeout:
            state.ejection.record_failure(now)
        if waited >= _MIN_SILENCE_SECONDS or now >= run.deadline:
            self.registry.reachability.request_check(state.record.pool)

    def _send(self, run: RequestRun, state: TargetState, connection: TargetConnection) -> None:
        request = run.request
        attempt = Attempt(
            request=request,
            incarnation=state.record.incarnation,
            workspace=run.workspace_name,
            seconds_left=max(0.001, run.seconds_left()),
            priority=run.priority,
            resume_after=run.last_id,
        )
        head = RequestHead(request.method, request.target, self.dialect.attempt_headers(attempt))
        connection.send(head, request.body)

    def _handle_target_refusal(
        self, pool: PoolRecord, state: TargetState, statement: TargetStatement
    ) -> None:
        self._record_target_refusal(state, statement)
        raise AttemptFailed(target_full_refusal(self.registry, pool, steady()), was_sent=True)

    def _record_target_refusal(self, state: TargetState, statement: TargetStatement) -> None:
        if statement.is_misdirected:
            self.registry.remove_misdirected(state)
        else:
            self.registry.mark_busy(state, steady())

    def _relay_answer(
        self,
        run: RequestRun,
        pool: PoolRecord,
        state: TargetState,
        connection: TargetConnection,
        head: ResponseHead,
    ) -> None:
        """Relay an answer: streams incrementally, other answers once they are complete.

        Answers that are too long to be held are relayed incrementally as well.
        """
        pieces = connection.iter_data(run.deadline)
        if run.route.kind is RouteKind.STREAM and head.status == _OK:
            self.stream_versions.await_record(run, state, connection.opened_at)
            self.answers.relay_stream(run, pool, head, pieces)
            return
        body, is_whole = hold_body(pieces, run.exchange.try_hold)
        if head.status >= _SERVER_ERROR and run.route.kind is RouteKind.REPEATABLE:
            self._retry_after_server_error(run, pool, head)
        if is_whole:
            self.answers.relay_complete(run, pool, head, body)
        else:
            self.answers.relay_long(run, pool, head, body, pieces)

    def _retry_after_server_error(
        self, run: RequestRun, pool: PoolRecord, head: ResponseHead
    ) -> None:
        """Raise `AnswerCut` after a server error if another target can be tried.

        Raises
        ------
        AnswerCut
        """
        has_other_target = self.registry.has_eligible_target(
            pool.name, run.tried_targets, steady(), pool.cold_start
        )
        if run.attempts < run.route.max_attempts and has_other_target:
            raise AnswerCut(f"target answered with status {head.status}")
