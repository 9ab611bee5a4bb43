"""The pipeline: identify, route, cover, choose, attempt, relay, settle."""

import random
import sys
import time
from collections.abc import Callable

import msgspec
from returns.result import Failure

from whinrack.base import Outcome
from whinrack.budgets import DemandEstimate, GrantKeeper
from whinrack.dispatch._answers import AnswerRelay
from whinrack.dispatch._directory import Directory
from whinrack.dispatch._last_words import settle_by_last_words
from whinrack.dispatch._pacing import StreamPacing
from whinrack.dispatch._patience import AnswerTimes
from whinrack.dispatch._registry import Reading, TargetRegistry, TargetState
from whinrack.dispatch._retries import RetryAllowance
from whinrack.dispatch._run import Run
from whinrack.dispatch._run_log import (
    log_attempt,
    log_refusal,
    log_run,
    log_uncovered,
)
from whinrack.dispatch._values import (
    Attempt,
    IncomingRequest,
    PoolRecord,
    Route,
    RouteKind,
    TargetsView,
)
from whinrack.dispatch.base import Dialect
from whinrack.exceptions import (
    AnswerCut,
    AttemptTimeout,
    CallerGone,
    InternalFailure,
    Refusal,
    RouterStopping,
    TargetFailed,
    TargetUnavailable,
)
from whinrack.http1 import (
    ConnectionPool,
    Exchange,
    RequestHead,
    ResponseHead,
    TargetConnection,
)
from whinrack.observability import Event, Metrics, log_event

__all__ = ["DispatchOptions", "Dispatcher"]

_OK = 200
_SERVER_ERROR = 500
_UNREACHED_TRIES = 4
_BUSY_RETRY_SECONDS = 0.25
# Of the rate of arriving requests, seconds.
_ARRIVALS_HALF_LIFE = 2.0
# Part of the connections that a target accepts which all instances together use.
_CONNECTION_PART = 0.9
_LEAST_IN_FLIGHT = 2
# A target is told a little less time than is left, so that its own word can arrive.
_TIMEOUT_MARGIN = 0.05
# What moves between this instance and targets, as the traffic is counted.
_REQUESTS = "request"
_ANSWERS = "answer"


class DispatchOptions(msgspec.Struct, frozen=True):
    """Limits of the pipeline.

    Attributes
    ----------
    retry_ratio, retry_slack, retry_window : float
        Retries that all instances share; see `RetryAllowance`.
    cores, event_delay : float
        See `StreamPacing`.
    """

    retry_ratio: float
    retry_slack: float
    retry_window: float
    cores: float = 0.0
    event_delay: float = 0.0


class _AttemptFailed(Exception):
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


class Dispatcher:
    """Runs requests on declared routes.

    Parameters
    ----------
    dialect : Dialect
    directory : Directory
    registry : TargetRegistry
    keeper : GrantKeeper
    connections : ConnectionPool
    metrics : Metrics
    options : DispatchOptions
    instances : callable
        Returns the number of instances that share the retries.
    targets_view : callable
        Returns how up to date the registry is, for the log.
    moved : callable
        Told what moved to and from a target: what it is, the target's data hall, its bytes.
    """

    def __init__(
        self,
        dialect: Dialect,
        directory: Directory,
        registry: TargetRegistry,
        keeper: GrantKeeper,
        connections: ConnectionPool,
        metrics: Metrics,
        options: DispatchOptions,
        instances: Callable[[], int],
        targets_view: Callable[[], TargetsView],
        moved: Callable[[str, str, int], None],
    ):
        self.dialect = dialect
        self.directory = directory
        self.registry = registry
        self.keeper = keeper
        self.connections = connections
        self.metrics = metrics
        self.options = options
        self.instances = instances
        self.targets_view = targets_view
        self.moved = moved
        self.in_progress = 0
        self.arrivals = DemandEstimate(half_life=_ARRIVALS_HALF_LIFE)
        self.refusing = False
        self.answer_times = AnswerTimes()
        self.answers = AnswerRelay(metrics, StreamPacing(options.cores, options.event_delay))
        self._allowances: dict[str, RetryAllowance] = {}

    def use(self, options: DispatchOptions) -> None:
        """Put changed options in force; what was sent again so far goes on counting."""
        self.options = options
        for allowance in self._allowances.values():
            allowance.ratio = options.retry_ratio
            allowance.slack = options.retry_slack
            allowance.window = options.retry_window

    def handle(self, exchange: Exchange) -> None:
        """Answer one request; `CallerGone` passes through."""
        self.in_progress += 1
        self.arrivals.record(1, time.monotonic())
        self.metrics.in_progress.set(self.in_progress)
        request = None
        try:
            request = self.dialect.read(exchange.head, exchange.body)
            self._serve(exchange, request)
        except Refusal as refusal:
            self._refuse(exchange, request, refusal)
        except CallerGone:
            raise
        except Exception as error:
            log_event(Event.REQUEST_FAILED, error=repr(error))
            self._refuse(exchange, request, InternalFailure("whinrack failed"))
        finally:
            self.in_progress -= 1
            self.metrics.in_progress.set(self.in_progress)

    def _serve(self, exchange: Exchange, request: IncomingRequest) -> None:
        if self.refusing:
            raise RouterStopping("this instance stops", retry_after=_BUSY_RETRY_SECONDS)
        configuration = self.directory.current()
        route = configuration.route(request.host, request.path)
        workspace = configuration.identify(route, request.key)
        run = Run(exchange, request, configuration, route, workspace)
        self._cover(run)
        try:
            self._attempt_all(run)
        except CallerGone:
            log_run(Event.CALLER_LEFT, run)
            raise
        finally:
            # Whatever was not settled by a known end.
            if not run.may_have_run:
                run.settle_not_run()
            elif run.settle_unknown():
                log_run(
                    Event.COVER_COUNTED,
                    run,
                    tokens=run.cover.tokens,
                    output=run.request.cover.output,
                )

    def _cover(self, run: Run) -> None:
        declared = run.request.cover
        if declared is None or run.workspace is None:
            return
        if not self.keeper.limited(run.workspace.name):
            return
        cover = self.keeper.cover(run.workspace.name, declared.total)
        if isinstance(cover, Failure):
            log_uncovered(run, declared.total, self.keeper)
            raise cover.failure()
        run.cover = cover.unwrap()

    # --- attempts ----------------------------------------------------------------

    def _attempt_all(self, run: Run) -> None:
        pool = self._choose_pool(run.route)
        allowance = self._allowance(pool)
        allowance.record_request(time.monotonic())
        unreached = 0
        while True:
            try:
                self._attempt(run, pool)
                return
            except _AttemptFailed as failed:
                unreached += not failed.counts
                log_attempt(run, failed.refusal)
                if not self._may_go_on(run, failed, unreached, allowance):
                    raise self._final(run, failed.refusal) from failed

    def _choose_pool(self, route: Route) -> str:
        shares = route.shares
        if len(shares) == 1:
            return shares[0].pool
        weights = [share.weight for share in shares]
        return random.choices(shares, weights)[0].pool

    def _allowance(self, pool: str) -> RetryAllowance:
        allowance = self._allowances.get(pool)
        if allowance is None:
            options = self.options
            allowance = self._allowances[pool] = RetryAllowance(
                options.retry_ratio, options.retry_slack, options.retry_window
            )
        return allowance

    def _may_go_on(
        self, run: Run, failed: _AttemptFailed, unreached: int, allowance: RetryAllowance
    ) -> bool:
        if failed.refusal.outcome is not Outcome.NOT_RUN and not run.route.may_run_again:
            return False
        if run.seconds_left() <= _TIMEOUT_MARGIN or unreached >= _UNREACHED_TRIES:
            return False
        if not failed.counts:
            return True
        if run.attempts >= run.route.most_attempts:
            self.metrics.retries_denied.labels("attempts").inc()
            return False
        if not allowance.try_take(time.monotonic(), self.instances()):
            self.metrics.retries_denied.labels("budget").inc()
            return False
        self.metrics.retries.labels(failed.refusal.code).inc()
        return True

    def _final(self, run: Run, refusal: Refusal) -> Refusal:
        """Promise nothing that an earlier attempt may have broken."""
        refusal.attempts = run.attempts
        if run.may_have_run and refusal.outcome is Outcome.NOT_RUN:
            return TargetFailed("an earlier attempt may have run")
        return refusal

    def _attempt(self, run: Run, pool_name: str) -> None:
        """Send the request to one target and relay its answer."""
        pool = run.configuration.pools.get(pool_name)
        now = time.monotonic()
        if pool is None:
            raise _AttemptFailed(_no_target(), counts=False)
        most = self._most_in_flight(pool)
        has_engines = pool.engine is not None
        prompt = run.prompt if has_engines else None
        state = self.registry.choose(
            pool_name, run.affinity, run.tried, now, most, shares_loads=has_engines, prompt=prompt
        )
        if state is None:
            raise _AttemptFailed(_no_target(), counts=False)
        run.tried.add(state.record.incarnation)
        run.target = state.record.incarnation
        run.targets_view = self.targets_view()
        self.metrics.targets_age.set(run.targets_view.age)
        self.registry.started(state)
        run.reading = Reading(state, prompt.tokens if prompt is not None else 0)
        connection = None
        try:
            connection = self._connect(run, state)
            if state.leaving:
                # It said so while the connection was waited for, and nothing was sent yet.
                raise _AttemptFailed(_no_target(), counts=False)
            self._exchange(run, pool, state, connection)
        finally:
            run.reading.end()
            self.registry.finished(state)
            if connection is not None:
                self.connections.give_back(connection)

    def _most_in_flight(self, pool: PoolRecord) -> int:
        """Return this instance's share of the connections that one target accepts."""
        if not pool.most_connections:
            return sys.maxsize
        share = _CONNECTION_PART * pool.most_connections / max(1, self.instances())
        return max(_LEAST_IN_FLIGHT, int(share))

    def _connect(self, run: Run, state: TargetState) -> TargetConnection:
        try:
            return self.connections.take(state.address, run.end)
        except TargetUnavailable as failure:
            state.ejection.unreachable(time.monotonic())
            raise _AttemptFailed(_no_target(), counts=False) from failure

    def _exchange(
        self, run: Run, pool: PoolRecord, state: TargetState, connection: TargetConnection
    ) -> None:
        run.attempts += 1
        may_have_run_before = run.may_have_run
        run.may_have_run = True
        began, answered = time.monotonic(), False
        patience = self.answer_times.suspicious_after(pool)
        has_another = self._has_another(run, pool, began)
        head_end = min(run.end, began + patience) if has_another else run.end
        try:
            self._send(run, state, connection)
            head = connection.read_head(
                head_end, lambda headers: self.dialect.is_answer_to(run.request, headers)
            )
            self.answer_times.observe(pool.name, time.monotonic() - began)
            if self.dialect.did_not_run(head):
                run.may_have_run = may_have_run_before
                self._refused_by_target(state, head)
            answered = True
            state.ejection.succeeded(time.monotonic())
            self._pass_on(run, pool, connection, head)
        except AnswerCut as failure:
            state.ejection.failed(time.monotonic())
            raise _AttemptFailed(failure, counts=True) from failure
        except AttemptTimeout as failure:
            self._suspect_silence(state, began, answered, patience)
            raise _AttemptFailed(failure, counts=True) from failure
        except CallerGone:
            self._suspect_silence(state, began, answered, patience)
            # Nobody waits for an answer here, so there is time to learn what was made.
            if run.cover is not None and run.may_have_run:
                settle_by_last_words(run, pool, connection, self.dialect, answered)
            raise
        finally:
            self.moved(_REQUESTS, state.record.data_hall, connection.sent_bytes)
            self.moved(_ANSWERS, state.record.data_hall, connection.received_bytes)

    def _has_another(self, run: Run, pool: PoolRecord, now: float) -> bool:
        """Whether the request may still go to another target if this one is silent.

        Not where engines run it: a run that is given up may have handed out tokens, which
        are billed, and a busy engine only gets more to do. With it, 14 in 100 requests were
        refused for their budgets on a day with silent engines, and 4 in 100 without.
        """
        if pool.engine is not None or run.attempts >= run.route.most_attempts:
            return False
        if not run.route.may_run_again:
            return False
        if not self._allowance(pool.name).has_permit(now, self.instances()):
            return False
        return self.registry.has_other(pool.name, run.tried, now)

    def _suspect_silence(
        self, state: TargetState, began: float, answered: bool, patience: float
    ) -> None:
        """Count a target that was silent for long as failing; short waits tell nothing."""
        now = time.monotonic()
        if not answered and now - began >= patience:
            state.ejection.failed(now)

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

    def _refused_by_target(self, state: TargetState, head: ResponseHead) -> None:
        if self.dialect.is_other_target(head):
            self.registry.remove(state.record.incarnation)
        else:
            self.registry.busy(state, time.monotonic())
        raise _AttemptFailed(
            TargetUnavailable("the target is full", retry_after=_BUSY_RETRY_SECONDS), counts=True
        )

    # --- answers -----------------------------------------------------------------

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
            self._run_again(run, head)
        self.answers.pass_whole(run, pool, head, body)

    def _run_again(self, run: Run, head: ResponseHead) -> None:
        """Try another target after a target's own failure, where that is allowed."""
        pool = run.route.shares[0].pool
        others = self.registry.choose(pool, "", run.tried, time.monotonic())
        if run.attempts < run.route.most_attempts and others is not None:
            raise AnswerCut(f"the target answered {head.status}")

    # --- refusals ----------------------------------------------------------------

    def _refuse(
        self, exchange: Exchange, request: IncomingRequest | None, refusal: Refusal
    ) -> None:
        label = request.request_id.decode("latin-1") if request is not None else ""
        self.metrics.refusals.labels(refusal.code).inc()
        log_refusal(exchange, label, refusal, self.directory.version)
        if exchange.started:
            # The exchange is left without an end: the connection is closed.
            return
        status, headers, body = self.dialect.refusal(refusal, request)
        exchange.respond(status, headers, body)


def _no_target() -> Refusal:
    return TargetUnavailable("no target takes work now", retry_after=_BUSY_RETRY_SECONDS)
