"""Exchange of quarantine cases between instances and with the store."""

from collections.abc import Callable

import eventlet
from eventlet.event import Event as Signal
from returns.result import Failure

from whinrack.base import rendezvous_order
from whinrack.clock import steady
from whinrack.edge._options import HostPort
from whinrack.edge._store_availability import StoreAvailability
from whinrack.gossip import GossipLink, PeerTable, SuspectCases
from whinrack.observability import Event, Metrics, log_event
from whinrack.quarantine import Case, CaseStore, Quarantine, QuarantineHost
from whinrack.store import ObjectStore

__all__ = ["SuspectExchange"]

# Instances that count the crashes of targets for one request; any one of them may be down.
_OWNER_COUNT = 3
# Cases in one datagram; each takes up to about 600 bytes.
_MAX_CASES_PER_MESSAGE = 80
# Minimum interval between two messages with all suspects to one peer.
_RESEND_INTERVAL_SECONDS = 0.5
# Interval between reads of the store while a peer is missing, and after a while a longer one. The
# peer may be cut off from this instance but not from the store, which then is the only way to get
# its cases.
_READ_INTERVAL_SECONDS = 2.0
_SLOW_READ_INTERVAL_SECONDS = 10.0
_FREQUENT_READ_SECONDS = 20.0
# Delay after a failed call.
_RETRY_SECONDS = 0.5
# Delay before a write, so that changes in quick succession share it.
_WRITE_DELAY_SECONDS = 0.1


class SuspectExchange(QuarantineHost):
    """Exchanges cases with peers and stores the suspected requests.

    Parameters
    ----------
    name : str
        Name of this instance.
    store : ObjectStore
    availability : StoreAvailability
    link : GossipLink
    table : PeerTable
    wall_clock : callable
        Returns the Unix time in seconds.
    metrics : Metrics
    is_following_store : callable
        Returns whether this instance follows the store itself, not a peer.
    """

    def __init__(
        self,
        name: str,
        store: ObjectStore,
        availability: StoreAvailability,
        link: GossipLink,
        table: PeerTable,
        wall_clock: Callable[[], float],
        metrics: Metrics,
        is_following_store: Callable[[], bool],
    ):
        self.name = name
        self.availability = availability
        self.link = link
        self.table = table
        self.metrics = metrics
        self.is_following_store = is_following_store
        self.case_store = CaseStore(store, wall_clock)
        self.quarantine = Quarantine(self.case_store, self, wall_clock, sleep=eventlet.sleep)
        self._sent_at: dict[HostPort, float] = {}
        self._has_unsaved = False
        self._changed = Signal()
        self._has_read = False

    def tasks(self) -> list[Callable[[], None]]:
        """Return the loops to run in the background."""
        return [self._keep_forever, self._read_forever]

    # --- to the peers ---------------------------------------------------------------

    def send_to_owners(self, case: Case) -> None:
        """Send a case to the owners of its fingerprint."""
        peers = {
            view.state.sender.name: view.state.sender.address
            for view in self.table.live_peers(steady())
        }
        for name in rendezvous_order(case.fingerprint, [self.name, *peers])[:_OWNER_COUNT]:
            if name != self.name:
                self._send([case], peers[name])

    def send_to_all(self, cases: list[Case]) -> None:
        """Send cases to all peers; one that misses them is corrected through the checksums."""
        for view in self.table.live_peers(steady()):
            self._send(cases, view.state.sender.address)

    def _send(self, cases: list[Case], address: HostPort) -> None:
        for start in range(0, len(cases), _MAX_CASES_PER_MESSAGE):
            part = cases[start : start + _MAX_CASES_PER_MESSAGE]
            self.link.send(SuspectCases(self.name, part), address)

    # --- from the peers -------------------------------------------------------------

    def receive(self, message: SuspectCases, address: HostPort) -> None:
        """Merge the cases of a peer and send it the cases that it lacks."""
        missing_cases = self.quarantine.merge_cases(message.cases, message.sender)
        self._update_metrics()
        if missing_cases:
            self._send(missing_cases, address)

    def checksum(self) -> int:
        """Return a checksum that is equal at instances with the same suspects."""
        return self.quarantine.table.checksum()

    def compare(self, checksum: int, peer: HostPort) -> None:
        """Send all suspects to a peer with a different checksum; it does the same."""
        if checksum == self.checksum():
            return
        now = steady()
        if now - self._sent_at.get(peer, float("-inf")) < _RESEND_INTERVAL_SECONDS:
            return
        self._sent_at[peer] = now
        self._send(self.quarantine.table.suspect_cases(), peer)

    # --- the store ------------------------------------------------------------------

    def is_store_reachable(self) -> bool:
        """Return whether the store answers calls of this instance."""
        return self.availability.is_available

    def is_hearing_majority(self) -> bool:
        """Return whether this instance hears more than half of the known instances."""
        now = steady()
        heard = self.table.count_live_instances(now)
        return heard > len(self.table.silent_peers(now))

    def schedule_save(self) -> None:
        """Schedule a write of the suspects."""
        self._update_metrics()
        self._has_unsaved = True
        if not self._changed.ready():
            self._changed.send(None)

    def schedule_save_after_restore(self) -> None:
        """Schedule a write of the suspects after a restore, which may have lost them."""
        if self.quarantine.table.suspect_cases():
            self.schedule_save()

    def _keep_forever(self) -> None:
        while True:
            if not self._has_unsaved:
                self._changed.wait()
            eventlet.sleep(_WRITE_DELAY_SECONDS)
            self._changed, self._has_unsaved = Signal(), False
            self._has_unsaved = not self._write() or self._has_unsaved
            if self._has_unsaved:
                eventlet.sleep(_RETRY_SECONDS)
                self.availability.wait_until_available(_SLOW_READ_INTERVAL_SECONDS)

    def _write(self) -> bool:
        stored = self.case_store.write(self.quarantine.table.suspect_cases())
        if isinstance(stored, Failure):
            _log_store_failure("write", stored)
            return False
        self.quarantine.merge_cases(stored.unwrap(), "store")
        return True

    def _read_forever(self) -> None:
        """Read the stored cases at the start and while a peer is missing."""
        missing_since = None
        while True:
            now = steady()
            missing = bool(self.table.silent_peers(now)) and self.is_following_store()
            missing_since = (missing_since or now) if missing else None
            if not self._has_read or missing:
                self._has_read = self._read() or self._has_read
            self.quarantine.remove_expired()
            self._update_metrics()
            is_frequent = missing_since is None or now - missing_since < _FREQUENT_READ_SECONDS
            eventlet.sleep(self._read_interval(is_frequent))

    def _read_interval(self, is_frequent: bool) -> float:
        if not self._has_read:
            return _RETRY_SECONDS
        return _READ_INTERVAL_SECONDS if is_frequent else _SLOW_READ_INTERVAL_SECONDS

    def _read(self) -> bool:
        if not self.availability.is_available:
            return False
        stored = self.case_store.read()
        if isinstance(stored, Failure):
            _log_store_failure("read", stored)
            return False
        self.quarantine.merge_stored_cases(stored.unwrap())
        return True

    def _update_metrics(self) -> None:
        table = self.quarantine.table
        self.metrics.suspected_requests.set(len(table.suspect_cases()))
        self.metrics.quarantined_requests.set(len(table.blamed_fingerprints()))


def _log_store_failure(operation: str, result: Failure) -> None:
    failure = result.failure()
    log_event(Event.QUARANTINE_NOT_KEPT, operation=operation, why=failure.message)
