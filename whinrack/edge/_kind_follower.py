"""Following of one kind of object: a list, then watches, and a new list after a gap."""

import random
from collections.abc import Callable

import eventlet
import msgspec
from returns.result import Failure, Result, Success

from whinrack.clock import steady
from whinrack.edge._options import HostPort
from whinrack.edge._relay import WatchCache
from whinrack.edge._store_availability import StoreAvailability
from whinrack.exceptions import PlatformFailure, PlatformUnavailable, ReplyLost
from whinrack.observability import Event, log_event
from whinrack.store import (
    ObjectStore,
    Snapshot,
    StoredObject,
    WatchBatch,
    format_revision,
)

__all__ = [
    "PROBE_SECONDS",
    "KindFollower",
    "Upstream",
    "UpstreamSelector",
]

# Name of the store as an upstream in logs.
_STORE_NAME = "store"
_INITIAL_BACKOFF = 0.1
_MAX_BACKOFF = 0.3
# How long a watch that probes an unavailable store is held.
PROBE_SECONDS = 0.05
# How long a watch at a peer is held; short, since the peer may fall silent.
_PEER_WATCH_SECONDS = 1.0
# Data of a relay is at most as old as its own watch is held, plus this margin: 1.7 s until it
# notices that the store does not answer, and the heartbeat that reports it. Older data means that
# the relay has lost the store without noticing.
_STALENESS_MARGIN_SECONDS = 2.0
# Maximum age of the data of a working relay: the duration of its own watch and of one more between
# it and the store, and 0.6 s for late answers. Older data means that the relay receives nothing.
_MAX_HEALTHY_AGE_SECONDS = 2.6
# The limits above are for watches of this length; longer watches add to them.
_DEFAULT_WATCH_SECONDS = 1.0
# Minimum interval between the starts of two watches of the store, so that changes in quick
# succession share a call.
_MIN_WATCH_INTERVAL = 0.1
# A follower that does not probe retries after this time even if nothing has been reported.
_MAX_AVAILABILITY_WAIT = 2.0


class Upstream(msgspec.Struct, frozen=True):
    """Where a list or watch is requested from.

    Attributes
    ----------
    store : ObjectStore
    address : HostPort or None
        Address of the relaying peer, None for the store itself.
    """

    store: ObjectStore
    address: HostPort | None = None

    @property
    def name(self) -> str:
        """Name of the upstream in logs."""
        return _STORE_NAME if self.address is None else "{}:{}".format(*self.address)


class UpstreamSelector:
    """Selects the upstream for lists and watches; this base class always selects the store.

    Parameters
    ----------
    store : ObjectStore
    """

    def __init__(self, store: ObjectStore):
        self.store = store

    def wait_for_peers(self) -> None:
        """Wait at the start until the peers are known."""

    def is_store_likely_available(self) -> bool:
        """Return whether an unavailable store is worth a probe."""
        return True

    def select(self) -> Upstream:
        """Return the upstream for the next call."""
        return Upstream(self.store)

    def report_failure(self, upstream: Upstream) -> None:
        """Report that a peer did not answer."""

    def report_stale(self, upstream: Upstream) -> None:
        """Report that the data of a peer was confirmed by the store too long ago."""

    def prefer_store(self) -> None:
        """Report that the store has answered this instance more recently than its upstream."""


class KindFollower:
    """Follows one kind of object through outages and gaps in its history.

    Parameters
    ----------
    upstreams : UpstreamSelector
    kind : str
    on_list : callable
        Called with all objects and the revision after each list.
    on_change : callable
        Called with the changed objects of each watch that returned some.
    availability : StoreAvailability
        Receives the outcome of every call to the store.
    watch_seconds : float
        How long a watch is held.
    probes_store : bool
        Whether to keep calling an unavailable store, on behalf of all waiting tasks.
    cache : WatchCache
        Receives the followed objects.
    peer_watch_seconds : float, optional
        Longest time for which a watch at a peer is held.
    """

    def __init__(
        self,
        upstreams: UpstreamSelector,
        kind: str,
        on_list: Callable[[tuple[StoredObject, ...], int], None],
        on_change: Callable[[tuple[StoredObject, ...]], None],
        availability: StoreAvailability,
        watch_seconds: float,
        probes_store: bool,
        cache: WatchCache,
        peer_watch_seconds: float = _PEER_WATCH_SECONDS,
    ):
        self.peer_watch_seconds = peer_watch_seconds
        self.upstreams = upstreams
        self.kind = kind
        self.on_list = on_list
        self.on_change = on_change
        self.availability = availability
        self.watch_seconds = watch_seconds
        self.probes_store = probes_store
        self.cache = cache
        self.revision: int | None = None
        self.has_listed = False
        self.upstream_name = "nobody"
        self._backoff = _INITIAL_BACKOFF
        self._rejected_revision: int | None = None
        self._store_answered_at = float("-inf")

    def run(self) -> None:
        """Follow until the process ends."""
        self.upstreams.wait_for_peers()
        while True:
            started = steady()
            if self.poll():
                self._backoff = _INITIAL_BACKOFF
                self._throttle(started)
            else:
                self._wait_before_retry()

    def _throttle(self, started: float) -> None:
        """Wait up to 0.1 s before the next call to the store, so that changes share it."""
        delay = started + _MIN_WATCH_INTERVAL - steady()
        if delay > 0.0 and self.upstream_name == _STORE_NAME and self.availability.is_available:
            eventlet.sleep(delay)

    def _wait_before_retry(self) -> None:
        """Wait after a failure, before the next call."""
        eventlet.sleep(self._backoff * (0.5 + random.random()))
        self._backoff = min(_MAX_BACKOFF, 2 * self._backoff)
        if not self.probes_store and self.upstreams.select().address is None:
            self.availability.wait_until_available(_MAX_AVAILABILITY_WAIT)

    def poll(self) -> bool:
        """Make one call to the store or to a relay.

        Returns
        -------
        bool
            False if the call failed.
        """
        upstream = self.upstreams.select()
        started = steady()
        outcome = self._fetch(upstream, self._watch_duration(upstream))
        if upstream.address is None:
            if _is_lost_reply(outcome):
                outcome = self._repeat_lost_call(upstream, outcome.failure(), steady() - started)
            self.availability.report(isinstance(outcome, Success))
            if isinstance(outcome, Success):
                self._store_answered_at = steady()
        elif isinstance(outcome, Failure):
            self.upstreams.report_failure(upstream)
        if isinstance(outcome, Failure):
            return False
        self._record_upstream(upstream)
        return True

    def _repeat_lost_call(self, upstream: Upstream, lost: ReplyLost, seconds: float) -> Result:
        """Call the store again after a lost reply.

        Possibly only the connection is broken, and a second call opens a new one.

        Parameters
        ----------
        seconds : float
            Duration of the call whose reply was lost.
        """
        started = steady()
        outcome = self._fetch(upstream, PROBE_SECONDS)
        if self.availability.is_available:
            log_event(
                Event.STORE_REPLY_LOST,
                kind=self.kind,
                why=str(lost),
                seconds=f"{seconds:.3f}",
                repeated="answered" if isinstance(outcome, Success) else str(outcome.failure()),
                repeated_seconds=f"{steady() - started:.3f}",
            )
        return outcome

    def _fetch(self, upstream: Upstream, watch_seconds: float) -> Result:
        """Request a list if none is known, else watch for some seconds."""
        if self.revision is None:
            listed = upstream.store.list([self.kind])
            return listed.bind(lambda snapshot: self._apply_list(upstream, snapshot))
        result = upstream.store.watch([self.kind], self.revision, watch_seconds)
        return result.map(lambda batch: self._apply_batch(upstream, batch))

    def _watch_duration(self, upstream: Upstream) -> float:
        """Return how long the next watch is held, in seconds."""
        if upstream.address is not None:
            return min(self.peer_watch_seconds, self.watch_seconds)
        # A probe of an unavailable store must be answered at once, with or without changes.
        return self.watch_seconds if self.availability.is_available else PROBE_SECONDS

    def _record_upstream(self, upstream: Upstream) -> None:
        if upstream.name != self.upstream_name:
            log_event(
                Event.FEED_CHANGED, kind=self.kind, before=self.upstream_name, now=upstream.name
            )
            self.upstream_name = upstream.name

    def _apply_list(self, upstream: Upstream, snapshot: Snapshot) -> Result[None, PlatformFailure]:
        if self.cache.revision is not None and snapshot.revision < self.cache.revision:
            self._log_rejected_list(upstream, snapshot.revision)
            return Failure(PlatformUnavailable("the list is older than the cached revision"))
        self._rejected_revision = None
        self.cache.confirm(snapshot.age)
        self.on_list(snapshot.objects, snapshot.revision)
        self.cache.replace(snapshot.revision, snapshot.objects)
        self.revision = snapshot.revision
        self.has_listed = True
        return Success(None)

    def _log_rejected_list(self, upstream: Upstream, revision: int) -> None:
        """Log a rejected list, once for each revision."""
        if revision != self._rejected_revision:
            self._rejected_revision = revision
            log_event(
                Event.LIST_REFUSED,
                kind=self.kind,
                source=upstream.name,
                revision=format_revision(revision),
                followed=format_revision(self.cache.revision),
            )

    def _apply_batch(self, upstream: Upstream, batch: WatchBatch) -> None:
        if self._is_fresher_than_upstream(batch.age):
            self.upstreams.prefer_store()
        if batch.age > self.watch_seconds + _STALENESS_MARGIN_SECONDS + self._extra_watch_seconds:
            self.upstreams.report_stale(upstream)
        if batch.gap:
            self.revision = None
            return
        self.cache.confirm(batch.age)
        if batch.objects:
            self.on_change(batch.objects)
        self.revision = max(self.revision, batch.revision)
        self.cache.apply(self.revision, batch.objects)

    @property
    def _extra_watch_seconds(self) -> float:
        """Seconds for which a watch is held beyond the default."""
        return max(0.0, self.watch_seconds - _DEFAULT_WATCH_SECONDS)

    def _is_fresher_than_upstream(self, age: float) -> bool:
        """Return whether the store answered this instance later than its stale upstream.

        False while the store is unavailable. Without this check, an instance that restarted while
        all others were cut off from the store followed them and used an old configuration for 5 s
        although it could reach the store itself.
        """
        if (
            age <= _MAX_HEALTHY_AGE_SECONDS + 2 * self._extra_watch_seconds
            or not self.availability.is_available
        ):
            return False
        return steady() - age < self._store_answered_at


def _is_lost_reply(outcome: Result) -> bool:
    return isinstance(outcome, Failure) and isinstance(outcome.failure(), ReplyLost)
