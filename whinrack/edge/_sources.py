"""Follows one kind of object in the store: a list, then watches, then lists again."""

import random
from collections.abc import Callable

import eventlet
from returns.result import Failure

from whinrack.dispatch import Configuration, TargetRecord
from whinrack.edge._contact import StoreContact
from whinrack.store import ObjectStore, StoredObject

__all__ = ["ConfigurationReader", "KindFollower", "TargetReader"]

_FIRST_PAUSE = 0.1
_LONGEST_PAUSE = 0.3
_PROBE_SECONDS = 0.05
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


class KindFollower:
    """Keeps up with a kind of object, through outages and lost history.

    Parameters
    ----------
    store : ObjectStore
    kind : str
    listed : callable
        Called with all objects after each list.
    changed : callable
        Called with the objects of each watch that had some.
    contact : StoreContact
        Told the outcome of every call.
    watch_seconds : float
        How long one watch is held.
    probes : bool
        Go on calling while the store is away, for all who wait for it.
    """

    def __init__(
        self,
        store: ObjectStore,
        kind: str,
        listed: Callable[[tuple[StoredObject, ...]], None],
        changed: Callable[[tuple[StoredObject, ...]], None],
        contact: StoreContact,
        watch_seconds: float,
        probes: bool,
    ):
        self.store = store
        self.kind = kind
        self.listed = listed
        self.changed = changed
        self.contact = contact
        self.watch_seconds = watch_seconds
        self.probes = probes
        self.revision: int | None = None
        self.listed_once = False
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
        if not self.probes:
            self.contact.wait(_LONGEST_WAIT)

    def step(self) -> bool:
        """Make one call to the store; False if it failed."""
        answered = self._list() if self.revision is None else self._watch()
        self.contact.report(answered)
        return answered

    def _list(self) -> bool:
        result = self.store.list([self.kind])
        if isinstance(result, Failure):
            return False
        snapshot = result.unwrap()
        self.listed(snapshot.objects)
        self.revision = snapshot.revision
        self.listed_once = True
        return True

    def _watch(self) -> bool:
        # A lost store is probed: the answer has to come at once, changes or not.
        seconds = self.watch_seconds if self.contact.answers else _PROBE_SECONDS
        result = self.store.watch([self.kind], self.revision, seconds)
        if isinstance(result, Failure):
            return False
        batch = result.unwrap()
        if batch.gap:
            self.revision = None
            return True
        if batch.objects:
            self.changed(batch.objects)
        self.revision = max(self.revision, batch.revision)
        return True
