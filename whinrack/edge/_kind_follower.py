"""Follows one kind of object in the store: a list, then watches, then lists again."""

import random
from collections.abc import Callable

import eventlet
import msgspec
from returns.result import Failure, Result, Success

from whinrack.clock import steady
from whinrack.edge._options import HostPort
from whinrack.edge._relay import KindRelay
from whinrack.edge._store_availability import StoreContact
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
    "FollowedSource",
    "KindFollower",
    "SourcePlan",
]

# The store, where logs name who answered.
_STORE_NAME = "store"
_FIRST_PAUSE = 0.1
_LONGEST_PAUSE = 0.3
# A lost store is asked by watches that are held for so long.
PROBE_SECONDS = 0.05
# A watch at a peer: short, since the peer may fall silent.
_FED_WATCH_SECONDS = 1.0
# What a peer passes on is at most as old as the hold of its own watch, and this much: 1.7 s
# until it knows by itself that the store doesn't answer, and the heartbeat that tells so. What is
# older was not heard from the store, and the peer doesn't know.
_AGE_MARGIN_SECONDS = 2.0
# What a sound feeder passes on is at most so old: the holds of its own watch and of one more
# between it and the store, and 0.6 s for late answers. What is older tells that it hears nothing.
_SOUND_FEED_SECONDS = 2.6
# Watches that are held for longer are older by as much.
_USUAL_WATCH_SECONDS = 1.0
# Seconds between the starts of two watches of the store at least: changes that come in quick
# succession share a call.
_SHORTEST_INTERVAL = 0.1
# A task that doesn't probe tries by itself after so long.
_LONGEST_WAIT = 2.0


class FollowedSource(msgspec.Struct, frozen=True):
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


class SourcePlan:
    """Says whom to ask for lists and watches; this one always says the store.

    Parameters
    ----------
    store : ObjectStore
    """

    def __init__(self, store: ObjectStore):
        self.store = store

    def settle(self) -> None:
        """Wait at the start until it is known whom to ask."""

    def store_may_answer(self) -> bool:
        """Whether a store that is lost from here is worth a call."""
        return True

    def source(self) -> FollowedSource:
        """Return whom to ask next."""
        return FollowedSource(self.store)

    def failed(self, source: FollowedSource) -> None:
        """Learn that a peer didn't answer."""

    def behind(self, source: FollowedSource) -> None:
        """Learn that what a peer passes on was confirmed by the store long ago."""

    def follow_store(self) -> None:
        """Learn that the store told this instance more lately than its feeder."""


class KindFollower:
    """Keeps up with a kind of object, through outages and lost history.

    Parameters
    ----------
    plan : SourcePlan
    kind : str
    listed : callable
        Called with all objects after each list, and its revision.
    changed : callable
        Called with the objects of each watch that had some.
    contact : StoreContact
        Told the outcome of every call to the store.
    watch_seconds : float
        How long one watch is held.
    probes : bool
        Go on calling while the store is away, for all who wait for it.
    relay : KindRelay
        Told what was followed.
    fed_watch_seconds : float, optional
        How long a watch at a peer is held at most.
    """

    def __init__(
        self,
        plan: SourcePlan,
        kind: str,
        listed: Callable[[tuple[StoredObject, ...], int], None],
        changed: Callable[[tuple[StoredObject, ...]], None],
        contact: StoreContact,
        watch_seconds: float,
        probes: bool,
        relay: KindRelay,
        fed_watch_seconds: float = _FED_WATCH_SECONDS,
    ):
        self.fed_watch_seconds = fed_watch_seconds
        self.plan = plan
        self.kind = kind
        self.listed = listed
        self.changed = changed
        self.contact = contact
        self.watch_seconds = watch_seconds
        self.probes = probes
        self.relay = relay
        self.revision: int | None = None
        self.listed_once = False
        self.source = "nobody"
        self._pause = _FIRST_PAUSE
        self._refused_revision: int | None = None
        self._store_heard_at = float("-inf")

    def run(self) -> None:
        """Follow for ever."""
        self.plan.settle()
        while True:
            began = steady()
            if self.step():
                self._pause = _FIRST_PAUSE
                self._space_calls(began)
            else:
                self._rest()

    def _space_calls(self, began: float) -> None:
        """Let changes gather before the store is asked again, 0.1 s at most."""
        rest = began + _SHORTEST_INTERVAL - steady()
        if rest > 0.0 and self.source == _STORE_NAME and self.contact.answers:
            eventlet.sleep(rest)

    def _rest(self) -> None:
        """Wait before the next call after a failure."""
        eventlet.sleep(self._pause * (0.5 + random.random()))
        self._pause = min(_LONGEST_PAUSE, 2 * self._pause)
        if not self.probes and self.plan.source().address is None:
            self.contact.wait(_LONGEST_WAIT)

    def step(self) -> bool:
        """Make one call to the store, or to a peer that passes it on; False if it failed."""
        source = self.plan.source()
        outcome = self._ask(source, self._patience(source))
        if source.address is None:
            if _is_lost_reply(outcome):
                # Only the connection may be gone, and the next call opens a new one. Without
                # it one silent connection at each watcher made 87 instances blind for 10 s.
                outcome = self._ask(source, PROBE_SECONDS)
            self.contact.report(isinstance(outcome, Success))
            if isinstance(outcome, Success):
                self._store_heard_at = steady()
        elif isinstance(outcome, Failure):
            self.plan.failed(source)
        if isinstance(outcome, Failure):
            return False
        self._note_source(source)
        return True

    def _ask(self, source: FollowedSource, patience: float) -> Result:
        """List, or watch for some seconds."""
        if self.revision is None:
            listed = source.store.list([self.kind])
            return listed.bind(lambda snapshot: self._take_list(source, snapshot))
        result = source.store.watch([self.kind], self.revision, patience)
        return result.map(lambda batch: self._take_batch(source, batch))

    def _patience(self, source: FollowedSource) -> float:
        """Return the seconds for which a watch is held."""
        if source.address is not None:
            return min(self.fed_watch_seconds, self.watch_seconds)
        # A lost store is probed: the answer has to come at once, changes or not.
        return self.watch_seconds if self.contact.answers else PROBE_SECONDS

    def _note_source(self, source: FollowedSource) -> None:
        if source.name != self.source:
            log_event(Event.FEED_CHANGED, kind=self.kind, before=self.source, now=source.name)
            self.source = source.name

    def _take_list(
        self, source: FollowedSource, snapshot: Snapshot
    ) -> Result[None, PlatformFailure]:
        if self.relay.revision is not None and snapshot.revision < self.relay.revision:
            self._log_refused(source, snapshot.revision)
            return Failure(PlatformUnavailable("the list is behind what was followed here"))
        self._refused_revision = None
        self.relay.confirmed(snapshot.age)
        self.listed(snapshot.objects, snapshot.revision)
        self.relay.listed(snapshot.revision, snapshot.objects)
        self.revision = snapshot.revision
        self.listed_once = True
        return Success(None)

    def _log_refused(self, source: FollowedSource, revision: int) -> None:
        """Tell of a list that is not taken, once for each revision."""
        if revision != self._refused_revision:
            self._refused_revision = revision
            log_event(
                Event.LIST_REFUSED,
                kind=self.kind,
                source=source.name,
                revision=format_revision(revision),
                followed=format_revision(self.relay.revision),
            )

    def _take_batch(self, source: FollowedSource, batch: WatchBatch) -> None:
        if self._knows_better(batch.age):
            self.plan.follow_store()
        if batch.age > self.watch_seconds + _AGE_MARGIN_SECONDS + self._longer_holds:
            self.plan.behind(source)
        if batch.gap:
            self.revision = None
            return
        self.relay.confirmed(batch.age)
        if batch.objects:
            self.changed(batch.objects)
        self.revision = max(self.revision, batch.revision)
        self.relay.changed(self.revision, batch.objects)

    @property
    def _longer_holds(self) -> float:
        """Seconds for which a watch is held beyond the usual."""
        return max(0.0, self.watch_seconds - _USUAL_WATCH_SECONDS)

    def _knows_better(self, age: float) -> bool:
        """Whether the store, in reach as far as is known, was heard here after the feeder heard it.

        Without it one that restarted while all others were cut off followed these, and
        answered by an old configuration for 5 s though the store was in its reach.
        """
        if age <= _SOUND_FEED_SECONDS + 2 * self._longer_holds or not self.contact.answers:
            return False
        return steady() - age < self._store_heard_at


def _is_lost_reply(outcome: Result) -> bool:
    return isinstance(outcome, Failure) and isinstance(outcome.failure(), ReplyLost)
