"""Configuration and targets as read from the store and from peers."""

import random
from collections import OrderedDict
from collections.abc import Callable, Collection
from typing import NamedTuple

import eventlet
from eventlet.event import Event as Signal
from returns.result import Success

from whinrack.clock import steady
from whinrack.dispatch import CurrentConfiguration, TargetRecord, TargetRegistry, TargetsView
from whinrack.edge._kind_follower import PROBE_SECONDS, KindFollower, UpstreamSelector
from whinrack.edge._knowledge_exchange import SharedKnowledge, fetch_knowledge
from whinrack.edge._options import HostPort
from whinrack.edge._readers import ConfigurationReader, TargetReader, truncate_for_log
from whinrack.edge._relay import WatchRelay
from whinrack.edge._restore_reconciliation import RestoreReconciler
from whinrack.edge._store_availability import StoreAvailability
from whinrack.exceptions import InvalidObject
from whinrack.gossip import RemovedTarget
from whinrack.observability import Event, log_event
from whinrack.store import ObjectStore, StoredObject, format_revision, revision_era

__all__ = ["StoreKnowledge"]

_READ_RETRY_SECONDS = 0.5
_PEER_FETCH_SECONDS = 1.0
# Interval at which an instance that follows a peer probes an unavailable store; a random part of
# up to half of it is added.
_PROBE_INTERVAL_SECONDS = 1.0
# How long an instance that follows a peer waits for a newer configuration to arrive that way.
_RELAY_GRACE_SECONDS = 0.25
# Number of deleted target records that are remembered, the latest ones.
_MAX_REMOVED = 2000
# How long peers are informed that the record of a target was deleted.
_REMOVED_ADVERTISED_SECONDS = 4.0


class _RemovedRecord(NamedTuple):
    """Last version of a deleted target record, and when the deletion was noticed."""

    version: int
    learned_at: float


class StoreKnowledge:
    """Keeps the configuration and the target registry up to date from the store and the peers.

    Parameters
    ----------
    store : ObjectStore
    availability : StoreAvailability
    configuration_reader : ConfigurationReader
    target_reader : TargetReader
    current_configuration : CurrentConfiguration
    registry : TargetRegistry
    upstreams : UpstreamSelector
        Selects the upstream for lists and watches.
    watch_seconds : float
        How long one watch is held.
    peer_with_store : callable
        Returns the address of a peer that reaches the store, None if no peer does.
    fetch : callable, optional
        Fetches the `SharedKnowledge` of the peer at an address.
    count_invalid : callable, optional
        Called with the kind of each object that cannot be read.
    extra_kinds : tuple of str, optional
        Kinds that are followed elsewhere but served to peers by the same relay.

    Attributes
    ----------
    on_restored : list of callable
        Called with the new era after the store was restored from a copy.
    """

    def __init__(
        self,
        store: ObjectStore,
        availability: StoreAvailability,
        configuration_reader: ConfigurationReader,
        target_reader: TargetReader,
        current_configuration: CurrentConfiguration,
        registry: TargetRegistry,
        upstreams: UpstreamSelector,
        watch_seconds: float,
        peer_with_store: Callable[[], HostPort | None],
        fetch: Callable[[HostPort], SharedKnowledge | None] = fetch_knowledge,
        count_invalid: Callable[[str], None] = lambda kind: None,
        extra_kinds: tuple[str, ...] = (),
    ):
        self.store = store
        self.configuration_reader = configuration_reader
        self.target_reader = target_reader
        self.current_configuration = current_configuration
        self.registry = registry
        self.availability = availability
        self.peer_with_store = peer_with_store
        self.fetch = fetch
        self.count_invalid = count_invalid
        self._configuration: StoredObject | None = None
        self._targets: dict[str, StoredObject] = {}
        # Deleted records. A peer that still has one of them is out of date.
        self._removed: OrderedDict[str, _RemovedRecord] = OrderedDict()
        self._reconciler = RestoreReconciler()
        self.on_restored: list[Callable[[int], None]] = []
        self.upstreams = upstreams
        self.relay = WatchRelay((configuration_reader.kind, target_reader.kind, *extra_kinds))
        self._configuration_follower = KindFollower(
            upstreams,
            configuration_reader.kind,
            lambda objects, revision: self._apply_configuration(objects),
            self._apply_configuration,
            availability,
            watch_seconds,
            probes_store=True,
            cache=self.relay.caches[configuration_reader.kind],
        )
        self._target_follower = KindFollower(
            upstreams,
            target_reader.kind,
            self._on_target_list,
            self._on_target_changes,
            availability,
            watch_seconds,
            probes_store=False,
            cache=self.relay.caches[target_reader.kind],
        )
        self._is_catching_up = False
        self._store_reachable = Signal()

    def tasks(self) -> list[Callable[[], None]]:
        """Return the loops to run in the background."""
        return [
            self._configuration_follower.run,
            self._target_follower.run,
            self._follow_peers,
            self._probe_store,
        ]

    def shared_knowledge(self) -> SharedKnowledge:
        """Return the objects that peers may fetch."""
        return SharedKnowledge(self._configuration, tuple(self._targets.values()))

    def targets_view(self) -> TargetsView:
        """Return the revision, age and upstream of the known targets."""
        cache = self._target_follower.cache
        return TargetsView(cache.revision or 0, cache.age(), self._target_follower.upstream_name)

    def is_following_store(self) -> bool:
        """Return whether this instance follows the store itself, not a peer."""
        return self.upstreams.select().address is None

    def catch_up(self, peer: HostPort) -> None:
        """Fetch a newer configuration from a peer, in the background."""
        if not self._is_catching_up:
            self._is_catching_up = True
            eventlet.spawn_n(self._fetch_from_peer, peer)

    def recently_removed(self) -> list[RemovedTarget]:
        """Return the targets whose records were deleted recently, for the peers."""
        since = steady() - _REMOVED_ADVERTISED_SECONDS
        recent: list[RemovedTarget] = []
        for name, gone in reversed(self._removed.items()):
            if gone.learned_at < since:
                break
            recent.append(RemovedTarget(name, gone.version))
        return recent

    def merge_removed(self, removed: list[RemovedTarget]) -> None:
        """Remove the targets that a peer reports as deleted, unless a later record is known."""
        for target in removed:
            known = self._targets.get(target.incarnation)
            if known is not None and known.version <= target.version:
                deletion = StoredObject(known.kind, known.name, target.version, deleted=True)
                self._on_target_changes((deletion,), source="peer")

    def handle_store_reachable(self) -> None:
        """Probe the store now, since a peer reaches it after no instance did."""
        reachable, self._store_reachable = self._store_reachable, Signal()
        reachable.send(None)

    def _follow_peers(self) -> None:
        """Fetch targets from peers while the store is unavailable."""
        while True:
            eventlet.sleep(_PEER_FETCH_SECONDS)
            # An instance that follows a relay keeps getting changes from it.
            is_cut_off = not self.availability.is_available and self.is_following_store()
            peer = self.peer_with_store() if is_cut_off else None
            known = self.fetch(peer) if peer is not None else None
            if known is not None and not self.availability.is_available:
                self._merge(known)

    def _probe_store(self) -> None:
        """Probe an unavailable store while this instance follows a peer.

        An instance that follows a peer makes no calls of its own. Without probes it would count the
        store as unavailable for good and never become a relay again: 57 of 87 instances did so
        after one outage. Until a peer reaches the store, the calls of the instances that follow
        the store are enough.
        """
        reachable = self._store_reachable
        while True:
            with eventlet.Timeout(_PROBE_INTERVAL_SECONDS * (1.0 + random.random() / 2), False):
                reachable.wait()
            # A notification that arrives during a failing probe causes one more probe.
            reachable = self._store_reachable
            is_following_peer = not self.is_following_store()
            if (
                not self.availability.is_available
                and is_following_peer
                and self.upstreams.is_store_likely_available()
            ):
                self.availability.report(self._is_store_reachable())

    def _is_store_reachable(self) -> bool:
        cache = self._configuration_follower.cache
        result = self.store.watch(
            [self.configuration_reader.kind], cache.revision or 0, PROBE_SECONDS
        )
        return isinstance(result, Success)

    def _fetch_from_peer(self, peer: HostPort) -> None:
        try:
            before = self.current_configuration.version
            if not self.is_following_store():
                eventlet.sleep(_RELAY_GRACE_SECONDS)
                if self.current_configuration.version != before:
                    return
            known = self.fetch(peer)
            if known is not None:
                log_event(
                    Event.KNOWLEDGE_FETCHED, peer=f"{peer[0]}:{peer[1]}", targets=len(known.targets)
                )
                self._merge(known)
            if self.current_configuration.version == before:
                self._read_configuration()
        finally:
            self._is_catching_up = False

    def _merge(self, known: SharedKnowledge) -> None:
        """Apply the objects of a peer, the targets before the routes that need them."""
        if not self._target_follower.has_listed or not self.availability.is_available:
            # A deletion that the store reported overrides the record of a peer.
            fresh = [stored for stored in known.targets if stored.name not in self._removed]
            self._on_target_changes(tuple(fresh), source="peer")
        if known.configuration is not None:
            self._apply_configuration((known.configuration,))

    def _read_configuration(self) -> None:
        """Read the configuration from the store."""
        reader = self.configuration_reader
        stored = self.store.get(reader.kind, reader.name)
        if isinstance(stored, Success):
            self._apply_configuration((stored.unwrap(),))
        else:
            eventlet.sleep(_READ_RETRY_SECONDS)

    def _apply_configuration(self, objects: tuple[StoredObject, ...]) -> None:
        for stored in objects:
            if stored.deleted or stored.name != self.configuration_reader.name:
                continue
            try:
                configuration = self.configuration_reader.read(stored)
                if self.current_configuration.update(configuration):
                    self._configuration = stored
                    self._log_ignored_fields(stored, configuration.ignored_fields)
            except InvalidObject as error:
                self.count_invalid(stored.kind)
                log_event(
                    Event.CONFIG_INVALID, object=stored.name, error=truncate_for_log(error.message)
                )

    def _log_ignored_fields(self, stored: StoredObject, ignored: tuple[str, ...]) -> None:
        """Log which fields of a configuration were ignored."""
        if ignored:
            self.count_invalid(stored.kind)
            log_event(
                Event.CONFIG_INVALID, object=stored.name, error=truncate_for_log("; ".join(ignored))
            )

    def _on_target_list(self, objects: tuple[StoredObject, ...], revision: int) -> None:
        now = steady()
        delays = self._reconciler.observe_list(revision, self._removed, now)
        for seconds in delays:
            eventlet.spawn_after(seconds, self._reapply_target_list)
        self._apply_target_list(self._reconciler.reconcile(objects, self._targets.values(), now))
        if delays:
            for callback in self.on_restored:
                callback(revision_era(revision))

    def _reapply_target_list(self) -> None:
        """Apply the latest list again, after the time allowed for rewriting lost entries."""
        snapshot = self._target_follower.cache.snapshot()
        if snapshot is not None:
            self._on_target_list(snapshot.objects, snapshot.revision)

    def _apply_target_list(self, objects: Collection[StoredObject]) -> None:
        """Replace the known targets by a complete list."""
        listed = {stored.name: stored for stored in objects}
        for name in self._targets.keys() - listed.keys():
            self._record_removed(self._targets[name])
        for name in listed:
            self._removed.pop(name, None)
        self._targets = listed
        records = [record for record in map(self._read_target, objects) if record is not None]
        for incarnation in self.registry.replace_all(records):
            self._log_leaving(incarnation, "list")

    def _on_target_changes(self, objects: tuple[StoredObject, ...], source: str = "watch") -> None:
        for stored in objects:
            if self._apply_target_change(stored):
                self._log_leaving(stored.name, source, stored.version)

    def _log_leaving(self, incarnation: str, source: str, version: int = 0) -> None:
        """Log that a target accepts no new requests, with the source and age of the information."""
        log_event(
            Event.TARGET_LEAVING,
            target=incarnation,
            source=source,
            version=format_revision(version),
            targets=self.targets_view(),
        )

    def _apply_target_change(self, stored: StoredObject) -> bool:
        if stored.deleted:
            self._targets.pop(stored.name, None)
            self._record_removed(stored)
            return self.registry.remove(stored.name)
        known = self._targets.get(stored.name)
        if known is not None and known.version > stored.version:
            # The peer is out of date. Relaying its record would spread the stale state.
            return False
        self._reconciler.deleted_names.discard(stored.name)
        self._targets[stored.name] = stored
        self._removed.pop(stored.name, None)
        record = self._read_target(stored)
        if record is None:
            # An entry that became unreadable does not describe a target any more.
            return self.registry.remove(stored.name)
        return self.registry.put(record)

    def _record_removed(self, stored: StoredObject) -> None:
        """Remember that the record of a target was deleted."""
        self._removed.pop(stored.name, None)
        self._removed[stored.name] = _RemovedRecord(stored.version, steady())
        while len(self._removed) > _MAX_REMOVED:
            self._removed.popitem(last=False)

    def _read_target(self, stored: StoredObject) -> TargetRecord | None:
        try:
            return self.target_reader.read(stored)
        except InvalidObject as error:
            self.count_invalid(stored.kind)
            log_event(
                Event.CONFIG_INVALID,
                object=truncate_for_log(stored.name),
                error=truncate_for_log(error.message),
            )
            return None
