"""The request pipeline: authenticate, route, reserve tokens, attempt, relay and settle."""

import random
from collections.abc import Callable, Collection

import msgspec

from whinrack.base import Outcome
from whinrack.budgets import DemandEstimate, GrantManager
from whinrack.clock import steady
from whinrack.dispatch._answers import AnswerRelay
from whinrack.dispatch._attempts import (
    TIMEOUT_MARGIN,
    AttemptFailed,
    AttemptRunner,
    ConnectionRefused,
    NoTargetAvailable,
)
from whinrack.dispatch._cost_learning import CostLearning
from whinrack.dispatch._current_configuration import CurrentConfiguration
from whinrack.dispatch._forwarding import RequestForwarder
from whinrack.dispatch._forwarding_mark import (
    ForwardingMark,
    answer_mark,
    parse_mark,
    refusal_mark,
)
from whinrack.dispatch._pacing import StreamPacing
from whinrack.dispatch._refusals import (
    BUSY_RETRY_SECONDS,
    LOST_RETRY_SECONDS,
    no_target_refusal,
)
from whinrack.dispatch._registry import TargetRegistry
from whinrack.dispatch._request_run import RequestRun
from whinrack.dispatch._retries import RetryBudget, RetryBudgets
from whinrack.dispatch._run_log import (
    log_attempt,
    log_forwarded,
    log_refusal,
    log_run,
)
from whinrack.dispatch._stream_versions import StreamVersions
from whinrack.dispatch._token_reservations import TokenReservations
from whinrack.dispatch._values import IncomingRequest, RouteKind, TargetsView
from whinrack.dispatch.base import Dialect
from whinrack.exceptions import (
    CallerGone,
    ConfigurationUnknown,
    InternalFailure,
    Refusal,
    RouterStopping,
    TargetFailed,
)
from whinrack.http1 import ConnectionPool, Exchange
from whinrack.observability import Event, Metrics, log_event
from whinrack.quarantine import RunGuard
from whinrack.streams import LocalOrigins, OriginDirectory

__all__ = ["DispatchOptions", "Dispatcher"]

# Attempts that failed before anything was sent, per request. Refused connections do not count.
_MAX_UNSENT_ATTEMPTS = 4
# Attempts of one request that failed before anything was sent, after which it is forwarded even if
# other requests are still answered over open connections.
_UNSENT_ATTEMPTS_BEFORE_FORWARDING = 2
# Half-life of the estimated rate of arriving requests, in seconds.
_ARRIVAL_RATE_HALF_LIFE = 2.0


class DispatchOptions(msgspec.Struct, frozen=True):
    """Limits of the request pipeline.

    Attributes
    ----------
    retry_ratio, retry_slack, retry_window : float
        Limits of the retries that all instances share; see `RetryBudget`.
    cores, event_delay : float
        See `StreamPacing`.
    """

    retry_ratio: float
    retry_slack: float
    retry_window: float
    cores: float = 0.0
    event_delay: float = 0.0


class Dispatcher:
    """Runs callers' requests on the configured routes.

    Parameters
    ----------
    dialect : Dialect
    current_configuration : CurrentConfiguration
    registry : TargetRegistry
    grant_manager : GrantManager
    connections : ConnectionPool
    metrics : Metrics
    options : DispatchOptions
    instance_count : callable
        Returns the number of instances that share the retry budgets.
    targets_view : callable
        Returns the revision and age of the registry's target list, for the log.
    record_traffic : callable
        Called with the kind of traffic, the target's data hall and the number of bytes sent to
        or received from the target.
    guard : RunGuard, optional
        Rejects quarantined requests and is notified of how runs end.
    forwarder : RequestForwarder, optional
        Forwards requests for pools that this instance has lost contact with.
    origins : OriginDirectory, optional
        Directory of where streams began; by default only those of this instance.
    """

    def __init__(
        self,
        dialect: Dialect,
        current_configuration: CurrentConfiguration,
        registry: TargetRegistry,
        grant_manager: GrantManager,
        connections: ConnectionPool,
        metrics: Metrics,
        options: DispatchOptions,
        instance_count: Callable[[], int],
        targets_view: Callable[[], TargetsView],
        record_traffic: Callable[[str, str, int], None],
        guard: RunGuard | None = None,
        forwarder: RequestForwarder | None = None,
        origins: OriginDirectory | None = None,
    ):
        self.forwarder = forwarder
        self.registry = registry
        self.reachability = registry.reachability
        self.dialect = dialect
        self.current_configuration = current_configuration
        self.token_reservations = TokenReservations(grant_manager, metrics)
        self.connections = connections
        self.metrics = metrics
        self.instance_count = instance_count
        self.requests_in_progress = 0
        self.arrivals = DemandEstimate(half_life=_ARRIVAL_RATE_HALF_LIFE)
        self.is_refusing_requests = False
        self.retry_budgets = RetryBudgets(
            options.retry_ratio, options.retry_slack, options.retry_window
        )
        self.stream_versions = StreamVersions(
            origins or LocalOrigins(), registry, metrics, current_configuration.route_history
        )
        registry.on_target_replaced.append(self.stream_versions.record_later_start)
        self.attempt_runner = AttemptRunner(
            dialect,
            registry,
            connections,
            AnswerRelay(
                metrics,
                StreamPacing(options.cores, options.event_delay),
                self.stream_versions.record_first_event,
                CostLearning(registry.placement, metrics),
            ),
            self.retry_budgets,
            metrics,
            instance_count,
            targets_view,
            record_traffic,
            self.stream_versions,
            guard,
        )

    def apply_options(self, options: DispatchOptions) -> None:
        """Apply changed retry limits; retries made so far still count."""
        self.retry_budgets.set_limits(
            options.retry_ratio, options.retry_slack, options.retry_window
        )

    def handle(self, exchange: Exchange) -> None:
        """Handle one request of a caller and answer it.

        Raises
        ------
        CallerGone
            If the caller has closed its connection.
        """
        self._handle(exchange, None)

    def handle_forwarded(self, exchange: Exchange) -> bool:
        """Handle a request on the listener for peers if it carries the mark of a forwarded one.

        Returns
        -------
        bool
            False if it does not.

        Raises
        ------
        CallerGone
            If the peer has closed its connection.
        """
        try:
            mark = parse_mark(exchange.head)
        except Refusal as refusal:
            self._refuse(exchange, None, refusal)
            return True
        if mark is None:
            return False
        exchange.added_headers += answer_mark(self.current_configuration.version)
        self._handle(exchange, mark)
        return True

    def _handle(self, exchange: Exchange, mark: ForwardingMark | None) -> None:
        self.requests_in_progress += 1
        self.arrivals.record(1, steady())
        self.metrics.requests_in_progress.set(self.requests_in_progress)
        request = None
        try:
            request = self.dialect.parse_request(exchange.head, exchange.body)
            self._serve(exchange, request, mark)
        except Refusal as refusal:
            self._refuse(exchange, request, refusal)
        except CallerGone:
            raise
        except Exception as error:
            log_event(Event.REQUEST_FAILED, error=repr(error))
            self._refuse(exchange, request, InternalFailure("internal error"))
        finally:
            self.requests_in_progress -= 1
            self.metrics.requests_in_progress.set(self.requests_in_progress)

    def _serve(
        self, exchange: Exchange, request: IncomingRequest, mark: ForwardingMark | None
    ) -> None:
        if self.is_refusing_requests:
            raise RouterStopping("this instance is shutting down", retry_after=BUSY_RETRY_SECONDS)
        configuration = self.current_configuration.get()
        if mark is not None and configuration.version < mark.configuration:
            raise ConfigurationUnknown("the forwarding instance has a newer configuration")
        route = configuration.find_route(request.host, request.path)
        workspace = configuration.authenticate(route, request.key)
        link_delay = self.connections.average_connect_seconds
        run = RequestRun(exchange, request, configuration, route, workspace, mark, link_delay)
        try:
            if mark is not None:
                log_forwarded(run, mark)
            self.stream_versions.look_up(run)
            pool = run.pool = self._choose_pool(run)
            if self._should_forward(run, pool) and self._forward(run, pool):
                return
            if self._doubts_pool(run, pool) and self._forward(run, pool, needs_answer=True):
                return
            self._check_reachability(run, pool)
            self._admit(run)
            self.token_reservations.reserve(run)
            self._attempt_all(run, pool)
        except CallerGone:
            log_run(Event.CALLER_LEFT, run, billed=run.billed_tokens)
            raise
        finally:
            self.attempt_runner.close_silent_attempt(run)
            if run.is_trial and not run.may_have_run:
                self.attempt_runner.guard.return_trial(run.request_name)
            # Settle the reservation if the attempts did not.
            if not run.may_have_run:
                run.settle_not_run()
            elif run.settle_unknown():
                log_run(
                    Event.COVER_COUNTED,
                    run,
                    tokens=run.reserved_tokens,
                    output=run.request.declared_tokens.output,
                )

    def _admit(self, run: RequestRun) -> None:
        """Check that the request is not in quarantine, which all instances share."""
        deadline = run.deadline - TIMEOUT_MARGIN
        run.is_trial = self.attempt_runner.guard.admit(run.request_name, deadline)

    # --- attempts ----------------------------------------------------------------

    def _attempt_all(self, run: RequestRun, pool: str) -> None:
        retry_budget = self.retry_budgets.for_pool(pool)
        if not run.attempts:
            retry_budget.record_request(steady())
        unsent_attempts = 0
        while True:
            try:
                self.attempt_runner.attempt(run, pool)
                return
            except AttemptFailed as failed:
                unsent_attempts += not failed.was_sent and not isinstance(failed, ConnectionRefused)
                log_attempt(run, failed.refusal, failed.reason)
                if not failed.was_sent and self._should_forward(run, pool, unsent_attempts):
                    self._forward_finally(run, pool)
                    return
                if isinstance(failed, NoTargetAvailable) and self._may_forward(run):
                    names = self.registry.instances_with_free_slots(pool, steady())
                    if names:
                        self._forward_finally(run, pool, names, failed.refusal)
                        return
                if not self._can_retry(run, failed, unsent_attempts, retry_budget):
                    raise self._final_refusal(run, failed.refusal) from failed
                if self._should_forward(run, pool, unsent_attempts):
                    self._forward_finally(run, pool)
                    return
                self._prepare_retry(run, pool, failed)

    def _should_forward(self, run: RequestRun, pool: str, unsent_attempts: int = 0) -> bool:
        """Return whether to forward a request to a peer instead of sending it to a target.

        Not if it may have run and its tokens are reserved here, as the peer reserves them again.
        """
        if not self._may_forward(run):
            return False
        if unsent_attempts < _UNSENT_ATTEMPTS_BEFORE_FORWARDING and not self.reachability.is_lost(
            pool
        ):
            return False
        return self.forwarder.has_peer(pool, run.needs_version)

    def _doubts_pool(self, run: RequestRun, pool: str) -> bool:
        """Return whether a request should rather be sent to a peer that reaches its pool."""
        return self._may_forward(run) and self.reachability.is_doubted(pool)

    def _may_forward(self, run: RequestRun) -> bool:
        """Return whether a peer could handle a request from its beginning."""
        if self.forwarder is None or run.is_forwarded or run.exchange.is_started:
            return False
        can_repeat = run.route.kind is RouteKind.REPEATABLE and run.reservation is None
        return can_repeat or not run.may_have_run

    def _forward(
        self,
        run: RequestRun,
        pool: str,
        names: Collection[str] | None = None,
        needs_answer: bool = False,
    ) -> bool:
        """Forward a request for which nothing is reserved; return whether a peer took it.

        At a brittle pool, peers that may have a free slot are asked first.
        """
        preferred = self.registry.instances_with_free_slots(pool, steady())
        self.attempt_runner.close_silent_attempt(run)
        try:
            return self.forwarder.forward(run, pool, names, preferred, needs_answer)
        except Refusal as refusal:
            raise self._final_refusal(run, refusal) from refusal

    def _forward_finally(
        self,
        run: RequestRun,
        pool: str,
        names: Collection[str] | None = None,
        refusal: Refusal | None = None,
    ) -> None:
        """Give up what is reserved for a request, and forward or refuse it."""
        if run.is_trial:
            self.attempt_runner.guard.return_trial(run.request_name)
            run.is_trial = False
        run.settle_not_run()
        if not self._forward(run, pool, names):
            raise self._final_refusal(run, refusal or no_target_refusal(LOST_RETRY_SECONDS))

    def _check_reachability(self, run: RequestRun, pool: str) -> None:
        """Refuse a request for a lost pool, except for a trial now and then.

        A forwarded request is refused at once, so that the peer may try another instance. Others
        are only refused once the loss is confirmed.
        """
        is_lost = self.reachability.is_lost(pool)
        if not is_lost or not (run.is_forwarded or self.reachability.is_loss_confirmed(pool)):
            return
        if not (run.route.can_run_again and self.reachability.take_trial(pool)):
            raise no_target_refusal(LOST_RETRY_SECONDS)

    def _prepare_retry(self, run: RequestRun, pool: str, failed: AttemptFailed) -> None:
        """Raise a refusal if the request must not be sent again.

        Its own attempts may have put it into quarantine, or the budget may not cover the output
        that they have generated in vain.
        """
        try:
            if failed.was_sent or not run.is_trial:
                self._admit(run)
            if failed.refusal.outcome is not Outcome.NOT_RUN:
                self.token_reservations.reserve_repeated_output(run, pool)
        except Refusal as refusal:
            raise self._final_refusal(run, refusal) from refusal

    def _choose_pool(self, run: RequestRun) -> str:
        if run.origin is not None:
            return run.origin.pool
        weighted_pools = run.route.weighted_pools
        if len(weighted_pools) == 1:
            return weighted_pools[0].pool
        weights = [weighted_pool.weight for weighted_pool in weighted_pools]
        return random.choices(weighted_pools, weights)[0].pool

    def _can_retry(
        self,
        run: RequestRun,
        failed: AttemptFailed,
        unsent_attempts: int,
        retry_budget: RetryBudget,
    ) -> bool:
        if failed.refusal.outcome is not Outcome.NOT_RUN and not run.route.can_run_again:
            return False
        if run.has_begun_long_answer:
            return False
        if run.seconds_left() <= TIMEOUT_MARGIN or unsent_attempts >= _MAX_UNSENT_ATTEMPTS:
            return False
        if isinstance(failed, NoTargetAvailable):
            return False
        if not failed.was_sent:
            return True
        if run.attempts >= run.route.max_attempts:
            self.metrics.retries_denied.labels("attempts").inc()
            return False
        if not retry_budget.try_acquire(steady(), self.instance_count()):
            self.metrics.retries_denied.labels("budget").inc()
            return False
        self.metrics.retries.labels(failed.refusal.code).inc()
        return True

    def _final_refusal(self, run: RequestRun, refusal: Refusal) -> Refusal:
        """Return the refusal for the caller; not "not run" if an earlier attempt may have run."""
        refusal.attempts = run.attempts
        if refusal.outcome is not Outcome.NOT_RUN or not run.may_have_run:
            return refusal
        if not self.attempt_runner.read_late_refusal(run):
            return TargetFailed("an earlier attempt may have run the request")
        return refusal

    # --- refusals ----------------------------------------------------------------

    def _refuse(
        self, exchange: Exchange, request: IncomingRequest | None, refusal: Refusal
    ) -> None:
        request_id = request.request_id.decode("latin-1") if request is not None else ""
        self.metrics.refusals.labels(refusal.code).inc()
        log_refusal(exchange, request_id, refusal, self.current_configuration.version)
        if exchange.is_started:
            # The response has begun: leave it incomplete, which closes the connection.
            return
        if exchange.added_headers:
            exchange.added_headers += refusal_mark(refusal.code, refusal.attempts)
        status, headers, body = self.dialect.refusal_response(refusal, request)
        exchange.respond(status, headers, body)
