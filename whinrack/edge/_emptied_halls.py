"""What this instance knows of data halls that the operator has emptied."""

from collections.abc import Callable

import eventlet

from whinrack.dispatch import HallStatus, TargetRegistry
from whinrack.edge._kind_follower import KindFollower, UpstreamSelector
from whinrack.edge._readers import HallReader, truncate_for_log
from whinrack.edge._relay import WatchCache
from whinrack.edge._store_availability import StoreAvailability
from whinrack.exceptions import InvalidObject
from whinrack.observability import Event, log_event
from whinrack.store import StoredObject, format_revision, revision_era

__all__ = ["HallKnowledge"]

# How long a watch for emptied halls is held, at the store and at a feeding peer. Halls are emptied
# seldom, heartbeats tell of it as well, and a watch that is held for 1 s makes three times the
# calls.
_WATCH_SECONDS = 3.0
# What an operator wrote on halls and the store lost is written again within so long.
_RESTORE_GRACE_SECONDS = 5.0


class HallKnowledge:
    """Keeps the registry's words on data halls up to date from the store and the peers.

    Parameters
    ----------
    reader : HallReader
    registry : TargetRegistry
    upstreams : SourcePlan
        Says whom to ask for lists and watches.
    availability : StoreContact
    cache : KindRelay
        Told what was followed.
    notify_peers : callable
        Called with each change, to tell the peers at once.
    count_invalid : callable, optional
        Told the kind of each object that can't be used.
    """

    def __init__(
        self,
        reader: HallReader,
        registry: TargetRegistry,
        upstreams: UpstreamSelector,
        availability: StoreAvailability,
        cache: WatchCache,
        notify_peers: Callable[[], None],
        count_invalid: Callable[[str], None] = lambda kind: None,
    ):
        self.reader = reader
        self.registry = registry
        self.cache = cache
        self.notify_peers = notify_peers
        self.count_invalid = count_invalid
        self._era: int | None = None
        # Words of an earlier era hold in spite of the lists of this one.
        self._recovering_era: int | None = None
        self.follower = KindFollower(
            upstreams,
            reader.kind,
            self._apply_list,
            self._apply_changes,
            availability,
            _WATCH_SECONDS,
            probes_store=False,
            cache=cache,
            peer_watch_seconds=_WATCH_SECONDS,
        )

    def merge(self, statuses: list[HallStatus], source: str) -> None:
        """Take in words on halls, from the store or a peer."""
        changed = [status for status in statuses if self.registry.update_hall(status)]
        for status in changed:
            log_event(
                Event.HALL_EMPTIED if status.is_emptied else Event.HALL_BACK,
                hall=truncate_for_log(status.hall),
                version=format_revision(status.version),
                source=source,
                age=self.cache.age(),
            )
        if changed:
            self.notify_peers()

    def _apply_list(self, objects: tuple[StoredObject, ...], revision: int) -> None:
        if self._era is not None and revision_era(revision) > self._era:
            eventlet.spawn_after(
                _RESTORE_GRACE_SECONDS, self._release_unlisted, revision_era(revision)
            )
            self._recovering_era = revision_era(revision)
        self._era = revision_era(revision)
        listed = {stored.name for stored in objects if not stored.deleted}
        released = [
            status
            for status in self.registry.emptied_halls.released_by_list(listed, revision)
            if revision_era(status.version) >= self._era or self._recovering_era != self._era
        ]
        self.merge([*self._parse_all(objects), *released], "list")

    def _release_unlisted(self, era: int) -> None:
        """Believe the store alone, once what it lost has had time to be written again."""
        if era != self._recovering_era:
            # It came back once more meanwhile.
            return
        self._recovering_era = None
        snapshot = self.cache.snapshot()
        if snapshot is not None:
            listed = {stored.name for stored in snapshot.objects}
            released = self.registry.emptied_halls.released_by_list(listed, snapshot.revision)
            self.merge(released, "restored store")

    def _apply_changes(self, objects: tuple[StoredObject, ...]) -> None:
        self.merge(self._parse_all(objects), self.follower.upstream_name)

    def _parse_all(self, objects: tuple[StoredObject, ...]) -> list[HallStatus]:
        statuses = [self._parse(stored) for stored in objects]
        return [status for status in statuses if status is not None]

    def _parse(self, stored: StoredObject) -> HallStatus | None:
        """Read one entry; one that can't be read says nothing, and the word before it stays."""
        if stored.deleted:
            return HallStatus(stored.name, stored.version, is_emptied=False)
        try:
            return HallStatus(self.reader.read(stored), stored.version, is_emptied=True)
        except InvalidObject as error:
            self.count_invalid(stored.kind)
            log_event(
                Event.CONFIG_INVALID,
                object=truncate_for_log(stored.name),
                error=truncate_for_log(error.message),
            )
            return None
