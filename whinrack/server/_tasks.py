"""The daemon's background tasks: heartbeats, instance list, load reports, token reports."""

import heapq
from collections.abc import Callable

import eventlet
from returns.result import Failure, Success

from whinrack.clock import steady
from whinrack.objects import TargetPool
from whinrack.observability import Event, log_event
from whinrack.routing import TargetView
from whinrack.server._config_follower import ConfigFollower
from whinrack.server._context import ServerContext
from whinrack.server._peer_handlers import DaemonHandlers
from whinrack.store import ObjectStore

__all__ = ["BackgroundTasks"]

_LOAD_INTERVAL = 1.0
_WAKE_INTERVAL = 0.1
_RESTART_PAUSE = 0.5
_FORGET_AFTER = 60.0
_HEARTBEAT_FANOUT = 12
_MAX_BEATS_BEHIND = 2
_RECENT_INTERVAL_SHARE = 0.9
_MAX_LOAD_READS = 64


class BackgroundTasks:
    """Runs the periodic tasks of a daemon.

    Parameters
    ----------
    context : ServerContext
        Components of the daemon.
    handlers : DaemonHandlers
        Records the reports of peers.
    follower : ConfigFollower
        Updates the configuration.
    store : ObjectStore
        The platform.
    """

    def __init__(
        self,
        context: ServerContext,
        handlers: DaemonHandlers,
        follower: ConfigFollower,
        store: ObjectStore,
    ):
        self.context = context
        self.handlers = handlers
        self.follower = follower
        self.store = store
        self._is_platform_up = True
        self._round = 0
        self._beats_behind = 0
        self._live_names: set[str] = set()
        self._closed_budgets: set[str] = set()

    def start(self) -> None:
        """Start all tasks."""
        membership = self.context.settings.membership
        budgets = self.context.settings.budgets
        self._run_periodically(membership.heartbeat_interval, self.beat)
        self._run_periodically(membership.list_interval, self.read_list)
        self._run_periodically(_LOAD_INTERVAL, self.read_loads)
        self._run_periodically(budgets.check_interval, self.report_tokens)
        self._run_periodically(_WAKE_INTERVAL, self.context.pool_directory.wake_all)
        self._run_periodically(_RESTART_PAUSE, self.follower.run)
        self._run_periodically(_RESTART_PAUSE, self.context.bill_keeper.run)

    def beat(self, to_all_peers: bool = False) -> None:
        """Send heartbeats and detect lost members.

        A heartbeat and its reply inform both sides, so a peer that was heard from within
        the interval is skipped.

        Parameters
        ----------
        to_all_peers : bool
            Send to peers that were heard from recently as well, because there is news for them.
        """
        own_member = self.context.own_member()
        leaving = sorted(self.context.membership_table.leaving_instances(steady()))
        pool = eventlet.GreenPool(_HEARTBEAT_FANOUT)
        for address in self._heartbeat_addresses(to_all_peers):
            pool.spawn_n(self._send_heartbeat, address, own_member, leaving)
        pool.waitall()
        self._log_lost_members()
        self._fetch_newer_config()

    def read_list(self) -> None:
        """Update the membership from the platform's list of instances."""
        result = self.store.instances()
        if isinstance(result, Success) != self._is_platform_up:
            self._is_platform_up = not self._is_platform_up
            log_event(Event.PLATFORM_BACK if self._is_platform_up else Event.PLATFORM_LOST)
        if isinstance(result, Success):
            self.context.membership_table.update_from_list(result.unwrap(), steady())
            self.update_leaving()

    def report_tokens(self) -> None:
        """Report settled tokens, and log grants that an operator has released."""
        self.context.budget_manager.report()
        for ledger in self.context.budget_manager.ledgers():
            if ledger.is_closed and ledger.budget not in self._closed_budgets:
                self._closed_budgets.add(ledger.budget)
                log_event(Event.GRANT_CLOSED, budget=ledger.budget)

    def update_leaving(self) -> None:
        """Tell the pools which instances are leaving."""
        self.context.pool_directory.set_leaving_instances(
            self.context.membership_table.leaving_instances(steady())
        )

    def read_loads(self) -> None:
        """Read the load reports of the chat targets."""
        pool = eventlet.GreenPool(_HEARTBEAT_FANOUT)
        specs = self.context.config.specs_of_kind(TargetPool)
        for target in self._targets_to_read():
            spec = specs.get(target.spec.pool)
            if spec is not None and spec.models:
                pool.spawn_n(self._read_load, target)
        pool.waitall()

    def _targets_to_read(self) -> list[TargetView]:
        """Return the targets to ask: all, or those with most requests from here if many."""
        targets = self.context.pool_directory.targets()
        if len(targets) <= _MAX_LOAD_READS:
            return targets
        return heapq.nlargest(_MAX_LOAD_READS, targets, key=lambda target: target.in_flight)

    def _read_load(self, target) -> None:
        load = self.context.target_client.fetch_load(target.spec.address)
        if load is not None:
            self.context.pool_directory.record_load(target, load)

    def _heartbeat_addresses(self, to_all_peers: bool) -> list[str]:
        """Return all peers of a small fleet, or a rotating subset of a large one."""
        settings = self.context.settings
        seeds = settings.peer.seeds.split()
        addresses = [
            address
            for address in self.context.membership_table.heartbeat_addresses(seeds)
            if address != settings.peer.address
        ]
        if not to_all_peers:
            recent = steady() - _RECENT_INTERVAL_SHARE * settings.membership.heartbeat_interval
            heard = self.context.membership_table.addresses_heard_since(recent)
            addresses = [address for address in addresses if address not in heard]
        if len(addresses) <= settings.membership.full_mesh_limit:
            return addresses
        self._round += 1
        start = self._round * _HEARTBEAT_FANOUT % len(addresses)
        return (addresses + addresses)[start : start + _HEARTBEAT_FANOUT]

    def _send_heartbeat(self, address: str, own_member, leaving_instances: list[str]) -> None:
        reply = self.context.peer_client.send_heartbeat(address, own_member, leaving_instances)
        if isinstance(reply, Failure):
            return
        report = reply.unwrap()
        self.handlers.record_report(report.member, report.leaving_instances)

    def _log_lost_members(self) -> None:
        now = steady()
        live_names = {member.name for member in self.context.membership_table.live_members(now)}
        for name in self._live_names - live_names:
            log_event(Event.MEMBER_LOST, member=name)
        self._live_names = live_names
        self.context.membership_table.remove_silent(now, _FORGET_AFTER)

    def _fetch_newer_config(self) -> None:
        """Fetch the configuration of a peer that has had a newer one for some heartbeats."""
        members = self.context.membership_table.live_members(steady())
        newest = max(members, key=lambda member: member.revision, default=None)
        if newest is None or newest.revision <= self.context.config.newest_version:
            self._beats_behind = 0
            return
        self._beats_behind += 1
        if self._beats_behind >= _MAX_BEATS_BEHIND:
            self.follower.catch_up(newest.peer_address)

    def _run_periodically(self, seconds: float, function: Callable[[], object]) -> None:
        """Start a green thread that calls a function forever, and logs its failures."""

        def loop() -> None:
            while True:
                try:
                    function()
                except Exception as error:
                    log_event(Event.TASK_FAILED, task=function.__name__, error=type(error).__name__)
                eventlet.sleep(seconds)

        eventlet.spawn_n(loop)
