"""Follows one kind of object in the store: a list, then watches, then lists again."""

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

# The store, where logs name who answered.
_STORE_NAME = "store"
_INITIAL_BACKOFF = 0.1
_MAX_BACKOFF = 0.3
# A lost store is asked by watches that are held for so long.
PROBE_SECONDS = 0.05
# A watch at a peer: short, since the peer may fall silent.
_PEER_WATCH_SECONDS = 1.0
# What a peer passes on is at most as old as the hold of its own watch, and this much: 1.7 s
# until it knows by itself that the store doesn't answer, and the heartbeat that tells so. What is
# older was not heard from the store, and the peer doesn't know.
_STALENESS_MARGIN_SECONDS = 2.0
# What a sound feeder passes on is at most so old: the holds of its own watch and of one more
# between it and the store, and 0.6 s for late answers. What is older tells that it hears nothing.
_MAX_HEALTHY_AGE_SECONDS = 2.6
# Watches that are held for longer are older by as much.
_DEFAULT_WATCH_SECONDS = 1.0
# Seconds between the starts of two watches of the store at least: changes that come in quick
# succession share a call.
_MIN_WATCH_INTERVAL = 0.1
# A task that doesn't probe tries by itself after so long.
_MAX_AVAILABILITY_WAIT = 2.0


class Upstream(msgspec.Struct, frozen=True):
    """Where the next list or watch goes.

    Attributes
    ----------
    store : ObjectStore
    address : HostPort or None
        Of the peer that passes on what it follows, None for the store itself.
    """

    store: ObjectStore
    address: HostPort | None = None

    @property
    def name(self) -> str:
        """Who answers, for logs."""
        return _STORE_NAME if self.address is None else "{}:{}".format(*self.address)


class UpstreamSelector:
    """Says whom to ask for lists and watches; this one always says the store.

    Parameters
    ----------
    store : ObjectStore
    """

    def __init__(self, store: ObjectStore):
        self.store = store

    def wait_for_peers(self) -> None:
        """Wait at the start until it is known whom to ask."""

    def is_store_likely_available(self) -> bool:
        """Whether a store that is lost from here is worth a call."""
        return True

    def select(self) -> Upstream:
        """Return whom to ask next."""
        return Upstream(self.store)

    def report_failure(self, upstream: Upstream) -> None:
        """Learn that a peer didn't answer."""

    def report_stale(self, upstream: Upstream) -> None:
        """Learn that what a peer passes on was confirmed by the store long ago."""

    def prefer_store(self) -> None:
        """Learn that the store told this instance more lately than its feeder."""


class KindFollower:
    """Keeps up with a kind of object, through outages and lost history.

    Parameters
    ----------
    upstreams : SourcePlan
    kind : str
    on_list : callable
        Called with all objects after each list, and its revision.
    on_change : callable
        Called with the objects of each watch that had some.
    availability : StoreContact
        Told the outcome of every call to the store.
    watch_seconds : float
        How long one watch is held.
    probes_store : bool
        Go on calling while the store is away, for all who wait for it.
    cache : KindRelay
        Told what was followed.
    peer_watch_seconds : float, optional
        How long a watch at a peer is held at most.
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
        """Follow for ever."""
        self.upstreams.wait_for_peers()
        while True:
            started = steady()
            if self.poll():
                self._backoff = _INITIAL_BACKOFF
                self._throttle(started)
            else:
                self._back_off()

    def _throttle(self, started: float) -> None:
        """Let changes gather before the store is asked again, 0.1 s at most."""
        delay = started + _MIN_WATCH_INTERVAL - steady()
        if delay > 0.0 and self.upstream_name == _STORE_NAME and self.availability.is_available:
            eventlet.sleep(delay)

    def _back_off(self) -> None:
        """Wait before the next call after a failure."""
        eventlet.sleep(self._backoff * (0.5 + random.random()))
        self._backoff = min(_MAX_BACKOFF, 2 * self._backoff)
        if not self.probes_store and self.upstreams.select().address is None:
            self.availability.wait_until_available(_MAX_AVAILABILITY_WAIT)

    def poll(self) -> bool:
        """Make one call to the store, or to a peer that passes it on; False if it failed."""
        upstream = self.upstreams.select()
        outcome = self._fetch(upstream, self._watch_duration(upstream))
        if upstream.address is None:
            if _is_lost_reply(outcome):
                # Only the connection may be gone, and the next call opens a new one. Without
                # it one silent connection at each watcher made 87 instances blind for 10 s.
                outcome = self._fetch(upstream, PROBE_SECONDS)
            self.availability.report(isinstance(outcome, Success))
            if isinstance(outcome, Success):
                self._store_answered_at = steady()
        elif isinstance(outcome, Failure):
            self.upstreams.report_failure(upstream)
        if isinstance(outcome, Failure):
            return False
        self._record_upstream(upstream)
        return True

    def _fetch(self, upstream: Upstream, watch_seconds: float) -> Result:
        """List, or watch for some seconds."""
        if self.revision is None:
            listed = upstream.store.list([self.kind])
            return listed.bind(lambda snapshot: self._apply_list(upstream, snapshot))
        result = upstream.store.watch([self.kind], self.revision, watch_seconds)
        return result.map(lambda batch: self._apply_batch(upstream, batch))

    def _watch_duration(self, upstream: Upstream) -> float:
        """Return the seconds for which a watch is held."""
        if upstream.address is not None:
            return min(self.peer_watch_seconds, self.watch_seconds)
        # A lost store is probed: the answer has to come at once, changes or not.
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
            return Failure(PlatformUnavailable("the list is behind what was followed here"))
        self._rejected_revision = None
        self.cache.confirm(snapshot.age)
        self.on_list(snapshot.objects, snapshot.revision)
        self.cache.replace(snapshot.revision, snapshot.objects)
        self.revision = snapshot.revision
        self.has_listed = True
        return Success(None)

    def _log_rejected_list(self, upstream: Upstream, revision: int) -> None:
        """Tell of a list that is not taken, once for each revision."""
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
        """Seconds for which a watch is held beyond the usual."""
        return max(0.0, self.watch_seconds - _DEFAULT_WATCH_SECONDS)

    def _is_fresher_than_upstream(self, age: float) -> bool:
        """Whether the store, in reach as far as is known, was heard here after the feeder heard it.

        Without it one that restarted while all others were cut off followed these, and
        answered by an old configuration for 5 s though the store was in its reach.
        """
        if (
            age <= _MAX_HEALTHY_AGE_SECONDS + 2 * self._extra_watch_seconds
            or not self.availability.is_available
        ):
            return False
        return steady() - age < self._store_answered_at


def _is_lost_reply(outcome: Result) -> bool:
    return isinstance(outcome, Failure) and isinstance(outcome.failure(), ReplyLost)
