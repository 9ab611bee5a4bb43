"""Wires the pipeline to sockets, store and peers, and runs until it is stopped."""

import os
import signal
import sys
from collections.abc import Callable

import eventlet
from returns.result import Failure

from whinrack.base import new_incarnation
from whinrack.budgets import RestartTime
from whinrack.clock import steady
from whinrack.dispatch import (
    Configuration,
    CurrentConfiguration,
    Dialect,
    Dispatcher,
    DispatchOptions,
    SharedRatePermits,
    StatedLimits,
    TargetRegistry,
    WarmUpLimits,
)
from whinrack.edge._earlier_runs import EarlierRuns
from whinrack.edge._emptied_halls import HallKnowledge
from whinrack.edge._endpoints import AuxiliaryEndpoints
from whinrack.edge._graceful_shutdown import PlannedStop
from whinrack.edge._instance_host import InstanceHost
from whinrack.edge._knowledge import StoreKnowledge
from whinrack.edge._knowledge_exchange import KnowledgeServer, SharedKnowledge, fetch_knowledge
from whinrack.edge._limit_log import LimitLog
from whinrack.edge._membership import Membership
from whinrack.edge._operator_endpoints import OperatorEndpoints
from whinrack.edge._options import EdgeOptions, HostPort
from whinrack.edge._readers import ConfigurationReader, HallReader, TargetReader, shown
from whinrack.edge._settings_follower import SettingsFollower
from whinrack.edge._store_availability import StoreContact
from whinrack.edge._suspects import SuspectExchange
from whinrack.edge._tokens import TokenExchange
from whinrack.edge._traffic import Place
from whinrack.edge._upkeep import Upkeep
from whinrack.edge._upstream_selection import FeedPlan
from whinrack.edge._warm_up_log import WarmUpLog
from whinrack.http1 import ConnectionPool, HttpServer
from whinrack.observability import BoundedOutput, Event, Metrics, configure_logs, log_event
from whinrack.store import EraChange, MeteredStore, ObjectStore

__all__ = ["EdgeDaemon"]

_STDOUT = 1
_EXIT_OK = 0
# The store, where logs name who stated something.
_STORE = "store"
_BOOKS_LOG_ROUNDS = 5
_TASK_PAUSE_SECONDS = 0.5
# How often it is looked whether callers had better connect elsewhere.
_CROWDED_SECONDS = 0.25


class EdgeDaemon:
    """One instance that serves declared routes.

    Parameters
    ----------
    options : EdgeOptions
    store : ObjectStore
    dialect : Dialect
    configuration_reader : ConfigurationReader
    target_reader : TargetReader
    hall_reader : HallReader
    endpoints : SmallAnswers
        Answers callers' question where to go, and whether this instance is ready.
    restart : RestartMoment
        When this run started.
    read_options : callable
        Reads the settings again and returns the `EdgeOptions`; raises `InvalidSettings`.
    """

    def __init__(
        self,
        options: EdgeOptions,
        store: ObjectStore,
        dialect: Dialect,
        configuration_reader: ConfigurationReader,
        target_reader: TargetReader,
        hall_reader: HallReader,
        endpoints: AuxiliaryEndpoints,
        restart: RestartTime,
        read_options: Callable[[], EdgeOptions],
    ):
        self.options = options
        self.dialect = dialect
        self.settings = SettingsFollower(options, read_options, self._use)
        self.holder = new_incarnation(options.name)
        self.metrics = Metrics()
        self.store = MeteredStore(store, self._count_call)
        self.output = BoundedOutput(_STDOUT, options.log_lines_per_second)
        self.store.era.listeners.append(self._era_changed)
        self.store.unknown_fields.listeners.append(self._field_unknown)
        self.contact = StoreContact(self._contact_changed)
        self.registry = TargetRegistry(
            rate_permits=SharedRatePermits(
                options.name,
                lambda: self.membership.rate_sharers.members(),
                lambda: self.membership.missing.is_whole,
            ),
            warm_up_limits=WarmUpLimits(options.cold_overage, options.cold_slack),
            stated_limits=StatedLimits(self.holder),
        )
        self.directory = CurrentConfiguration(self._in_force)
        self.membership = Membership(
            options,
            self.holder,
            self.directory,
            self.registry,
            InstanceHost(self),
            self._count_bytes,
        )
        plan = FeedPlan(
            self.store,
            self.contact,
            self.membership.own_state,
            self.membership.table,
            self.membership.traffic.moved,
            options.settle_seconds,
        )
        self.knowledge = StoreKnowledge(
            self.store,
            self.contact,
            configuration_reader,
            target_reader,
            self.directory,
            self.registry,
            plan,
            options.watch_seconds,
            self.membership.peer_with_store,
            self._fetch_knowledge,
            self._count_invalid,
            (hall_reader.kind,),
        )
        self.halls = HallKnowledge(
            hall_reader,
            self.registry,
            plan,
            self.contact,
            self.knowledge.relay.kinds[hall_reader.kind],
            self.membership.spread,
            self._count_invalid,
        )
        self.registry.on_target_leaving.append(self.membership.spread)
        self.metrics.backed_off_targets.set_function(lambda: self.registry.backoffs.count(steady()))
        self.limit_log = LimitLog(self.registry, self.metrics, self.membership.spread)
        self.registry.stated_limits.on_change.append(self.limit_log.changed)
        self.warm_up_log = WarmUpLog(self.registry, self.directory, self.metrics)
        self.tokens = TokenExchange(
            options,
            self.holder,
            self.store,
            self.membership.link,
            self.membership.table,
            self.membership.wall_clock,
            self.membership.own_state,
        )
        self.keeper = self.tokens.keeper
        self.suspects = SuspectExchange(
            options.name,
            self.store,
            self.contact,
            self.membership.link,
            self.membership.table,
            lambda: self.membership.wall_clock().seconds,
            self.metrics,
            self.knowledge.follows_store,
        )
        self.earlier_runs = EarlierRuns(
            options, restart, self.keeper, self.contact, self.membership.wall_clock
        )
        self.knowledge.restored.append(self._store_restored)
        self.dispatcher = Dispatcher(
            dialect,
            self.directory,
            self.registry,
            self.keeper,
            ConnectionPool(),
            self.metrics,
            _dispatch_options(options),
            self.membership.sharing_instances,
            self.knowledge.targets_view,
            self.membership.traffic.moved_to_hall,
            self.suspects.quarantine,
        )
        self.endpoints = endpoints
        self.front = HttpServer(
            options.callers,
            self.dispatcher.handle,
            lambda refusal: dialect.refusal_response(refusal, None),
            lambda: self.directory.limits,
        )
        self.planned_stop = PlannedStop(
            self.membership, self.front, self.dispatcher, self.keeper, self.tokens
        )
        self.upkeep = Upkeep(self.output, self.membership.traffic, self.store, self.membership.link)

    def run(self) -> int:
        """Serve until a signal stops the process; returns its exit code."""
        configure_logs("INFO", json_lines=True, sink=self.output)
        eventlet.spawn_n(self.upkeep.pump_forever)
        log_event(Event.ROUTER_STARTED, instance=self.options.name, run=self.holder)
        for number in (signal.SIGTERM, signal.SIGINT):
            signal.signal(number, lambda *_: eventlet.spawn_n(self._stop))
        signal.signal(signal.SIGHUP, lambda *_: eventlet.spawn_n(self.settings.reload))
        self.membership.start()
        self._start_servers()
        self._start_tasks()
        while True:
            eventlet.sleep(3600)

    def _fetch_knowledge(self, peer: HostPort) -> SharedKnowledge | None:
        return fetch_knowledge(peer, self.membership.traffic.moved)

    # --- start -------------------------------------------------------------------

    def _start_servers(self) -> None:
        self.front.start()
        answers = self.endpoints
        answers.bind(self.membership, self.metrics, self.options)
        places = (
            (self.options.directory, answers.handle_directory),
            (self.options.ready, answers.handle_ready),
            (self.options.metrics, OperatorEndpoints(answers, self.suspects.quarantine).handle),
        )
        for address, handle in places:
            if address is not None:
                HttpServer(address, handle).start()
        KnowledgeServer(
            self.options.gossip,
            self.knowledge.shared,
            self.knowledge.relay.answer,
        ).start()

    def _start_tasks(self) -> None:
        tasks = (
            *self.knowledge.tasks(),
            *self.suspects.tasks(),
            *self._hall_tasks(),
            self.warm_up_log.run,
            self.earlier_runs.release_and_draw,
            self._renew_forever,
            self.settings.follow,
            self._watch_crowding,
            self.upkeep.log_traffic_forever,
            self.membership.beat_forever,
            self.membership.loads.share_forever,
        )
        for task in tasks:
            eventlet.spawn_n(_keep_running, task)

    def _hall_tasks(self) -> list[Callable[[], None]]:
        """Follow emptied halls only where operators empty any: each watch is a call."""
        return [self.halls.follower.run] if self.options.emptying_seconds else []

    def _in_force(self, configuration: Configuration) -> None:
        self.keeper.set_limits(configuration.version, configuration.workspace_limits)
        self.metrics.revision.set(configuration.version)
        log_event(Event.CONFIG_TAKEN, version=configuration.version, era=self.store.era.current)

    def _contact_changed(self, answers: bool) -> None:
        silent = round(steady() - self.store.last_answer_at, 3)
        event = Event.PLATFORM_BACK if answers else Event.PLATFORM_LOST
        log_event(event, silent=silent, why=self.store.last_failure, era=self.store.era.current)
        if answers:
            self.keeper.handle_store_reachable()
            # By the next round what may be used was stated up to 2.0 s later; what a process that
            # ends before it is stated may have used is out of use.
            eventlet.spawn_n(self._renew)
            # By the usual heartbeats the last of 24 instances came back 1.7 s after the first, and
            # refused for budgets meanwhile.
            self.membership.spread()

    def _era_changed(self, change: EraChange) -> None:
        self.metrics.store_era.set(change.now)
        silent = round(steady() - self.store.last_answer_at, 3)
        event = Event.STORE_ERA if change.before is None else Event.STORE_RESTORED
        log_event(
            event,
            era=change.now,
            before=change.before,
            silent=silent,
            configuration=self.directory.version,
            targets=self.knowledge.targets_view(),
        )

    def _store_restored(self, era: int) -> None:
        """Write what this instance knows and the store has lost."""
        # An instance that peers feed calls the store seldom.
        self.store.era.advance_to(era)
        self.keeper.handle_store_restored(era)
        eventlet.spawn_n(self._renew)
        eventlet.spawn_n(self.earlier_runs.release_again)
        self.suspects.keep_again()

    # --- tokens ------------------------------------------------------------------

    def _renew_forever(self) -> None:
        rounds = 0
        while not self.planned_stop.served:
            self._renew()
            rounds += 1
            if rounds % _BOOKS_LOG_ROUNDS == 0:
                log_event(
                    Event.BOOKS_KNOWN, books=self.keeper.summary(), era=self.store.era.current
                )
            eventlet.sleep(self.membership.table.heartbeat_interval(self.options.renew_seconds))
            self.contact.wait(self.options.renew_seconds)

    def _renew(self) -> None:
        """Tell the books what was used, and what may be used from now on."""
        if isinstance(self.keeper.renew(), Failure):
            self.contact.report(False)

    def _watch_crowding(self) -> None:
        """Let callers go elsewhere while far more requests are open here than at the peers."""
        while True:
            eventlet.sleep(_CROWDED_SECONDS)
            crowded = self.membership.is_crowded()
            if crowded != self.front.crowded:
                self.front.crowded = crowded
                log_event(Event.CROWDED, crowded=crowded, open=self.dispatcher.requests_in_progress)

    # --- signals -----------------------------------------------------------------

    def _use(self, options: EdgeOptions) -> None:
        """Put changed settings in force."""
        self.options = options
        self.endpoints.options = options
        self.output.lines_per_second = options.log_lines_per_second
        self.membership.add_seeds(options.seeds)
        self.dispatcher.apply_options(_dispatch_options(options))

    def _stop(self) -> None:
        if self.planned_stop.begun:
            return
        self.planned_stop.run(self.options)
        self.upkeep.log_traffic()
        log_event(Event.ROUTER_STOPPED, in_progress=self.dispatcher.requests_in_progress)
        self.output.pump()
        sys.stdout.flush()
        os._exit(_EXIT_OK)

    # --- counting ----------------------------------------------------------------

    def _count_bytes(self, message: str, place: Place, size: int) -> None:
        self.metrics.peer_bytes.labels(message, place.value).inc(size)

    def _count_invalid(self, kind: str) -> None:
        self.metrics.invalid_objects.labels(kind).inc()

    def _field_unknown(self, field: str) -> None:
        """Tell of a field of the store's answers that nothing here reads."""
        name = shown(field)
        self.metrics.unknown_statements.labels(name).inc()
        log_event(Event.FIELD_UNKNOWN, field=name, target=_STORE, request="")

    def _count_call(self, operation: str, result: str) -> None:
        self.metrics.platform_calls.labels(operation, result).inc()


def _dispatch_options(options: EdgeOptions) -> DispatchOptions:
    return DispatchOptions(
        options.retry_ratio,
        options.retry_slack,
        options.retry_window,
        options.cores,
        options.event_delay,
    )


def _keep_running(task: Callable[[], None]) -> None:
    """Run a background task that should never end; one that fails begins anew."""
    while True:
        try:
            task()
            return
        except Exception as error:
            log_event(Event.TASK_FAILED, task=task.__qualname__, error=repr(error))
            eventlet.sleep(_TASK_PAUSE_SECONDS)
