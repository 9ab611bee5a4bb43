"""Tracking of data halls that the operator has emptied."""

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

# How long a watch for emptied halls is held, at the store and at a relay. Halls are rarely emptied
# and heartbeats carry the information too, while watches of 1 s would make three times the calls.
_WATCH_SECONDS = 3.0
# After a restore of the store, time allowed for writing lost entries of halls again.
_RESTORE_GRACE_SECONDS = 5.0


class HallKnowledge:
    """Keeps the registry's emptied data halls up to date from the store and the peers.

    Parameters
    ----------
    reader : HallReader
    registry : TargetRegistry
    upstreams : UpstreamSelector
        Selects the upstream for lists and watches.
    availability : StoreAvailability
    cache : WatchCache
        Receives the followed objects.
    notify_peers : callable
        Called after each change, to notify the peers at once.
    count_invalid : callable, optional
        Called with the kind of each object that cannot be read.
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
        # Era in which lists do not yet override statements of earlier eras.
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
        """Apply statements on halls from the store or a peer, and notify the peers of changes."""
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
        """Release halls that the restored store does not list, after the grace period."""
        if era != self._recovering_era:
            # The store has been restored again in the meantime.
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
        """Read one entry; None if it is unreadable, which keeps the previous statement."""
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
