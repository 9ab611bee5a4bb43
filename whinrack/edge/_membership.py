"""Heartbeats: who is there, who takes callers, which targets leave."""

import random
import time
from collections.abc import Callable

import eventlet

from whinrack.budgets import WallReading
from whinrack.dispatch import Directory, TargetRegistry
from whinrack.edge._options import EdgeOptions, HostPort
from whinrack.gossip import ClockCheck, GossipLink, Heartbeat, Message, PeerAddress, PeerTable
from whinrack.observability import Event, log_event

__all__ = ["Membership"]

_MOST_LEAVING = 200


class Membership:
    """Sends heartbeats and takes in those of the peers.

    Parameters
    ----------
    options : EdgeOptions
    holder : str
        This run.
    directory : Directory
    registry : TargetRegistry
    load : callable
        Returns the requests in progress here.
    store_answers : callable
        Tells whether the store can be reached from here.
    newer_configuration : callable
        Called with the address of a peer that has a newer configuration than this
        instance.
    other_message : callable
        Called with every message that is no heartbeat, and its sender's address.
    """

    def __init__(
        self,
        options: EdgeOptions,
        holder: str,
        directory: Directory,
        registry: TargetRegistry,
        load: Callable[[], int],
        store_answers: Callable[[], bool],
        newer_configuration: Callable[[HostPort], None],
        other_message: Callable[[Message, tuple[str, int]], None],
    ):
        self.options = options
        self.holder = holder
        self.directory = directory
        self.registry = registry
        self.load = load
        self.store_answers = store_answers
        self.newer_configuration = newer_configuration
        self.other_message = other_message
        self.stopping = False
        self.table = PeerTable(options.name, options.silent_seconds, options.forget_seconds)
        self.clocks = ClockCheck()
        self.link = GossipLink(options.gossip, self._receive)
        self._callers = f"{options.callers[0]}:{options.callers[1]}"
        self._sequence = 0
        self._known_live: set[str] = set()

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
        self.table.add_addresses(seeds, time.monotonic())

    def beat(self) -> None:
        """Send a heartbeat to every address where a peer may be."""
        now = time.monotonic()
        self._sequence += 1
        host, port = self.options.gossip
        message = Heartbeat(
            incarnation=self.holder,
            sequence=self._sequence,
            sender=PeerAddress(self.options.name, host, port),
            callers=self._callers,
            data_hall=self.options.data_hall,
            ready=self.ready,
            store_answers=self.store_answers(),
            load=self.load(),
            configuration=self.directory.version,
            wall=time.time(),
            leaving=self.registry.leaving()[-_MOST_LEAVING:],
            peers=self.table.addresses(now),
        )
        for address in self.table.targets(now):
            if address != self.options.gossip:
                self.link.send(message, address)
        self._log_changes(now)

    def caller_addresses(self) -> list[str]:
        """Return the addresses that callers may connect to."""
        ready = [view.beat.callers for view in self.table.ready(time.monotonic())]
        if self.ready or not ready:
            ready.append(self._callers)
        return ready

    def instances(self) -> int:
        """Return the number of instances that look alive."""
        return self.table.live_count(time.monotonic())

    def peer_with_store(self) -> HostPort | None:
        """Return the address of a peer that reaches the store, None if none does."""
        reaching = self.table.with_store(time.monotonic())
        if not reaching:
            return None
        return random.choice(reaching).beat.sender.address

    def wall_clock(self) -> WallReading:
        """Return the time of day, checked by that of the peers."""
        seconds = time.time()
        return WallReading(seconds, self.clocks.agrees(seconds, time.monotonic()))

    def beat_forever(self) -> None:
        """Send heartbeats until the process ends."""
        while True:
            self.beat()
            eventlet.sleep(self.options.heartbeat_seconds)

    def _receive(self, message, address: tuple[str, int]) -> None:
        if isinstance(message, Heartbeat):
            self._heard(message)
        else:
            self.other_message(message, address)

    def _heard(self, beat: Heartbeat) -> None:
        now = time.monotonic()
        self.clocks.heard(beat.sender.name, beat.wall, now)
        if self.table.heard(beat, now):
            # Answer at once, so that a peer that has just started knows this one.
            self.beat()
        for incarnation in beat.leaving:
            if self.registry.leave(incarnation):
                log_event(Event.TARGET_LEAVING, target=incarnation, source=beat.sender.name)
        if beat.configuration > self.directory.version:
            self.newer_configuration(beat.sender.address)

    def _log_changes(self, now: float) -> None:
        live = {view.beat.sender.name for view in self.table.live(now)}
        for name in sorted(live - self._known_live):
            log_event(Event.MEMBER_JOINED, peer=name, live=len(live))
        for name in sorted(self._known_live - live):
            log_event(Event.MEMBER_LOST, peer=name, live=len(live))
        self._known_live = live
