"""Heartbeats: who is there, who takes callers, which targets leave."""

import itertools
import random
import time
from collections.abc import Callable

import eventlet
import msgspec

from whinrack.budgets import WallClockReading
from whinrack.clock import steady
from whinrack.dispatch import CurrentConfiguration, TargetRegistry
from whinrack.edge._entry_selection import choose_entries, is_crowded
from whinrack.edge._load_sharing import LoadSharing
from whinrack.edge._membership_host import MembershipHost
from whinrack.edge._missing_peers import MissingPeers
from whinrack.edge._options import EdgeOptions, HostPort
from whinrack.edge._rate_sharers import RateSharers
from whinrack.edge._traffic import Place, TrafficMeter
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

_MOST_LEAVING = 200
# Shortest time between two heartbeats that pass news on.
_SPREAD_SECONDS = 0.1
# Shortest time between two questions for states that are lacking.
_ASKING_SECONDS = 1.0
# The load is told in steps, so that not every change of it is news to the whole fleet.
_LOAD_STEP = 10
# Peers that one log line names.
_MOST_LOGGED = 6


class Membership:
    """Sends heartbeats and takes in those of the peers.

    Parameters
    ----------
    options : EdgeOptions
    holder : str
        This run.
    directory : Directory
    registry : TargetRegistry
    host : MembershipHost
    count_bytes : callable
        See `TrafficMeter`.
    """

    def __init__(
        self,
        options: EdgeOptions,
        holder: str,
        directory: CurrentConfiguration,
        registry: TargetRegistry,
        host: MembershipHost,
        count_bytes: Callable[[str, Place, int], None],
    ):
        self.options = options
        self.holder = holder
        self.directory = directory
        self.registry = registry
        self.host = host
        self.stopping = False
        self.table = PeerTable(
            options.name,
            options.silent_seconds,
            options.forget_seconds,
            data_hall=options.data_hall,
        )
        self.clocks = ClockCheck()
        self.rate_sharers = RateSharers(options, self.table)
        self.missing = MissingPeers(options, self.table)
        self.traffic = TrafficMeter(options.data_hall, self.table.data_hall_of, count_bytes)
        self.link = GossipLink(options.gossip, self._receive, self.traffic.moved)
        self.loads = LoadSharing(options.name, self.table, self.link, registry)
        self._callers = f"{options.callers[0]}:{options.callers[1]}"
        self._sequence = 0
        self._known_live: set[str] = set()
        self._spread_at = float("-inf")
        self._asked_at = float("-inf")
        # When peers that know few were told the others last.
        self._introduced_at: dict[str, float] = {}
        self._number = 0
        self._last_state: PeerState | None = None

    @property
    def ready(self) -> bool:
        """Whether callers should be sent here."""
        return not self.stopping and self.directory.version > 0

    def start(self) -> None:
        """Listen for heartbeats."""
        self.link.start()
        self.add_seeds(self.options.seeds)

    def add_seeds(self, seeds: tuple[HostPort, ...]) -> None:
        """Learn where peers may hear datagrams."""
        self.table.add_addresses(seeds, steady())

    def beat(self) -> None:
        """Send a heartbeat to the peers whose turn it is."""
        # What it changes is told by a heartbeat of its own, ahead of this one.
        self.registry.stated_limits.drop_expired()
        now = steady()
        message = self._heartbeat(now, self.table.take_states_to_pass_on(now))
        receivers = self.table.next_receivers(now)
        # One peer that answers with all states is enough: 109 bytes for each instance.
        asked = next(iter([*receivers.own_hall, *receivers.other_halls]), None)
        asks = self._asks_for_states(now)
        for address in receivers.own_hall:
            self._send(_asking(message, asks and address == asked), address)
        brief = self._brief(message, now)
        for address in receivers.other_halls:
            self._send(_asking(brief, asks and address == asked), address)
        self._log_changes(now)

    def _send(self, message: Heartbeat, address: HostPort) -> None:
        if address != self.options.gossip:
            self.link.send(message, address)

    def _brief(self, message: Heartbeat, now: float) -> Heartbeat:
        """Return a heartbeat for another data hall, which tells of the own hall only."""
        return msgspec.structs.replace(
            message,
            passed_on=self.table.own_hall_only(message.passed_on),
            ages=self.table.ages(now, own_hall_only=True),
        )

    def _heartbeat(self, now: float, passed_on: list[PeerState]) -> Heartbeat:
        self._number += 1
        leaving = self.registry.leaving_records()[-_MOST_LEAVING:]
        return Heartbeat(
            state=self.own_state(),
            number=self._number,
            wall_time=time.time(),
            leaving_targets=[record.incarnation for record in leaving],
            leaving_start_times=[record.started for record in leaving],
            removed_targets=self.host.gone_targets()[:_MOST_LEAVING],
            peers=self.table.live_addresses(now),
            passed_on=passed_on,
            ages=self.table.ages(now),
            suspects_checksum=self.host.suspects_checksum(),
            emptied_halls=self.registry.emptied_halls.statuses(),
            target_limits=self.registry.stated_limits.next_reports(),
            has_missing_peers=self.missing.misses,
        )

    def _asks_for_states(self, now: float) -> bool:
        """Whether to ask for the states that are lacking, at most once a second."""
        if now - self._asked_at < _ASKING_SECONDS or not self.table.pop_missing_states_flag():
            return False
        self._asked_at = now
        return True

    def own_state(self) -> PeerState:
        """Return what this instance says of itself now."""
        state = self._describe()
        if _is_news(self._last_state, state):
            self._sequence += 1
        self._last_state = msgspec.structs.replace(state, sequence=self._sequence)
        return self._last_state

    def _describe(self) -> PeerState:
        host, port = self.options.gossip
        return PeerState(
            incarnation=self.holder,
            sequence=0,
            sender=PeerAddress(self.options.name, host, port),
            callers=self._callers,
            data_hall=self.options.data_hall,
            ready=self.ready,
            store_answers=self.host.reaches_store(),
            store_confirmed=self.host.confirms_store(),
            load=_in_steps(self.host.open_requests()),
            configuration=self.directory.version,
            serving=self.host.serves_callers(steady()),
            holds_tokens=self.host.holds_tokens(),
            bandwidth=self.options.bandwidth,
            cores=self.options.cores,
        )

    def caller_addresses(self, hall: str) -> list[str]:
        """Return the addresses that a caller in a data hall may connect to."""
        now = steady()
        ready = [view.state for view in self.table.ready(now)]
        if self.ready or not ready:
            ready.append(self.own_state())
        return [state.callers for state in choose_entries(ready, hall)]

    def is_crowded(self) -> bool:
        """Whether callers had better connect to other instances."""
        serving = [view.state for view in self.table.serving_peers(steady())]
        return is_crowded(self.own_state(), self.host.open_requests(), serving)

    def sharing_instances(self) -> int:
        """Return the number of instances that share the work.

        Those that are missing count: parts of a fleet that don't hear each other would each share
        out the whole of what all together may send again, or connect.
        """
        missing = self.missing.count(only_serving=not self.table.is_full_mesh)
        return self.table.count_sharing_instances(steady()) + missing

    def peer_with_store(self) -> HostPort | None:
        """Return the address of a peer that reaches the store, None if none does."""
        reaching = self.table.peers_with_store(steady())
        if not reaching:
            return None
        return random.choice(reaching).state.sender.address

    def wall_clock(self) -> WallClockReading:
        """Return the time of day, checked by that of the peers."""
        seconds = time.time()
        return WallClockReading(seconds, self.clocks.is_confirmed_by_peers(seconds, steady()))

    def beat_forever(self) -> None:
        """Send heartbeats until the process ends."""
        while True:
            self.beat()
            eventlet.sleep(self.table.heartbeat_interval(self.options.heartbeat_seconds))

    def _receive(self, message, address: tuple[str, int]) -> None:
        if isinstance(message, Heartbeat):
            self._heard(message)
        elif isinstance(message, TargetLoads):
            self.loads.heard(message)
        else:
            self.host.receive(message, address)

    def _heard(self, beat: Heartbeat) -> None:
        now = steady()
        sender = beat.state.sender
        self.clocks.record_peer_time(sender.name, beat.wall_time, now)
        without_store = self._is_without_store(now)
        is_new = self.table.record_heartbeat(beat, now)
        if without_store and self.table.peers_with_store(now):
            self.host.hear_of_store()
        if is_new or beat.requests_states or self._is_alone(beat, now):
            # At once, so that a peer that has just started knows this one and the others.
            self._introduce(beat, now)
        newest = max((beat.state, *beat.passed_on), key=lambda state: state.configuration)
        if newest.configuration > self.directory.version:
            self.host.hear_of_configuration(newest.sender.address)
        self.host.learn_gone_targets(beat.removed_targets)
        if beat.emptied_halls:
            self.host.learn_halls(beat.emptied_halls, sender.name)
        self.missing.tell(beat.has_missing_peers)
        self.registry.stated_limits.merge_reports(beat.target_limits, sender.name)
        self.host.compare_suspects(beat.suspects_checksum, sender.address)
        if self._learn_leaving(beat) and not self.table.is_full_mesh:
            self.spread()

    def _is_without_store(self, now: float) -> bool:
        """Whether neither this instance nor a peer that it hears reaches the store."""
        return not self.host.reaches_store() and not self.table.peers_with_store(now)

    def _is_alone(self, beat: Heartbeat, now: float) -> bool:
        """Whether a peer knows few of a large fleet; noticed once a second for each peer.

        Its run may be known by hearsay while no answer has reached it: two data halls of 39
        instances stayed alone, each of which followed the store and wrote the books itself.
        """
        if beat.ages or self.table.is_full_mesh:
            return False
        name = beat.state.sender.name
        if now - self._introduced_at.get(name, float("-inf")) < _ASKING_SECONDS:
            return False
        self._introduced_at[name] = now
        return True

    def _introduce(self, beat: Heartbeat, now: float) -> None:
        """Answer a peer that was not known, or that lacks states.

        One that tells of others knows many already, and needs no states.
        """
        knows_few = beat.requests_states or not beat.ages
        message = self._heartbeat(now, self.table.live_states(now) if knows_few else [])
        if not knows_few and not self.table.is_in_own_hall(beat.state):
            message = self._brief(message, now)
        self.link.send(message, beat.state.sender.address)

    def _learn_leaving(self, beat: Heartbeat) -> bool:
        """Take in which targets a peer knows to be leaving; True if that is news."""
        told = itertools.zip_longest(
            beat.leaving_targets, beat.leaving_start_times[: len(beat.leaving_targets)]
        )
        news = [name for name, started in told if self.registry.mark_leaving(name, started or 0)]
        for incarnation in news:
            log_event(Event.TARGET_LEAVING, target=incarnation, source=beat.state.sender.name)
        return bool(news)

    def spread(self) -> None:
        """Pass news on before the next heartbeat is due; seldom enough to end by itself."""
        now = steady()
        if now - self._spread_at >= _SPREAD_SECONDS:
            self._spread_at = now
            self.beat()

    def _log_changes(self, now: float) -> None:
        live = {view.state.sender.name for view in self.table.live_peers(now)}
        joined, lost = sorted(live - self._known_live), sorted(self._known_live - live)
        if joined:
            log_event(Event.MEMBER_JOINED, peer=_few(joined), live=len(live))
        if lost:
            log_event(Event.MEMBER_LOST, peer=_few(lost), live=len(live))
        for name in lost:
            self._introduced_at.pop(name, None)
        self._known_live = live


def _asking(message: Heartbeat, asks: bool) -> Heartbeat:
    """Return a heartbeat that asks for all states, or the heartbeat as it is."""
    return msgspec.structs.replace(message, requests_states=True) if asks else message


def _is_news(before: PeerState | None, now: PeerState) -> bool:
    """Whether a state differs from the one before in more than others hear at once anyway.

    Each instance tells its version of the configuration by its own heartbeats. Passed on as
    news, one change of the configuration made the states of all instances news at once.
    """
    if before is None:
        return True
    return msgspec.structs.replace(before, sequence=0, configuration=now.configuration) != now


def _in_steps(load: int) -> int:
    return round(load / _LOAD_STEP) * _LOAD_STEP


def _few(names: list[str]) -> str:
    """Return names as text, those beyond a few as a number."""
    more = len(names) - _MOST_LOGGED
    shown = " ".join(names[:_MOST_LOGGED])
    return f"{shown} and {more} more" if more > 0 else shown
