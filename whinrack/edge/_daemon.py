"""Process of one instance: connects the request pipeline to sockets, store and peers."""

import os
import signal
import sys
from collections.abc import Callable

import eventlet
from returns.result import Failure

from whinrack.base import new_incarnation
from whinrack.budgets import RestartTime, exposure_text
from whinrack.clock import steady
from whinrack.dispatch import (
    OWN_SOURCE,
    Configuration,
    CurrentConfiguration,
    Dialect,
    Dispatcher,
    DispatchOptions,
    RequestForwarder,
    SharedRatePermits,
    StatedLimits,
    TargetRegistry,
    TargetState,
    WarmUpLimits,
)
from whinrack.edge._brittle_log import BrittleLog
from whinrack.edge._caller_limits import SheddingLog, caller_resources
from whinrack.edge._earlier_runs import EarlierRuns
from whinrack.edge._emptied_halls import HallKnowledge
from whinrack.edge._endpoints import AuxiliaryEndpoints
from whinrack.edge._forwarding_peers import ForwardingPeers
from whinrack.edge._graceful_shutdown import GracefulShutdown
from whinrack.edge._instance_host import InstanceHost
from whinrack.edge._knowledge import StoreKnowledge
from whinrack.edge._knowledge_exchange import KnowledgeServer, SharedKnowledge, fetch_knowledge
from whinrack.edge._limit_log import LimitLog
from whinrack.edge._membership import Membership
from whinrack.edge._operator_endpoints import OperatorEndpoints
from whinrack.edge._options import EdgeOptions, HostPort
from whinrack.edge._reachability_log import ReachabilityLog
from whinrack.edge._readers import ConfigurationReader, HallReader, TargetReader, truncate_for_log
from whinrack.edge._settings_follower import SettingsFollower
from whinrack.edge._store_availability import StoreAvailability
from whinrack.edge._stream_origins import StreamOriginExchange
from whinrack.edge._suspects import SuspectExchange
from whinrack.edge._target_probes import TargetProbes
from whinrack.edge._tokens import TokenExchange
from whinrack.edge._traffic import Locality
from whinrack.edge._upkeep import Upkeep
from whinrack.edge._upstream_selection import FleetUpstreamSelector
from whinrack.edge._warm_up_log import WarmUpLog
from whinrack.http1 import ConnectionPool, HttpServer
from whinrack.observability import BoundedLogWriter, Event, Metrics, configure_logging, log_event
from whinrack.store import EraChange, MeteredStore, ObjectStore

__all__ = ["EdgeDaemon"]

_STDOUT = 1
_EXIT_OK = 0
# Value of the log field `target` for fields of the store's answers.
_STORE_NAME = "store"
_ACCOUNT_LOG_ROUNDS = 5
_TASK_RESTART_SECONDS = 0.5
# Interval between checks for crowding.
_CROWDING_CHECK_SECONDS = 0.25


class EdgeDaemon:
    """Runs one instance that serves declared routes.

    Parameters
    ----------
    options : EdgeOptions
    store : ObjectStore
    dialect : Dialect
    configuration_reader : ConfigurationReader
    target_reader : TargetReader
    hall_reader : HallReader
    endpoints : AuxiliaryEndpoints
        Handles discovery, readiness and metrics requests.
    restart : RestartTime
        Time at which this run started.
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
        self.settings_follower = SettingsFollower(options, read_options, self._apply_options)
        self.holder = new_incarnation(options.name)
        self.metrics = Metrics()
        self.store = MeteredStore(store, self._count_call)
        self.output = BoundedLogWriter(_STDOUT, options.log_lines_per_second)
        self.store.era.listeners.append(self._on_era_changed)
        self.store.era.unreadable_listeners.append(self._on_unreadable_era)
        self.store.unknown_fields.listeners.append(self._on_unknown_field)
        self.availability = StoreAvailability(self._on_availability_changed)
        self.registry = TargetRegistry(
            rate_permits=SharedRatePermits(
                options.name,
                lambda: self.membership.rate_sharers.members(),
                lambda: self.membership.missing_peers.is_fleet_complete,
            ),
            warm_up_limits=WarmUpLimits(options.cold_overage, options.cold_slack),
            stated_limits=StatedLimits(self.holder),
            brittle_limits=StatedLimits(self.holder),
            quota_members=lambda: self.membership.rate_sharers.members_with_idle(),
            instances_without=lambda pool: self.membership.instances_without(pool),
        )
        self.current_configuration = CurrentConfiguration(self._on_configuration_applied)
        self.membership = Membership(
            options,
            self.holder,
            self.current_configuration,
            self.registry,
            InstanceHost(self),
            self._count_bytes,
        )
        upstreams = FleetUpstreamSelector(
            self.store,
            self.availability,
            self.membership.own_state,
            self.membership.table,
            self.membership.traffic.record,
            options.settle_seconds,
        )
        self.knowledge = StoreKnowledge(
            self.store,
            self.availability,
            configuration_reader,
            target_reader,
            self.current_configuration,
            self.registry,
            upstreams,
            options.watch_seconds,
            self.membership.peer_with_store,
            self._fetch_knowledge,
            self._count_invalid,
            (hall_reader.kind,),
        )
        self.halls = HallKnowledge(
            hall_reader,
            self.registry,
            upstreams,
            self.availability,
            self.knowledge.relay.caches[hall_reader.kind],
            self.membership.notify_peers,
            self._count_invalid,
        )
        self.registry.on_target_leaving.append(self.membership.notify_peers)
        self.registry.on_target_ended.append(self._on_target_ended)
        self.metrics.backed_off_targets.set_function(lambda: self.registry.backoffs.count(steady()))
        self.limit_log = LimitLog(self.registry, self.metrics, self.membership.notify_peers)
        self.registry.stated_limits.on_change.append(self.limit_log.on_limit_changed)
        self.reachability_log = ReachabilityLog(
            self.registry.reachability, self.metrics, self.membership.notify_peers
        )
        self.registry.reachability.on_change.append(self.reachability_log.on_contact_changed)
        self.brittle_log = BrittleLog(self.registry, self.metrics, self.membership.notify_peers)
        self.registry.brittle_limits.on_change.append(self.brittle_log.on_change)
        self.warm_up_log = WarmUpLog(self.registry, self.current_configuration, self.metrics)
        self.tokens = TokenExchange(
            options,
            self.holder,
            self.store,
            self.membership.link,
            self.membership.table,
            self.membership.wall_clock,
            self.membership.own_state,
        )
        self.grant_manager = self.tokens.grant_manager
        self.suspects = SuspectExchange(
            options.name,
            self.store,
            self.availability,
            self.membership.link,
            self.membership.table,
            lambda: self.membership.wall_clock().seconds,
            self.metrics,
            self.knowledge.is_following_store,
        )
        self.earlier_runs = EarlierRuns(
            options,
            restart,
            self.grant_manager,
            self.availability,
            self.membership.wall_clock,
            self.metrics,
        )
        self.knowledge.on_restored.append(self._on_store_restored)
        self.target_probes = TargetProbes(
            self.registry, self.current_configuration, dialect, self.metrics
        )
        self.stream_origins = StreamOriginExchange(
            options.name,
            self.membership.link,
            self.membership.table,
            self.registry.has_later_start,
        )
        self.registry.confirmed_at = lambda: steady() - self.knowledge.targets_view().age
        self.dispatcher = Dispatcher(
            dialect,
            self.current_configuration,
            self.registry,
            self.grant_manager,
            ConnectionPool(),
            self.metrics,
            _dispatch_options(options),
            self.membership.count_sharing_instances,
            self.knowledge.targets_view,
            self.membership.traffic.record_for_hall,
            self.suspects.quarantine,
            RequestForwarder(
                ConnectionPool(),
                ForwardingPeers(self.membership.table, self._catch_up),
                self.metrics,
                self._record_forwarded,
            ),
            self.stream_origins,
        )
        self.endpoints = endpoints
        self.caller_resources = caller_resources(options, SheddingLog(self.metrics))
        self.server = HttpServer(
            options.callers,
            self.dispatcher.handle,
            lambda refusal: dialect.refusal_response(refusal, None),
            lambda: self.current_configuration.limits,
            self.caller_resources,
        )
        self.shutdown = GracefulShutdown(
            self.membership, self.server, self.dispatcher, self.grant_manager, self.tokens
        )
        self.upkeep = Upkeep(self.output, self.membership.traffic, self.store, self.membership.link)

    def run(self) -> int:
        """Serve until a signal stops the process.

        Returns
        -------
        int
            Exit code of the process.
        """
        configure_logging("INFO", json_lines=True, sink=self.output)
        eventlet.spawn_n(self.upkeep.write_logs_forever)
        log_event(Event.ROUTER_STARTED, instance=self.options.name, run=self.holder)
        for number in (signal.SIGTERM, signal.SIGINT):
            signal.signal(number, lambda *_: eventlet.spawn_n(self._stop))
        signal.signal(signal.SIGHUP, lambda *_: eventlet.spawn_n(self.settings_follower.reload))
        self.membership.start()
        self._start_servers()
        self._start_tasks()
        while True:
            eventlet.sleep(3600)

    def _fetch_knowledge(self, peer: HostPort) -> SharedKnowledge | None:
        return fetch_knowledge(peer, self.membership.traffic.record)

    def _catch_up(self, peer: HostPort, version: int) -> None:
        if version > self.current_configuration.version:
            self.knowledge.catch_up(peer)

    def _record_forwarded(self, peer: HostPort, size: int) -> None:
        self.membership.traffic.record("forwarded", peer, size)

    # --- start -------------------------------------------------------------------

    def _start_servers(self) -> None:
        self.server.start()
        endpoints = self.endpoints
        endpoints.bind(self.membership, self.metrics, self.options)
        handlers = (
            (self.options.directory, endpoints.handle_directory),
            (self.options.ready, endpoints.handle_ready),
            (self.options.metrics, OperatorEndpoints(endpoints, self.suspects.quarantine).handle),
        )
        for address, handle in handlers:
            if address is not None:
                HttpServer(address, handle, resources=self.caller_resources).start()
        KnowledgeServer(
            self.options.gossip,
            self.knowledge.shared_knowledge,
            self.knowledge.relay.handle,
            self.dispatcher.handle_forwarded,
            lambda: self.current_configuration.limits,
            self.caller_resources,
        ).start()

    def _start_tasks(self) -> None:
        tasks = (
            *self.knowledge.tasks(),
            *self.suspects.tasks(),
            *self._emptied_hall_tasks(),
            self.warm_up_log.run,
            self.target_probes.run,
            self.earlier_runs.release_and_draw,
            self._renew_forever,
            self.settings_follower.follow,
            self._watch_crowding,
            self.upkeep.log_traffic_forever,
            self.membership.beat_forever,
            self.membership.load_sharing.share_forever,
        )
        for task in tasks:
            eventlet.spawn_n(_supervise, task)

    def _emptied_hall_tasks(self) -> list[Callable[[], None]]:
        """Return the task that follows emptied data halls, if halls can be emptied at all.

        Each watch is a call to the store.
        """
        return [self.halls.follower.run] if self.options.emptying_seconds else []

    def _on_configuration_applied(self, configuration: Configuration) -> None:
        self.grant_manager.set_limits(configuration.version, configuration.workspace_limits)
        self.grant_manager.set_urgencies(configuration.token_urgencies)
        self.metrics.config_revision.set(configuration.version)
        log_event(Event.CONFIG_TAKEN, version=configuration.version, era=self.store.era.current)

    def _on_availability_changed(self, is_available: bool) -> None:
        silent = round(steady() - self.store.last_answer_at, 3)
        event = Event.PLATFORM_BACK if is_available else Event.PLATFORM_LOST
        log_event(event, silent=silent, why=self.store.last_failure, era=self.store.era.current)
        if is_available:
            self.grant_manager.handle_store_reachable()
            # Renew now: waiting for the next round delayed the statement of usable tokens by up to
            # 2.0 s, and tokens that a process may have used without stating it are lost if it ends.
            eventlet.spawn_n(self._renew_grants)
            # Notify peers now: with periodic heartbeats only, the last of 24 instances recovered
            # 1.7 s after the first one and refused requests for lack of budget in the meantime.
            self.membership.notify_peers()

    def _on_target_ended(self, state: TargetState, source: str) -> None:
        record = state.record
        log_event(
            Event.TARGET_ENDED,
            target=record.incarnation,
            started=record.started,
            software=record.software_version,
            source=source,
        )
        if source == OWN_SOURCE or not self.membership.table.is_full_mesh:
            self.membership.notify_peers()

    def _on_era_changed(self, change: EraChange) -> None:
        self.metrics.store_era.set(change.now)
        silent = round(steady() - self.store.last_answer_at, 3)
        event = Event.STORE_ERA if change.before is None else Event.STORE_RESTORED
        log_event(
            event,
            era=change.now,
            before=change.before,
            silent=silent,
            configuration=self.current_configuration.version,
            targets=self.knowledge.targets_view(),
        )

    def _on_unreadable_era(self, text: str) -> None:
        named = truncate_for_log(text)
        log_event(Event.STORE_ERA_INVALID, named=named, era=self.store.era.current)

    def _on_store_restored(self, era: int) -> None:
        """Write again what a store that was restored from a copy may have lost."""
        # An instance that follows a peer rarely calls the store and may not have seen the era yet.
        self.store.era.advance_to(era)
        self.grant_manager.handle_store_restored(era)
        eventlet.spawn_n(self._renew_grants)
        eventlet.spawn_n(self.earlier_runs.release_after_restore)
        self.suspects.schedule_save_after_restore()

    # --- tokens ------------------------------------------------------------------

    def _renew_forever(self) -> None:
        rounds = 0
        while not self.shutdown.has_finished_requests:
            self._renew_grants()
            rounds += 1
            if rounds % _ACCOUNT_LOG_ROUNDS == 0:
                log_event(
                    Event.BOOKS_KNOWN,
                    books=self.grant_manager.summary(),
                    exposed=exposure_text(self.grant_manager.exposures()),
                    era=self.store.era.current,
                )
            eventlet.sleep(self.membership.table.heartbeat_interval(self.options.renew_seconds))
            self.availability.wait_until_available(self.options.renew_seconds)

    def _renew_grants(self) -> None:
        """Report used tokens to the store and renew the grants."""
        for budget in self.grant_manager.take_ended_reserves():
            log_event(Event.RESERVE_ENDED, workspace=budget)
        if isinstance(self.grant_manager.renew(), Failure):
            self.availability.report(False)

    def _watch_crowding(self) -> None:
        """Make the server close caller connections while this instance is crowded.

        An instance is crowded while it has far more open requests than its peers.
        """
        while True:
            eventlet.sleep(_CROWDING_CHECK_SECONDS)
            crowded = self.membership.is_crowded()
            if crowded != self.server.is_crowded:
                self.server.is_crowded = crowded
                log_event(Event.CROWDED, crowded=crowded, open=self.dispatcher.requests_in_progress)

    # --- signals -----------------------------------------------------------------

    def _apply_options(self, options: EdgeOptions) -> None:
        """Apply changed options."""
        self.options = options
        self.endpoints.options = options
        self.output.lines_per_second = options.log_lines_per_second
        self.membership.add_seeds(options.seeds)
        self.dispatcher.apply_options(_dispatch_options(options))

    def _stop(self) -> None:
        if self.shutdown.has_begun:
            return
        self.shutdown.run(self.options)
        self.upkeep.log_traffic()
        log_event(Event.ROUTER_STOPPED, in_progress=self.dispatcher.requests_in_progress)
        self.output.write_pending()
        sys.stdout.flush()
        os._exit(_EXIT_OK)

    # --- counting ----------------------------------------------------------------

    def _count_bytes(self, message: str, locality: Locality, size: int) -> None:
        self.metrics.peer_bytes.labels(message, locality.value).inc(size)

    def _count_invalid(self, kind: str) -> None:
        self.metrics.invalid_objects.labels(kind).inc()

    def _on_unknown_field(self, field: str) -> None:
        """Log and count an unknown field in the store's answers."""
        name = truncate_for_log(field)
        self.metrics.unknown_statements.labels(name).inc()
        log_event(Event.FIELD_UNKNOWN, field=name, target=_STORE_NAME, request="")

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


def _supervise(task: Callable[[], None]) -> None:
    """Run a background task that should never end, and restart it after a failure."""
    while True:
        try:
            task()
            return
        except Exception as error:
            log_event(Event.TASK_FAILED, task=task.__qualname__, error=repr(error))
            eventlet.sleep(_TASK_RESTART_SECONDS)
