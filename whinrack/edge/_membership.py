"""Membership of the fleet, maintained by heartbeats."""

import itertools
import random
import time
from collections.abc import Callable

import eventlet
import msgspec

from whinrack.budgets import WallClockReading
from whinrack.clock import steady
from whinrack.dispatch import (
    CurrentConfiguration,
    Presence,
    TargetRegistry,
    TargetState,
    probe_address,
)
from whinrack.edge._entry_selection import choose_entries, is_crowded
from whinrack.edge._forwarding_peers import pool_digest
from whinrack.edge._last_entries import LastEntries
from whinrack.edge._load_sharing import LoadSharing
from whinrack.edge._membership_host import MembershipHost
from whinrack.edge._missing_peers import MissingPeers
from whinrack.edge._options import EdgeOptions, HostPort
from whinrack.edge._rate_sharers import RateSharers
from whinrack.edge._traffic import Locality, TrafficMeter
from whinrack.gossip import (
    ClockCheck,
    GossipLink,
    Heartbeat,
    PeerAddress,
    PeerState,
    PeerTable,
    TargetLoads,
)
from whinrack.observability import Event, log_event

__all__ = ["Membership"]

_MAX_LEAVING = 200
# Minimum interval between two heartbeats that are sent ahead of time.
_NOTIFY_INTERVAL_SECONDS = 0.1
# Minimum interval between two requests for missing states.
_STATE_REQUEST_INTERVAL_SECONDS = 1.0
# Step of the advertised load, so that small changes do not cause a new state for the whole fleet.
_LOAD_STEP = 10
# Number of peer names in one log line.
_MAX_LOGGED_NAMES = 6
# Time for which an isolated instance goes on naming instances that it does not hear: longer than
# the outages for which they hold budgets.
_ENTRIES_REMEMBERED_SECONDS = 10.0


class Membership:
    """Sends heartbeats and processes those of the peers.

    Parameters
    ----------
    options : EdgeOptions
    holder : str
        Identifier of this run.
    current_configuration : CurrentConfiguration
    registry : TargetRegistry
    host : MembershipHost
    count_bytes : callable
        See `TrafficMeter`.
    """

    def __init__(
        self,
        options: EdgeOptions,
        holder: str,
        current_configuration: CurrentConfiguration,
        registry: TargetRegistry,
        host: MembershipHost,
        count_bytes: Callable[[str, Locality, int], None],
    ):
        self.options = options
        self.holder = holder
        self.current_configuration = current_configuration
        self.registry = registry
        self.host = host
        self.is_stopping = False
        self.table = PeerTable(
            options.name,
            options.silent_seconds,
            options.forget_seconds,
            data_hall=options.data_hall,
        )
        self.clock_check = ClockCheck()
        self.last_entries = LastEntries(_ENTRIES_REMEMBERED_SECONDS)
        self._names_silent_entries = False
        self.rate_sharers = RateSharers(options, self.table)
        self.missing_peers = MissingPeers(options, self.table)
        self.traffic = TrafficMeter(options.data_hall, self.table.data_hall_of, count_bytes)
        self.link = GossipLink(options.gossip, self._receive, self.traffic.record)
        self.load_sharing = LoadSharing(options.name, self.table, self.link, registry)
        self._caller_address = f"{options.callers[0]}:{options.callers[1]}"
        self._sequence = 0
        self._logged_live: set[str] = set()
        self._notified_at = float("-inf")
        self._states_requested_at = float("-inf")
        # When isolated peers were last sent the known states, by name.
        self._introduced_at: dict[str, float] = {}
        self._heartbeat_number = 0
        self._last_state: PeerState | None = None

    @property
    def is_ready(self) -> bool:
        """Whether this instance accepts callers."""
        return not self.is_stopping and self.current_configuration.version > 0

    def start(self) -> None:
        """Start to receive heartbeats."""
        self.link.start()
        self.add_seeds(self.options.seeds)

    def add_seeds(self, seeds: tuple[HostPort, ...]) -> None:
        """Add addresses at which peers may receive datagrams."""
        self.table.add_addresses(seeds, steady())

    def send_heartbeats(self) -> None:
        """Send a heartbeat to the peers that are due."""
        # Expired limits trigger a heartbeat of their own, ahead of this one.
        self.registry.stated_limits.drop_expired()
        self.registry.brittle_limits.drop_expired()
        now = steady()
        self._update_last_entries(now)
        message = self._build_heartbeat(now, self.table.take_states_to_pass_on(now))
        receivers = self.table.next_receivers(now)
        # One peer is enough, since its answer takes 109 bytes for each instance.
        state_source = next(iter([*receivers.own_hall, *receivers.other_halls]), None)
        requests_states = self._take_state_request(now)
        for address in receivers.own_hall:
            self._send(
                _with_state_request(message, requests_states and address == state_source), address
            )
        brief = self._for_other_hall(message, now)
        for address in receivers.other_halls:
            self._send(
                _with_state_request(brief, requests_states and address == state_source), address
            )
        self._log_membership_changes(now)

    def _send(self, message: Heartbeat, address: HostPort) -> None:
        if address != self.options.gossip:
            self.link.send(message, address)

    def _for_other_hall(self, message: Heartbeat, now: float) -> Heartbeat:
        """Return a heartbeat for another data hall, reduced to the states of the own hall."""
        return msgspec.structs.replace(
            message,
            passed_on=self.table.own_hall_only(message.passed_on),
            ages=self.table.ages(now, own_hall_only=True),
        )

    def _build_heartbeat(self, now: float, passed_on: list[PeerState]) -> Heartbeat:
        self._heartbeat_number += 1
        leaving = self.registry.leaving_records()[-_MAX_LEAVING:]
        return Heartbeat(
            state=self.own_state(),
            number=self._heartbeat_number,
            wall_time=time.time(),
            leaving_targets=[record.incarnation for record in leaving],
            leaving_start_times=[record.started for record in leaving],
            removed_targets=self.host.recently_removed_targets()[:_MAX_LEAVING],
            peers=self.table.live_addresses(now),
            passed_on=passed_on,
            ages=self.table.ages(now),
            suspects_checksum=self.host.suspects_checksum(),
            emptied_halls=self.registry.emptied_halls.statuses(),
            target_limits=self.registry.stated_limits.next_reports(),
            has_missing_peers=self.missing_peers.has_missing,
            brittle_limits=self.registry.brittle_limits.next_reports(),
            ended_targets=self.registry.recently_ended()[-_MAX_LEAVING:],
        )

    def _take_state_request(self, now: float) -> bool:
        """Return whether to request missing states now, at most once a second."""
        if (
            now - self._states_requested_at < _STATE_REQUEST_INTERVAL_SECONDS
            or not self.table.pop_missing_states_flag()
        ):
            return False
        self._states_requested_at = now
        return True

    def own_state(self) -> PeerState:
        """Return the current state of this instance, with a new sequence number if it changed."""
        state = self._current_state()
        if _has_changed(self._last_state, state):
            self._sequence += 1
        self._last_state = msgspec.structs.replace(state, sequence=self._sequence)
        return self._last_state

    def _current_state(self) -> PeerState:
        host, port = self.options.gossip
        return PeerState(
            incarnation=self.holder,
            sequence=0,
            sender=PeerAddress(self.options.name, host, port),
            callers=self._caller_address,
            data_hall=self.options.data_hall,
            ready=self.is_ready,
            store_answers=self.host.is_store_reachable(),
            store_confirmed=self.host.has_recent_store_answer(),
            load=_quantize_load(self.host.count_open_requests()),
            configuration=self.current_configuration.version,
            serving=self.host.is_serving_callers(steady()),
            holds_tokens=self.host.has_spendable_tokens(),
            bandwidth=self.options.bandwidth,
            cores=self.options.cores,
            accepts_forwarded=True,
            keeps_stream_versions=True,
            lost_pools=tuple(map(pool_digest, self.registry.reachability.lost_pools())),
            doubted_pools=self._doubted_pools(),
        )

    def _doubted_pools(self) -> tuple[int, ...]:
        return tuple(
            pool_digest(pool.name)
            for pool in self.current_configuration.pools
            if self.registry.reachability.is_doubted(pool.name)
        )

    def caller_addresses(self, hall: str) -> list[str]:
        """Return the addresses that a caller in a data hall may connect to."""
        candidates = self.last_entries.candidates(self._ready_states(steady()))
        return [state.callers for state in choose_entries(candidates, hall)]

    def _ready_states(self, now: float) -> list[PeerState]:
        """Return the states of the instances that are heard and accept callers."""
        ready = [view.state for view in self.table.ready(now)]
        if self.is_ready or not ready:
            ready.append(self.own_state())
        return ready

    def _update_last_entries(self, now: float) -> None:
        ready = self._ready_states(now)
        self.last_entries.update([state for state in ready if state.ready], now)
        live = [self.own_state(), *(view.state for view in self.table.live_peers(now))]
        self.last_entries.forget([state.sender.name for state in live if not state.ready])
        self._log_isolation(len(ready), len(self.last_entries.candidates(ready)))

    def _log_isolation(self, heard: int, candidates: int) -> None:
        """Log when this instance begins or ceases to name instances that it does not hear."""
        names_silent_entries = candidates > heard
        if names_silent_entries != self._names_silent_entries:
            self._names_silent_entries = names_silent_entries
            event = Event.ENTRIES_REMEMBERED if names_silent_entries else Event.ENTRIES_HEARD
            log_event(event, heard=heard, candidates=candidates)

    def is_crowded(self) -> bool:
        """Return whether callers should connect to other instances."""
        serving = [view.state for view in self.table.serving_peers(steady())]
        return is_crowded(self.own_state(), self.host.count_open_requests(), serving)

    def count_sharing_instances(self) -> int:
        """Return the number of instances that share fleet-wide limits.

        Missing instances are included. Otherwise each part of a partitioned fleet would use the
        fleet's entire retry budget and connection limit.
        """
        missing = self.missing_peers.count(only_serving=not self.table.is_full_mesh)
        return self.table.count_sharing_instances(steady()) + missing

    def instances_without(self, pool: str) -> list[str]:
        """Return the names of the live peers that have lost contact with a pool."""
        digest = pool_digest(pool)
        return [
            view.state.sender.name
            for view in self.table.live_peers(steady())
            if digest in view.state.lost_pools
        ]

    def peer_with_store(self) -> HostPort | None:
        """Return the address of a random peer that reaches the store, None if no peer does."""
        reaching = self.table.peers_with_store(steady())
        if not reaching:
            return None
        return random.choice(reaching).state.sender.address

    def wall_clock(self) -> WallClockReading:
        """Return the time of day and whether it agrees with the peers' clocks."""
        seconds = time.time()
        return WallClockReading(seconds, self.clock_check.is_confirmed_by_peers(seconds, steady()))

    def beat_forever(self) -> None:
        """Send heartbeats until the process ends."""
        while True:
            self.send_heartbeats()
            eventlet.sleep(self.table.heartbeat_interval(self.options.heartbeat_seconds))

    def _receive(self, message, address: tuple[str, int]) -> None:
        if isinstance(message, Heartbeat):
            self._on_heartbeat(message)
        elif isinstance(message, TargetLoads):
            self.load_sharing.receive(message)
        else:
            self.host.receive(message, address)

    def _on_heartbeat(self, heartbeat: Heartbeat) -> None:
        now = steady()
        sender = heartbeat.state.sender
        self.clock_check.record_peer_time(sender.name, heartbeat.wall_time, now)
        was_out_of_reach = self._is_store_out_of_reach(now)
        is_new = self.table.record_heartbeat(heartbeat, now)
        if was_out_of_reach and self.table.peers_with_store(now):
            self.host.handle_store_reachable()
        if is_new or heartbeat.requests_states or self._is_isolated(heartbeat, now):
            # Answer at once, so that a peer that has just started knows the fleet.
            self._send_introduction(heartbeat, now)
        newest = max((heartbeat.state, *heartbeat.passed_on), key=lambda state: state.configuration)
        if newest.configuration > self.current_configuration.version:
            self.host.handle_newer_configuration(newest.sender.address)
        self.host.merge_removed_targets(heartbeat.removed_targets)
        if heartbeat.emptied_halls:
            self.host.merge_halls(heartbeat.emptied_halls, sender.name)
        self.missing_peers.report(heartbeat.has_missing_peers)
        self.registry.stated_limits.merge_reports(heartbeat.target_limits, sender.name)
        self.registry.brittle_limits.merge_reports(heartbeat.brittle_limits, sender.name)
        for incarnation, started in heartbeat.alive_targets:
            self.registry.merge_alive(incarnation, started)
        for incarnation, started in heartbeat.ended_targets:
            state = self.registry.merge_ended(incarnation, started, sender.name)
            if state is not None:
                eventlet.spawn_n(self._check_ended, state, sender)
        self.host.compare_suspects(heartbeat.suspects_checksum, sender.address)
        if self._merge_leaving(heartbeat) and not self.table.is_full_mesh:
            self.notify_peers()

    def _is_store_out_of_reach(self, now: float) -> bool:
        """Return whether neither this instance nor a live peer reaches the store."""
        return not self.host.is_store_reachable() and not self.table.peers_with_store(now)

    def _is_isolated(self, heartbeat: Heartbeat, now: float) -> bool:
        """Return whether a peer knows nobody in a large fleet, at most once a second per peer.

        Its run may be known through other peers although no answer has reached it: two data halls
        of 39 instances stayed isolated, and each instance followed the store and wrote the accounts
        itself.
        """
        if heartbeat.ages or self.table.is_full_mesh:
            return False
        name = heartbeat.state.sender.name
        if now - self._introduced_at.get(name, float("-inf")) < _STATE_REQUEST_INTERVAL_SECONDS:
            return False
        self._introduced_at[name] = now
        return True

    def _send_introduction(self, heartbeat: Heartbeat, now: float) -> None:
        """Answer a new peer or one that lacks states.

        A peer whose heartbeat lists other instances knows the fleet and is sent no states.
        """
        lacks_states = heartbeat.requests_states or not heartbeat.ages
        message = self._build_heartbeat(now, self.table.live_states(now) if lacks_states else [])
        if not lacks_states and not self.table.is_in_own_hall(heartbeat.state):
            message = self._for_other_hall(message, now)
        self.link.send(message, heartbeat.state.sender.address)

    def _merge_leaving(self, heartbeat: Heartbeat) -> bool:
        """Mark the targets that a peer reports as leaving.

        Returns
        -------
        bool
            Whether any of them was not yet known to be leaving.
        """
        targets = itertools.zip_longest(
            heartbeat.leaving_targets,
            heartbeat.leaving_start_times[: len(heartbeat.leaving_targets)],
        )
        newly_leaving = [
            name for name, started in targets if self.registry.mark_leaving(name, started or 0)
        ]
        for incarnation in newly_leaving:
            log_event(Event.TARGET_LEAVING, target=incarnation, source=heartbeat.state.sender.name)
        return bool(newly_leaving)

    def _check_ended(self, state: TargetState, reporter: PeerAddress) -> None:
        """Object to the report of an end if the target is reached from here.

        The objection is sent once and only to the reporter: a repeated one could arrive after the
        target has really ended. A connection may hold a slot of the target, so instances without
        room for it at a brittle one do not find out.
        """
        if not self.registry.brittle_targets.has_room(state, steady()):
            return
        with state.counted_check():
            presence = probe_address(state.address)
        if presence is not Presence.HERE or state.is_removed:
            return
        self.registry.merge_alive(state.record.incarnation, state.record.started)
        log_event(
            Event.TARGET_REACHED,
            target=state.record.incarnation,
            started=state.record.started,
            reporter=reporter.name,
        )
        start = (state.record.incarnation, state.record.started)
        message = self._build_heartbeat(steady(), [])
        self._send(msgspec.structs.replace(message, alive_targets=[start]), reporter.address)

    def notify_peers(self) -> None:
        """Send a heartbeat ahead of time, to spread a change quickly.

        The minimum interval keeps instances from triggering each other without end.
        """
        now = steady()
        if now - self._notified_at >= _NOTIFY_INTERVAL_SECONDS:
            self._notified_at = now
            self.send_heartbeats()

    def _log_membership_changes(self, now: float) -> None:
        live = {view.state.sender.name for view in self.table.live_peers(now)}
        joined, lost = sorted(live - self._logged_live), sorted(self._logged_live - live)
        if joined:
            log_event(Event.MEMBER_JOINED, peer=_abbreviate(joined), live=len(live))
        if lost:
            log_event(Event.MEMBER_LOST, peer=_abbreviate(lost), live=len(live))
        for name in lost:
            self._introduced_at.pop(name, None)
        self._logged_live = live


def _with_state_request(message: Heartbeat, requests_states: bool) -> Heartbeat:
    """Return the heartbeat, with a request for all states if there is to be one."""
    return msgspec.structs.replace(message, requests_states=True) if requests_states else message


def _has_changed(before: PeerState | None, now: PeerState) -> bool:
    """Return whether a state differs from the previous one in more than the configuration version.

    Each instance states its configuration version in its own heartbeats. If the version counted as
    a change, one new configuration would make peers forward the states of all instances at once.
    """
    if before is None:
        return True
    return msgspec.structs.replace(before, sequence=0, configuration=now.configuration) != now


def _quantize_load(load: int) -> int:
    return round(load / _LOAD_STEP) * _LOAD_STEP


def _abbreviate(names: list[str]) -> str:
    """Return names as text, with a count in place of those beyond the maximum."""
    more = len(names) - _MAX_LOGGED_NAMES
    shown = " ".join(names[:_MAX_LOGGED_NAMES])
    return f"{shown} and {more} more" if more > 0 else shown
