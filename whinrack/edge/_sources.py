"""Follows one kind of object in the store: a list, then watches, then lists again."""

import random
from collections.abc import Callable

import eventlet
import msgspec
from returns.result import Failure

from whinrack.dispatch import Configuration, TargetRecord
from whinrack.edge._contact import StoreContact
from whinrack.edge._options import HostPort
from whinrack.edge._relay import KindRelay
from whinrack.observability import Event, log_event
from whinrack.store import ObjectStore, StoredObject

__all__ = [
    "ConfigurationReader",
    "FollowedSource",
    "KindFollower",
    "SourcePlan",
    "TargetReader",
]

_FIRST_PAUSE = 0.1
_LONGEST_PAUSE = 0.3
_PROBE_SECONDS = 0.05
# A watch at a peer: short, since the peer may fall silent.
_FED_WATCH_SECONDS = 1.0
# A task that doesn't probe tries by itself after so long.
_LONGEST_WAIT = 2.0


class ConfigurationReader:
    """Translates the stored configuration."""

    kind: str
    name: str

    def read(self, stored: StoredObject) -> Configuration:
        """Return the configuration that an object holds.

        Raises
        ------
        InvalidObject
        """
        raise NotImplementedError


class TargetReader:
    """Translates the stored records of targets."""

    kind: str

    def read(self, stored: StoredObject) -> TargetRecord:
        """Return the record that an object holds.

        Raises
        ------
        InvalidObject
        """
        raise NotImplementedError


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
        return "store" if self.address is None else "{}:{}".format(*self.address)


class SourcePlan:
    """Says whom to ask for lists and watches; this one always says the store.

    Parameters
    ----------
    store : ObjectStore
    """

    def __init__(self, store: ObjectStore):
        self.store = store

    def source(self) -> FollowedSource:
        """Return whom to ask next."""
        return FollowedSource(self.store)

    def failed(self, source: FollowedSource) -> None:
        """Learn that a peer didn't answer."""


class KindFollower:
    """Keeps up with a kind of object, through outages and lost history.

    Parameters
    ----------
    plan : SourcePlan
    kind : str
    listed : callable
        Called with all objects after each list.
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
    """

    def __init__(
        self,
        plan: SourcePlan,
        kind: str,
        listed: Callable[[tuple[StoredObject, ...]], None],
        changed: Callable[[tuple[StoredObject, ...]], None],
        contact: StoreContact,
        watch_seconds: float,
        probes: bool,
        relay: KindRelay,
    ):
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

    def run(self) -> None:
        """Follow for ever."""
        while True:
            if self.step():
                self._pause = _FIRST_PAUSE
            else:
                self._rest()

    def _rest(self) -> None:
        """Wait before the next call after a failure."""
        eventlet.sleep(self._pause * (0.5 + random.random()))
        self._pause = min(_LONGEST_PAUSE, 2 * self._pause)
        if not self.probes and self.plan.source().address is None:
            self.contact.wait(_LONGEST_WAIT)

    def step(self) -> bool:
        """Make one call to the store, or to a peer that passes it on; False if it failed."""
        source = self.plan.source()
        answered = self._list(source.store) if self.revision is None else self._watch(source)
        if source.address is None:
            self.contact.report(answered)
        elif not answered:
            self.plan.failed(source)
        if answered:
            self._note_source(source)
        return answered

    def _note_source(self, source: FollowedSource) -> None:
        if source.name != self.source:
            log_event(Event.FEED_CHANGED, kind=self.kind, before=self.source, now=source.name)
            self.source = source.name

    def _list(self, store: ObjectStore) -> bool:
        result = store.list([self.kind])
        if isinstance(result, Failure):
            return False
        snapshot = result.unwrap()
        if self.relay.revision is not None and snapshot.revision < self.relay.revision:
            # A peer that is behind what was followed here.
            return False
        self.relay.confirmed(snapshot.age)
        self.listed(snapshot.objects)
        self.relay.listed(snapshot.revision, snapshot.objects)
        self.revision = snapshot.revision
        self.listed_once = True
        return True

    def _watch(self, source: FollowedSource) -> bool:
        # A lost store is probed: the answer has to come at once, changes or not.
        if source.address is not None:
            seconds = min(_FED_WATCH_SECONDS, self.watch_seconds)
        else:
            seconds = self.watch_seconds if self.contact.answers else _PROBE_SECONDS
        result = source.store.watch([self.kind], self.revision, seconds)
        if isinstance(result, Failure):
            return False
        batch = result.unwrap()
        self.relay.confirmed(batch.age)
        if batch.gap:
            self.revision = None
            return True
        if batch.objects:
            self.changed(batch.objects)
        self.revision = max(self.revision, batch.revision)
        self.relay.changed(self.revision, batch.objects)
        return True
