"""Construction, run and planned stop of a daemon."""

import signal

import eventlet
import eventlet.wsgi
from eventlet.semaphore import Semaphore

from whinrack.base import new_incarnation, rendezvous_order
from whinrack.budgets import AccountWriter, BudgetManager
from whinrack.clock import steady
from whinrack.engines import TargetClient
from whinrack.exceptions import InvalidObject
from whinrack.feed import ConfigStore
from whinrack.journal import JournalWriter
from whinrack.membership import MembershipTable
from whinrack.observability import Event, Metrics, configure_logging, log_event
from whinrack.peers import PeerClient, PeerServer, client_context, server_context
from whinrack.requests import ClaimStore, RequestMemory
from whinrack.server._admission import PoolDirectory
from whinrack.server._answers import AnswerCache
from whinrack.server._app import Application
from whinrack.server._bills import BillKeeper
from whinrack.server._config_follower import ConfigFollower
from whinrack.server._context import DaemonState, ServerContext
from whinrack.server._listener import CallerListener
from whinrack.server._peer_handlers import ChangeSignal, DaemonHandlers
from whinrack.server._protocol import CallerProtocol
from whinrack.server._tasks import BackgroundTasks
from whinrack.server._token_sources import PeerTokenSource, RegionTokenSource
from whinrack.settings import Settings
from whinrack.store import HttpObjectStore, StoredObject

__all__ = ["RouterDaemon"]

_ANSWER_CACHE_BYTES = 33_554_432
_SOCKET_TIMEOUT = 60.0
_STOP_POLL_SECONDS = 0.1
_MAX_DRAIN_SECONDS = 10.0


class RouterDaemon:
    """A router: HTTP entry, relay, budgets, membership and configuration feed.

    Parameters
    ----------
    settings : Settings
        As read from the settings file.
    """

    def __init__(self, settings: Settings):
        self.settings = settings
        self.metrics = Metrics()
        self.config_signal = ChangeSignal()
        self._exit = Semaphore(0)
        self._build()

    def run(self) -> int:
        """Serve until a planned stop.

        Returns
        -------
        int
            The exit code.
        """
        logs = self.settings.logs
        configure_logging(logs.level, logs.format == "json")
        signal.signal(signal.SIGTERM, lambda *_: self._exit.release())
        signal.signal(signal.SIGINT, lambda *_: self._exit.release())
        sock = self._listen()
        self.peer_server.start()
        self.tasks.read_list()
        self.tasks.beat()
        self.follower.load_initial()
        self.tasks.start()
        server = eventlet.spawn(self._serve, sock)
        log_event(Event.ROUTER_STARTED, incarnation=self.context.state.incarnation)
        self._exit.acquire()
        return self._stop(sock, server)

    def _build(self) -> None:
        settings, metrics = self.settings, self.metrics
        incarnation = new_incarnation(settings.instance.name)
        self.store = HttpObjectStore(
            settings.platform.address,
            timeout=settings.platform.timeout,
            rate=settings.platform.calls_per_second,
            on_call=lambda operation, result: metrics.platform_calls.labels(
                operation, result
            ).inc(),
        )
        table = MembershipTable(settings.instance.name, settings.membership.suspect_after)
        peers = PeerClient(
            settings.peer.fleet_key,
            settings.peer.timeout,
            metrics,
            self._tls_context(client_context),
        )
        account_writer = AccountWriter(self.store, Semaphore)
        source = RegionTokenSource(self._own_member, table, peers, account_writer, metrics)
        budget_manager = BudgetManager(
            incarnation,
            source,
            PeerTokenSource(self._own_member, table, peers),
            report_after=settings.budgets.report_after,
            horizon=settings.budgets.horizon,
            gather_wait=settings.budgets.gather_wait,
            make_lock=Semaphore,
        )
        config = ConfigStore(self._on_config_change, self._on_invalid_object)
        writer = JournalWriter(self.store, incarnation)
        self.directory = PoolDirectory(config, metrics)
        self.context = ServerContext(
            settings=settings,
            state=DaemonState(incarnation),
            config=config,
            membership_table=table,
            budget_manager=budget_manager,
            request_memory=RequestMemory(
                incarnation, settings.requests.remember, settings.requests.entries
            ),
            claim_store=ClaimStore(self.store, incarnation),
            bill_keeper=BillKeeper(writer, settings.journal.commit_interval),
            pool_directory=self.directory,
            target_client=TargetClient(),
            peer_client=peers,
            answer_cache=AnswerCache(_ANSWER_CACHE_BYTES),
            metrics=metrics,
        )
        self.follower = ConfigFollower(self.context, self.store)
        handlers = DaemonHandlers(
            self.context, account_writer, self.config_signal, self._on_leaving
        )
        self.tasks = BackgroundTasks(self.context, handlers, self.follower, self.store)
        self.peer_server = PeerServer(
            handlers,
            settings.peer.address,
            settings.peer.fleet_key,
            metrics,
            self._tls_context(server_context),
        )

    def _own_member(self):
        return self.context.own_member()

    def _tls_context(self, make_context):
        peer = self.settings.peer
        if not peer.certificate:
            return None
        return make_context(peer.certificate, peer.private_key, peer.authority)

    def _on_leaving(self) -> None:
        self.tasks.update_leaving()

    def _on_config_change(self, kinds: set[str]) -> None:
        newest = self.context.config.newest_version
        log_event(Event.CONFIG_TAKEN, kinds=",".join(sorted(kinds)), newest=newest)
        if kinds & {"Target", "TargetPool"}:
            self.directory.apply_config()
        self.config_signal.send()

    def _on_invalid_object(self, stored: StoredObject, error: InvalidObject) -> None:
        log_event(
            Event.CONFIG_INVALID,
            object=f"{stored.kind}/{stored.name}",
            at=stored.version,
            error=error.message,
        )

    def _listen(self) -> CallerListener:
        host, _, port = self.settings.http.address.partition(":")
        return CallerListener((host, int(port)))

    def _serve(self, sock) -> None:
        CallerProtocol.header_timeout = self.settings.http.header_timeout
        eventlet.wsgi.server(
            sock,
            Application(self.context),
            log_output=False,
            debug=False,
            protocol=CallerProtocol,
            max_size=self.settings.http.connections,
            socket_timeout=_SOCKET_TIMEOUT,
            minimum_chunk_size=1,
            capitalize_response_headers=False,
        )

    def _stop(self, sock, server) -> int:
        """Keep serving until no caller holds this address, then return all resources.

        Returns
        -------
        int
            The exit code.
        """
        state = self.context.state
        state.is_leaving = True
        CallerProtocol.is_leaving = True
        log_event(Event.ROUTER_STOPPING, in_progress=state.in_progress)
        stop_started = steady()
        self.tasks.beat(to_all_peers=True)
        while self._must_keep_serving(steady() - stop_started):
            eventlet.sleep(_STOP_POLL_SECONDS)
        sock.close()
        server.kill()
        # Keep-alive connections may still bring requests, which are refused from here on.
        state.is_closed = True
        self._hand_over_memory()
        complete = self._flush_bills_and_tokens()
        self.peer_server.stop()
        self.context.peer_client.close()
        log_event(Event.ROUTER_STOPPED if complete else Event.STOP_INCOMPLETE)
        return 0

    def _must_keep_serving(self, seconds: float) -> bool:
        """Return whether callers may still use this address or have requests in progress."""
        stop = self.settings.stop
        if seconds < stop.linger:
            return True
        return self.context.state.in_progress > 0 and seconds < stop.longest

    def _hand_over_memory(self) -> None:
        """Hand each entry of request memory over to the peer that will be consulted for it."""
        context, now = self.context, steady()
        home = context.state.incarnation
        entries_by_successor = {
            successor: [] for successor in context.membership_table.handover_candidates(now)
        }
        for entry in context.request_memory.handover_entries():
            if entries_by_successor:
                entries_by_successor[
                    rendezvous_order(entry.identity, entries_by_successor)[0]
                ].append(entry)
        for successor, entries in entries_by_successor.items():
            address = context.membership_table.find(successor).peer_address
            context.peer_client.hand_over(address, home, entries)
            for inherited_home in context.request_memory.taken_over_homes(now):
                context.peer_client.hand_over(address, inherited_home, ())

    def _flush_bills_and_tokens(self) -> bool:
        """Commit all bills and return all tokens.

        Returns
        -------
        bool
            False if that was not finished in time.
        """
        end = steady() + _MAX_DRAIN_SECONDS
        while steady() < end:
            is_committed = self.context.bill_keeper.flush()
            if is_committed and self.context.budget_manager.drain():
                return True
            eventlet.sleep(_STOP_POLL_SECONDS)
        return False
