"""What this instance knows from the store: the configuration and the targets."""

from collections.abc import Callable

import eventlet
from returns.result import Success

from whinrack.dispatch import Directory, TargetRecord, TargetRegistry
from whinrack.edge._contact import StoreContact
from whinrack.edge._sources import ConfigurationReader, KindFollower, TargetReader
from whinrack.exceptions import InvalidObject
from whinrack.observability import Event, log_event
from whinrack.store import ObjectStore, StoredObject

__all__ = ["StoreKnowledge"]

_FAILED_READ_PAUSE = 0.5


class StoreKnowledge:
    """Keeps directory and registry up to date from the store.

    Parameters
    ----------
    store : ObjectStore
    contact : StoreContact
    configuration_reader : ConfigurationReader
    target_reader : TargetReader
    directory : Directory
    registry : TargetRegistry
    watch_seconds : float
        How long one watch is held.
    """

    def __init__(
        self,
        store: ObjectStore,
        contact: StoreContact,
        configuration_reader: ConfigurationReader,
        target_reader: TargetReader,
        directory: Directory,
        registry: TargetRegistry,
        watch_seconds: float,
    ):
        self.store = store
        self.configuration_reader = configuration_reader
        self.target_reader = target_reader
        self.directory = directory
        self.registry = registry
        self._followers = (
            KindFollower(
                store,
                configuration_reader.kind,
                self._take_configuration,
                self._take_configuration,
                contact,
                watch_seconds,
                probes=True,
            ),
            KindFollower(
                store,
                target_reader.kind,
                self._replace_targets,
                self._change_targets,
                contact,
                watch_seconds,
                probes=False,
            ),
        )
        self._reading = False

    def tasks(self) -> list[Callable[[], None]]:
        """Return the loops to run in the background."""
        return [follower.run for follower in self._followers]

    def suspect_configuration(self) -> None:
        """Read the configuration now, in the background: a peer has a newer one."""
        if not self._reading:
            self._reading = True
            eventlet.spawn_n(self._read_configuration)

    def _read_configuration(self) -> None:
        reader = self.configuration_reader
        try:
            stored = self.store.get(reader.kind, reader.name)
            if isinstance(stored, Success):
                self._take_configuration((stored.unwrap(),))
            else:
                eventlet.sleep(_FAILED_READ_PAUSE)
        finally:
            self._reading = False

    def _take_configuration(self, objects: tuple[StoredObject, ...]) -> None:
        for stored in objects:
            if stored.deleted or stored.name != self.configuration_reader.name:
                continue
            try:
                self.directory.take(self.configuration_reader.read(stored))
            except InvalidObject as error:
                log_event(Event.CONFIG_INVALID, object=stored.name, error=error.message)

    def _replace_targets(self, objects: tuple[StoredObject, ...]) -> None:
        records = [record for record in map(self._read_target, objects) if record is not None]
        for incarnation in self.registry.replace_all(records):
            log_event(Event.TARGET_LEAVING, target=incarnation, source="list")

    def _change_targets(self, objects: tuple[StoredObject, ...]) -> None:
        for stored in objects:
            if self._turned_to_leaving(stored):
                log_event(Event.TARGET_LEAVING, target=stored.name, source="watch")

    def _turned_to_leaving(self, stored: StoredObject) -> bool:
        if stored.deleted:
            return self.registry.remove(stored.name)
        record = self._read_target(stored)
        return record is not None and self.registry.put(record)

    def _read_target(self, stored: StoredObject) -> TargetRecord | None:
        try:
            return self.target_reader.read(stored)
        except InvalidObject as error:
            log_event(Event.CONFIG_INVALID, object=stored.name, error=error.message)
            return None
