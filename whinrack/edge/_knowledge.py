"""What this instance knows from the store: the configuration and the targets."""

import random
from collections import OrderedDict
from collections.abc import Callable, Collection
from typing import NamedTuple

import eventlet
from eventlet.event import Event as Signal
from returns.result import Success

from whinrack.clock import steady
from whinrack.dispatch import CurrentConfiguration, TargetRecord, TargetRegistry, TargetsView
from whinrack.edge._kind_follower import PROBE_SECONDS, KindFollower, SourcePlan
from whinrack.edge._knowledge_exchange import SharedKnowledge, fetch_knowledge
from whinrack.edge._options import HostPort
from whinrack.edge._readers import ConfigurationReader, TargetReader, shown
from whinrack.edge._relay import WatchRelay
from whinrack.edge._restore_reconciliation import LostEntries
from whinrack.edge._store_availability import StoreContact
from whinrack.exceptions import InvalidObject
from whinrack.gossip import RemovedTarget
from whinrack.observability import Event, log_event
from whinrack.store import ObjectStore, StoredObject, format_revision, revision_era

__all__ = ["StoreKnowledge"]

_FAILED_READ_PAUSE = 0.5
_PEER_PAUSE = 1.0
# A fed instance that lost the store asks it again after so long, and half as much by chance.
_PROBE_PAUSE = 1.0
# A fed instance that hears of a newer configuration waits so long for it to come by itself.
_FEED_PAUSE = 0.25
# Names of targets that are gone, the last ones.
_MOST_GONE = 2000
# For so long peers are told that a target's record is gone.
_GONE_TOLD_SECONDS = 4.0


class _GoneRecord(NamedTuple):
    """The version that a target's record had last, and when its end was learnt."""

    version: int
    at: float


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
    plan : SourcePlan
        Says whom to ask for lists and watches.
    watch_seconds : float
        How long one watch is held.
    peer_with_store : callable
        Returns the address of a peer that reaches the store, None if none does.
    fetch : callable, optional
        Asks the peer at an address what it knows.
    count_invalid : callable, optional
        Told the kind of each object that can't be used.
    further_kinds : tuple of str, optional
        Followed elsewhere, and passed on to peers by the same relay.
    """

    def __init__(
        self,
        store: ObjectStore,
        contact: StoreContact,
        configuration_reader: ConfigurationReader,
        target_reader: TargetReader,
        directory: CurrentConfiguration,
        registry: TargetRegistry,
        plan: SourcePlan,
        watch_seconds: float,
        peer_with_store: Callable[[], HostPort | None],
        fetch: Callable[[HostPort], SharedKnowledge | None] = fetch_knowledge,
        count_invalid: Callable[[str], None] = lambda kind: None,
        further_kinds: tuple[str, ...] = (),
    ):
        self.store = store
        self.configuration_reader = configuration_reader
        self.target_reader = target_reader
        self.directory = directory
        self.registry = registry
        self.contact = contact
        self.peer_with_store = peer_with_store
        self.fetch = fetch
        self.count_invalid = count_invalid
        self._configuration: StoredObject | None = None
        self._targets: dict[str, StoredObject] = {}
        # What the store said is gone, and when; a peer that still has it is behind.
        self._gone: OrderedDict[str, _GoneRecord] = OrderedDict()
        self._lost = LostEntries()
        # Called with the era in which the store has come back from a copy.
        self.restored: list[Callable[[int], None]] = []
        self.plan = plan
        self.relay = WatchRelay((configuration_reader.kind, target_reader.kind, *further_kinds))
        self._configurations = KindFollower(
            plan,
            configuration_reader.kind,
            lambda objects, revision: self._take_configuration(objects),
            self._take_configuration,
            contact,
            watch_seconds,
            probes=True,
            relay=self.relay.kinds[configuration_reader.kind],
        )
        self._target_list = KindFollower(
            plan,
            target_reader.kind,
            self._replace_targets,
            self._change_targets,
            contact,
            watch_seconds,
            probes=False,
            relay=self.relay.kinds[target_reader.kind],
        )
        self._reading = False
        self._store_heard = Signal()

    def tasks(self) -> list[Callable[[], None]]:
        """Return the loops to run in the background."""
        return [
            self._configurations.run,
            self._target_list.run,
            self._follow_peers,
            self._probe_store,
        ]

    def shared(self) -> SharedKnowledge:
        """Return what peers may learn from here."""
        return SharedKnowledge(self._configuration, tuple(self._targets.values()))

    def targets_view(self) -> TargetsView:
        """Return how up to date the targets are here."""
        relay = self._target_list.relay
        return TargetsView(relay.revision or 0, relay.age(), self._target_list.source)

    def follows_store(self) -> bool:
        """Whether this instance asks the store itself, not a peer that follows it."""
        return self.plan.source().address is None

    def suspect_configuration(self, peer: HostPort) -> None:
        """Catch up in the background with a peer that has a newer configuration."""
        if not self._reading:
            self._reading = True
            eventlet.spawn_n(self._catch_up, peer)

    def gone_lately(self) -> list[RemovedTarget]:
        """Return the targets whose records have gone lately, for the peers."""
        since = steady() - _GONE_TOLD_SECONDS
        late: list[RemovedTarget] = []
        for name, gone in reversed(self._gone.items()):
            if gone.at < since:
                break
            late.append(RemovedTarget(name, gone.version))
        return late

    def learn_gone(self, gone: list[RemovedTarget]) -> None:
        """Take in what a peer knows to be gone, unless a later record is known here."""
        for target in gone:
            known = self._targets.get(target.incarnation)
            if known is not None and known.version <= target.version:
                ended = StoredObject(known.kind, known.name, target.version, deleted=True)
                self._change_targets((ended,), source="peer")

    def hear_of_store(self) -> None:
        """Ask a lost store again now: a peer hears from it, after none did."""
        heard, self._store_heard = self._store_heard, Signal()
        heard.send(None)

    def _follow_peers(self) -> None:
        """Learn of targets from peers while the store is out of reach."""
        while True:
            eventlet.sleep(_PEER_PAUSE)
            # A fed instance goes on being fed by a peer that reaches the store.
            alone = not self.contact.answers and self.follows_store()
            peer = self.peer_with_store() if alone else None
            known = self.fetch(peer) if peer is not None else None
            if known is not None and not self.contact.answers:
                self._learn(known)

    def _probe_store(self) -> None:
        """Ask a lost store again while peers feed this instance.

        A fed instance makes no calls of its own, so it would count the store as lost for good
        and never watch it again for others: 57 of 87 instances did so after one silence. Until a
        peer hears from the store, the calls of those who follow it are enough.
        """
        heard = self._store_heard
        while True:
            with eventlet.Timeout(_PROBE_PAUSE * (1.0 + random.random() / 2), False):
                heard.wait()
            # Word that comes while the store is asked in vain lets it be asked once more.
            heard = self._store_heard
            is_fed = not self.follows_store()
            if not self.contact.answers and is_fed and self.plan.store_may_answer():
                self.contact.report(self._store_answers())

    def _store_answers(self) -> bool:
        relay = self._configurations.relay
        result = self.store.watch(
            [self.configuration_reader.kind], relay.revision or 0, PROBE_SECONDS
        )
        return isinstance(result, Success)

    def _catch_up(self, peer: HostPort) -> None:
        try:
            before = self.directory.version
            if not self.follows_store():
                eventlet.sleep(_FEED_PAUSE)
                if self.directory.version != before:
                    return
            known = self.fetch(peer)
            if known is not None:
                log_event(
                    Event.KNOWLEDGE_FETCHED, peer=f"{peer[0]}:{peer[1]}", targets=len(known.targets)
                )
                self._learn(known)
            if self.directory.version == before:
                self._read_configuration()
        finally:
            self._reading = False

    def _learn(self, known: SharedKnowledge) -> None:
        """Take in what a peer knows, the targets before the routes that need them."""
        if not self._target_list.listed_once or not self.contact.answers:
            # The store's own word goes first, also an earlier one that a target is gone.
            fresh = [stored for stored in known.targets if stored.name not in self._gone]
            self._change_targets(tuple(fresh), source="peer")
        if known.configuration is not None:
            self._take_configuration((known.configuration,))

    def _read_configuration(self) -> None:
        """Read the configuration from the store."""
        reader = self.configuration_reader
        stored = self.store.get(reader.kind, reader.name)
        if isinstance(stored, Success):
            self._take_configuration((stored.unwrap(),))
        else:
            eventlet.sleep(_FAILED_READ_PAUSE)

    def _take_configuration(self, objects: tuple[StoredObject, ...]) -> None:
        for stored in objects:
            if stored.deleted or stored.name != self.configuration_reader.name:
                continue
            try:
                configuration = self.configuration_reader.read(stored)
                if self.directory.update(configuration):
                    self._configuration = stored
                    self._tell_ignored(stored, configuration.ignored_fields)
            except InvalidObject as error:
                self.count_invalid(stored.kind)
                log_event(Event.CONFIG_INVALID, object=stored.name, error=shown(error.message))

    def _tell_ignored(self, stored: StoredObject, ignored: tuple[str, ...]) -> None:
        """Tell which fields of a configuration were left out."""
        if ignored:
            self.count_invalid(stored.kind)
            log_event(Event.CONFIG_INVALID, object=stored.name, error=shown("; ".join(ignored)))

    def _replace_targets(self, objects: tuple[StoredObject, ...], revision: int) -> None:
        now = steady()
        pauses = self._lost.learn(revision, self._gone, now)
        for seconds in pauses:
            eventlet.spawn_after(seconds, self._look_again)
        self._believe(self._lost.believed(objects, self._targets.values(), now))
        if pauses:
            for tell in self.restored:
                tell(revision_era(revision))

    def _look_again(self) -> None:
        """Take the list anew: what the store lost has had time to be written again."""
        snapshot = self._target_list.relay.snapshot()
        if snapshot is not None:
            self._replace_targets(snapshot.objects, snapshot.revision)

    def _believe(self, objects: Collection[StoredObject]) -> None:
        """Put a whole list in the place of what was known."""
        listed = {stored.name: stored for stored in objects}
        for name in self._targets.keys() - listed.keys():
            self._note_gone(self._targets[name])
        for name in listed:
            self._gone.pop(name, None)
        self._targets = listed
        records = [record for record in map(self._read_target, objects) if record is not None]
        for incarnation in self.registry.replace_all(records):
            self._log_leaving(incarnation, "list")

    def _change_targets(self, objects: tuple[StoredObject, ...], source: str = "watch") -> None:
        for stored in objects:
            if self._turned_to_leaving(stored):
                self._log_leaving(stored.name, source, stored.version)

    def _log_leaving(self, incarnation: str, how: str, version: int = 0) -> None:
        """Tell that a target takes no new work, who said so and how old that word is."""
        log_event(
            Event.TARGET_LEAVING,
            target=incarnation,
            source=how,
            version=format_revision(version),
            targets=self.targets_view(),
        )

    def _turned_to_leaving(self, stored: StoredObject) -> bool:
        if stored.deleted:
            self._targets.pop(stored.name, None)
            self._note_gone(stored)
            return self.registry.remove(stored.name)
        known = self._targets.get(stored.name)
        if known is not None and known.version > stored.version:
            # A peer that is behind; passed on, its record would make others blind too.
            return False
        self._lost.ended.discard(stored.name)
        self._targets[stored.name] = stored
        self._gone.pop(stored.name, None)
        record = self._read_target(stored)
        if record is None:
            # An entry that turned bad names no target any more.
            return self.registry.remove(stored.name)
        return self.registry.put(record)

    def _note_gone(self, stored: StoredObject) -> None:
        """Remember that the store said a target is gone."""
        self._gone.pop(stored.name, None)
        self._gone[stored.name] = _GoneRecord(stored.version, steady())
        while len(self._gone) > _MOST_GONE:
            self._gone.popitem(last=False)

    def _read_target(self, stored: StoredObject) -> TargetRecord | None:
        try:
            return self.target_reader.read(stored)
        except InvalidObject as error:
            self.count_invalid(stored.kind)
            log_event(Event.CONFIG_INVALID, object=shown(stored.name), error=shown(error.message))
            return None
