"""One attempt of a request at one target, and what it tells of the target."""

import sys
from collections.abc import Callable

from whinrack.clock import steady
from whinrack.dispatch._abandoned_runs import settle_by_last_words
from whinrack.dispatch._answer_times import AnswerTimes
from whinrack.dispatch._answers import AnswerRelay
from whinrack.dispatch._open_connections import ConnectionsUnderWay
from whinrack.dispatch._refusals import no_target, target_full, why_nobody
from whinrack.dispatch._registry import TargetRegistry
from whinrack.dispatch._request_run import Run
from whinrack.dispatch._retries import RetryAllowances
from whinrack.dispatch._statements import StatementIntake, TargetStatement
from whinrack.dispatch._target_ends import TargetEnds
from whinrack.dispatch._target_state import Reading, TargetState
from whinrack.dispatch._values import Attempt, PoolRecord, RouteKind, TargetsView
from whinrack.dispatch.base import Dialect
from whinrack.exceptions import (
    AnswerCut,
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
    "NobodyTakesIt",
]

_OK = 200
_SERVER_ERROR = 500
# Part of the connections that a target accepts which all instances together use.
_CONNECTION_PART = 0.9
_LEAST_IN_FLIGHT = 2
# A target is told a little less time than is left, so that its own word can arrive; seconds.
TIMEOUT_MARGIN = 0.05
# What moves between this instance and targets, as the traffic is counted.
_REQUESTS = "request"
_ANSWERS = "answer"


class AttemptFailed(Exception):
    """An attempt that gave the caller no answer.

    Attributes
    ----------
    refusal : Refusal
        What the caller is told if there is no further attempt.
    counts : bool
        Whether the target was sent anything.
    """

    def __init__(self, refusal: Refusal, counts: bool):
        super().__init__(refusal.message)
        self.refusal = refusal
        self.counts = counts


class NobodyTakesIt(AttemptFailed):
    """No target of the pool takes a request now; asking again at once changes nothing."""

    def __init__(self, refusal: Refusal):
        super().__init__(refusal, counts=False)


class AttemptRunner:
    """Sends requests to targets and relays their answers.

    Parameters
    ----------
    dialect : Dialect
    registry : TargetRegistry
    connections : ConnectionPool
    answers : AnswerRelay
    allowances : RetryAllowances
    metrics : Metrics
    instances : callable
        Returns the number of instances that share the targets' connections.
    targets_view : callable
        Returns how up to date the registry is, for the log.
    moved : callable
        Told what moved to and from a target: what it is, the target's data hall, its bytes.
    guard : RunGuard, optional
        Told how runs end.
    """

    def __init__(
        self,
        dialect: Dialect,
        registry: TargetRegistry,
        connections: ConnectionPool,
        answers: AnswerRelay,
        allowances: RetryAllowances,
        metrics: Metrics,
        instances: Callable[[], int],
        targets_view: Callable[[], TargetsView],
        moved: Callable[[str, str, int], None],
        guard: RunGuard | None = None,
    ):
        self.dialect = dialect
        self.registry = registry
        self.connections = connections
        self.answers = answers
        self.allowances = allowances
        self.metrics = metrics
        self.instances = instances
        self.targets_view = targets_view
        self.moved = moved
        self.answer_times = AnswerTimes()
        self.under_way = ConnectionsUnderWay(connections)
        registry.ended.append(self.under_way.target_started_anew)
        self.statements = StatementIntake(registry, metrics)
        self.guard = guard or AdmitAll()
        self.target_ends = TargetEnds(registry, self.guard)

    def attempt(self, run: Run, pool_name: str) -> None:
        """Send the request to one target and relay its answer.

        Raises
        ------
        AttemptFailed
            The caller has got no answer yet.
        """
        pool = run.configuration.pools.get(pool_name)
        now = steady()
        if pool is None:
            raise NobodyTakesIt(no_target())
        most = self._most_in_flight(pool)
        has_engines = pool.engine is not None
        prompt = run.prompt if has_engines else None
        state = self.registry.choose(
            pool_name,
            run.affinity,
            run.tried,
            now,
            most,
            shares_loads=has_engines,
            prompt=prompt,
            cold_start=pool.cold_start,
            rank=run.priority,
        )
        if state is None:
            raise NobodyTakesIt(why_nobody(self.registry, pool, now))
        run.tried.add(state.record.identity)
        run.target = state.record.incarnation
        run.targets_view = self.targets_view()
        self.metrics.targets_age.set(run.targets_view.age)
        permit_until = self.registry.started(state, pool.cold_start)
        run.reading = Reading(state, prompt.tokens if prompt is not None else 0)
        connection = None
        try:
            connection = self._connect(run, state)
            if not self.registry.still_takes(state, pool.cold_start, permit_until):
                # That was learnt while the connection was waited for, and nothing was sent yet.
                raise AttemptFailed(no_target(), counts=False)
            self.under_way.add(state, connection)
            self._exchange(run, pool, state, connection)
        finally:
            self.under_way.remove(state, connection)
            run.reading.end()
            self.registry.finished(state)
            if connection is not None:
                self.connections.give_back(connection)

    def _most_in_flight(self, pool: PoolRecord) -> int:
        """Return this instance's share of the connections that one target accepts."""
        if not pool.max_connections:
            return sys.maxsize
        share = _CONNECTION_PART * pool.max_connections / max(1, self.instances())
        return max(_LEAST_IN_FLIGHT, int(share))

    def _connect(self, run: Run, state: TargetState) -> TargetConnection:
        try:
            return self.connections.take(state.address, run.end)
        except TargetUnavailable as failure:
            state.unreachable(steady())
            raise AttemptFailed(no_target(), counts=False) from failure

    def _exchange(
        self, run: Run, pool: PoolRecord, state: TargetState, connection: TargetConnection
    ) -> None:
        run.attempts += 1
        may_have_run_before = run.may_have_run
        run.may_have_run = True
        began, answered = steady(), False
        run.sent_at, run.beside = began, state.in_flight - 1
        patience = self.answer_times.suspicious_after(pool)
        has_another = self._has_another(run, pool, began)
        head_end = min(run.end, began + patience) if has_another else run.end

        def hear(statement: TargetStatement) -> None:
            self.statements.hear(state, statement, began, run.label)

        try:
            head = self._head_of_answer(run, state, connection, head_end)
            self.answer_times.observe(pool.name, steady() - began)
            statement = self.dialect.parse_statement(head)
            hear(statement)
            if statement.did_not_run:
                run.may_have_run = may_have_run_before
                self._refused_by_target(pool, state, statement)
            answered = True
            state.answered(steady())
            self._pass_on(run, pool, connection, head)
            if head.status < _SERVER_ERROR:
                self.guard.record_success(run.name)
        except AnswerCut as failure:
            state.ejection.record_failure(steady())
            self.target_ends.cut(state, run.name)
            raise AttemptFailed(failure, counts=True) from failure
        except AttemptTimeout as failure:
            self._suspect_silence(state, began, answered, patience)
            raise AttemptFailed(failure, counts=True) from failure
        except CallerGone:
            self._suspect_silence(state, began, answered, patience)
            # Nobody waits for an answer here, so there is time to learn what was made.
            if run.reservation is not None and run.may_have_run:
                settle_by_last_words(run, pool, connection, self.dialect, hear, answered)
            raise
        finally:
            self.moved(_REQUESTS, state.record.data_hall, connection.sent_bytes)
            self.moved(_ANSWERS, state.record.data_hall, connection.received_bytes)

    def _head_of_answer(
        self, run: Run, state: TargetState, connection: TargetConnection, end: float
    ) -> ResponseHead:
        """Send the request and wait for the head of its answer."""
        state.unanswered += 1
        try:
            self._send(run, state, connection)
            return connection.read_head(
                end, lambda headers: self.dialect.is_response_to(run.request, headers)
            )
        finally:
            state.unanswered -= 1

    def _has_another(self, run: Run, pool: PoolRecord, now: float) -> bool:
        """Whether the request may still go to another target if this one is silent.

        Not where engines run it: a run that is given up may have handed out tokens, which
        are billed, and a busy engine only gets more to do. With it, 14 in 100 requests were
        refused for their budgets on a day with silent engines, and 4 in 100 without.
        """
        if pool.engine is not None or run.attempts >= run.route.max_attempts:
            return False
        if not run.route.may_run_again:
            return False
        if not self.allowances.of(pool.name).has_permit(now, self.instances()):
            return False
        return self.registry.has_other(pool.name, run.tried, now, pool.cold_start)

    def _suspect_silence(
        self, state: TargetState, began: float, answered: bool, patience: float
    ) -> None:
        """Count a target that was silent for long as failing; short waits tell nothing."""
        now = steady()
        if not answered and now - began >= patience:
            state.ejection.record_failure(now)

    def _send(self, run: Run, state: TargetState, connection: TargetConnection) -> None:
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
        connection.send(head, request.body, run.end)

    def _refused_by_target(
        self, pool: PoolRecord, state: TargetState, statement: TargetStatement
    ) -> None:
        now = steady()
        if statement.is_misdirected:
            self.registry.not_at_its_address(state)
        else:
            self.registry.busy(state, now)
        raise AttemptFailed(target_full(self.registry, pool, now), counts=True)

    def _pass_on(
        self, run: Run, pool: PoolRecord, connection: TargetConnection, head: ResponseHead
    ) -> None:
        """Pass a target's answer on: streams as they come, others once all of it is here."""
        pieces = connection.pieces(run.end)
        if run.route.kind is RouteKind.STREAM and head.status == _OK:
            self.answers.pass_stream(run, pool, head, pieces)
            return
        body = b"".join(pieces)
        if head.status >= _SERVER_ERROR and run.route.kind is RouteKind.REPEATABLE:
            self._run_again(run, pool, head)
        self.answers.pass_whole(run, pool, head, body)

    def _run_again(self, run: Run, pool: PoolRecord, head: ResponseHead) -> None:
        """Try another target after a target's own failure, where that is allowed."""
        has_other = self.registry.has_other(pool.name, run.tried, steady(), pool.cold_start)
        if run.attempts < run.route.max_attempts and has_other:
            raise AnswerCut(f"the target answered {head.status}")
