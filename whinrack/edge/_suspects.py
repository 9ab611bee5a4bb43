"""Carries the quarantine's knowledge between instances, and to and from the store."""

from collections.abc import Callable

import eventlet
from eventlet.event import Event as Signal
from returns.result import Failure

from whinrack.base import rendezvous
from whinrack.clock import steady
from whinrack.edge._options import HostPort
from whinrack.edge._store_availability import StoreContact
from whinrack.gossip import GossipLink, PeerTable, SuspectCases
from whinrack.observability import Event, Metrics, log_event
from whinrack.quarantine import Case, CaseStore, Quarantine, QuarantineHost
from whinrack.store import ObjectStore

__all__ = ["SuspectExchange"]

# Instances that count the ends of targets under one request; any one of them may be away.
_OWNERS = 3
# Cases in one datagram; each is at most some 600 bytes.
_MOST_IN_MESSAGE = 80
# A peer that knows other cases is told at most so often, seconds.
_TELL_AGAIN_SECONDS = 0.5
# Between two looks at the store while a peer is missed: it may be cut off from here and not from
# there, and only the store tells what it knows. Then less often, seconds.
_READ_SECONDS = 2.0
_RARE_READ_SECONDS = 10.0
_OFTEN_FOR_SECONDS = 20.0
# After a call that failed.
_FAILED_PAUSE_SECONDS = 0.5
# Changes that come in quick succession share a write.
_GATHER_SECONDS = 0.1


class SuspectExchange(QuarantineHost):
    """Sends cases to peers, takes theirs in, and keeps the suspects in the store.

    Parameters
    ----------
    name : str
        This instance.
    store : ObjectStore
    contact : StoreContact
    link : GossipLink
    table : PeerTable
    wall : callable
        Returns the Unix time, seconds.
    metrics : Metrics
    follows_store : callable
        Whether this instance hears from the store itself, not from a peer that does.
    """

    def __init__(
        self,
        name: str,
        store: ObjectStore,
        contact: StoreContact,
        link: GossipLink,
        table: PeerTable,
        wall: Callable[[], float],
        metrics: Metrics,
        follows_store: Callable[[], bool],
    ):
        self.name = name
        self.contact = contact
        self.link = link
        self.table = table
        self.metrics = metrics
        self.follows_store = follows_store
        self.archive = CaseStore(store, wall)
        self.quarantine = Quarantine(self.archive, self, wall)
        self._told_at: dict[HostPort, float] = {}
        self._unkept = False
        self._changed = Signal()
        self._read_once = False

    def tasks(self) -> list[Callable[[], None]]:
        """Return the loops to run in the background."""
        return [self._keep_forever, self._read_forever]

    # --- to the peers ---------------------------------------------------------------

    def send_to_owners(self, case: Case) -> None:
        """Tell the instances that a fingerprint falls to."""
        peers = {
            view.state.sender.name: view.state.sender.address
            for view in self.table.live_peers(steady())
        }
        for name in rendezvous(case.fingerprint, [self.name, *peers])[:_OWNERS]:
            if name != self.name:
                self._send([case], peers[name])

    def send_to_all(self, cases: list[Case]) -> None:
        """Tell all instances; one that misses it learns by the checksums."""
        for view in self.table.live_peers(steady()):
            self._send(cases, view.state.sender.address)

    def _send(self, cases: list[Case], address: HostPort) -> None:
        for start in range(0, len(cases), _MOST_IN_MESSAGE):
            part = cases[start : start + _MOST_IN_MESSAGE]
            self.link.send(SuspectCases(self.name, part), address)

    # --- from the peers -------------------------------------------------------------

    def receive(self, message: SuspectCases, address: HostPort) -> None:
        """Take in what a peer knows, and tell it what it lacks."""
        lacking = self.quarantine.merge_cases(message.cases, message.sender)
        self._count()
        if lacking:
            self._send(lacking, address)

    def checksum(self) -> int:
        """Return what two instances that know the same suspects have in common."""
        return self.quarantine.table.checksum()

    def compare(self, checksum: int, peer: HostPort) -> None:
        """Tell a peer with another checksum all suspects; it does the same."""
        if checksum == self.checksum():
            return
        now = steady()
        if now - self._told_at.get(peer, float("-inf")) < _TELL_AGAIN_SECONDS:
            return
        self._told_at[peer] = now
        self._send(self.quarantine.table.suspect_cases(), peer)

    # --- the store ------------------------------------------------------------------

    def reaches_store(self) -> bool:
        """Whether the store answers calls from here."""
        return self.contact.answers

    def schedule_save(self) -> None:
        """Have the suspects written soon."""
        self._count()
        self._unkept = True
        if not self._changed.ready():
            self._changed.send(None)

    def keep_again(self) -> None:
        """Have the suspects written once more: the store may have lost them."""
        if self.quarantine.table.suspect_cases():
            self.schedule_save()

    def _keep_forever(self) -> None:
        while True:
            if not self._unkept:
                self._changed.wait()
            eventlet.sleep(_GATHER_SECONDS)
            self._changed, self._unkept = Signal(), False
            self._unkept = not self._write() or self._unkept
            if self._unkept:
                eventlet.sleep(_FAILED_PAUSE_SECONDS)
                self.contact.wait(_RARE_READ_SECONDS)

    def _write(self) -> bool:
        stored = self.archive.write(self.quarantine.table.suspect_cases())
        if isinstance(stored, Failure):
            _log_not_kept("write", stored)
            return False
        self.quarantine.merge_cases(stored.unwrap(), "store")
        return True

    def _read_forever(self) -> None:
        """Read at the start, and while a peer is missed."""
        missed_since = None
        while True:
            now = steady()
            missing = bool(self.table.silent_peers(now)) and self.follows_store()
            missed_since = (missed_since or now) if missing else None
            if not self._read_once or missing:
                self._read_once = self._read() or self._read_once
            self.quarantine.remove_expired()
            self._count()
            often = missed_since is None or now - missed_since < _OFTEN_FOR_SECONDS
            eventlet.sleep(self._pause(often))

    def _pause(self, often: bool) -> float:
        if not self._read_once:
            return _FAILED_PAUSE_SECONDS
        return _READ_SECONDS if often else _RARE_READ_SECONDS

    def _read(self) -> bool:
        if not self.contact.answers:
            return False
        stored = self.archive.read()
        if isinstance(stored, Failure):
            _log_not_kept("read", stored)
            return False
        self.quarantine.merge_stored_cases(stored.unwrap())
        return True

    def _count(self) -> None:
        table = self.quarantine.table
        self.metrics.suspected.set(len(table.suspect_cases()))
        self.metrics.quarantined.set(len(table.blamed_fingerprints()))


def _log_not_kept(operation: str, result: Failure) -> None:
    failure = result.failure()
    log_event(Event.QUARANTINE_NOT_KEPT, operation=operation, why=failure.message)
