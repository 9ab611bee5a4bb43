"""What this instance knows of data halls that the operator has emptied."""

from collections.abc import Callable

import eventlet

from whinrack.dispatch import HallStatus, TargetRegistry
from whinrack.edge._kind_follower import KindFollower, SourcePlan
from whinrack.edge._readers import HallReader, shown
from whinrack.edge._relay import KindRelay
from whinrack.edge._store_availability import StoreContact
from whinrack.exceptions import InvalidObject
from whinrack.observability import Event, log_event
from whinrack.store import StoredObject, format_revision, revision_era

__all__ = ["HallKnowledge"]

# How long a watch for emptied halls is held, at the store and at a feeding peer. Halls are emptied
# seldom, heartbeats tell of it as well, and a watch that is held for 1 s makes three times the
# calls.
_WATCH_SECONDS = 3.0
# What an operator wrote on halls and the store lost is written again within so long.
_REWRITTEN_SECONDS = 5.0


class HallKnowledge:
    """Keeps the registry's words on data halls up to date from the store and the peers.

    Parameters
    ----------
    reader : HallReader
    registry : TargetRegistry
    plan : SourcePlan
        Says whom to ask for lists and watches.
    contact : StoreContact
    relay : KindRelay
        Told what was followed.
    spread : callable
        Called with each change, to tell the peers at once.
    count_invalid : callable, optional
        Told the kind of each object that can't be used.
    """

    def __init__(
        self,
        reader: HallReader,
        registry: TargetRegistry,
        plan: SourcePlan,
        contact: StoreContact,
        relay: KindRelay,
        spread: Callable[[], None],
        count_invalid: Callable[[str], None] = lambda kind: None,
    ):
        self.reader = reader
        self.registry = registry
        self.relay = relay
        self.spread = spread
        self.count_invalid = count_invalid
        self._era: int | None = None
        # Words of an earlier era hold in spite of the lists of this one.
        self._unsettled_era: int | None = None
        self.follower = KindFollower(
            plan,
            reader.kind,
            self._replace,
            self._change,
            contact,
            _WATCH_SECONDS,
            probes=False,
            relay=relay,
            fed_watch_seconds=_WATCH_SECONDS,
        )

    def learn(self, words: list[HallStatus], source: str) -> None:
        """Take in words on halls, from the store or a peer."""
        news = [word for word in words if self.registry.update_hall(word)]
        for word in news:
            log_event(
                Event.HALL_EMPTIED if word.is_emptied else Event.HALL_BACK,
                hall=shown(word.hall),
                version=format_revision(word.version),
                source=source,
                age=self.relay.age(),
            )
        if news:
            self.spread()

    def _replace(self, objects: tuple[StoredObject, ...], revision: int) -> None:
        if self._era is not None and revision_era(revision) > self._era:
            eventlet.spawn_after(_REWRITTEN_SECONDS, self._release_unlisted, revision_era(revision))
            self._unsettled_era = revision_era(revision)
        self._era = revision_era(revision)
        listed = {stored.name for stored in objects if not stored.deleted}
        released = [
            word
            for word in self.registry.emptied_halls.released_by_list(listed, revision)
            if revision_era(word.version) >= self._era or self._unsettled_era != self._era
        ]
        self.learn([*self._words(objects), *released], "list")

    def _release_unlisted(self, era: int) -> None:
        """Believe the store alone, once what it lost has had time to be written again."""
        if era != self._unsettled_era:
            # It came back once more meanwhile.
            return
        self._unsettled_era = None
        snapshot = self.relay.snapshot()
        if snapshot is not None:
            listed = {stored.name for stored in snapshot.objects}
            released = self.registry.emptied_halls.released_by_list(listed, snapshot.revision)
            self.learn(released, "restored store")

    def _change(self, objects: tuple[StoredObject, ...]) -> None:
        self.learn(self._words(objects), self.follower.source)

    def _words(self, objects: tuple[StoredObject, ...]) -> list[HallStatus]:
        words = [self._word(stored) for stored in objects]
        return [word for word in words if word is not None]

    def _word(self, stored: StoredObject) -> HallStatus | None:
        """Read one entry; one that can't be read says nothing, and the word before it stays."""
        if stored.deleted:
            return HallStatus(stored.name, stored.version, is_emptied=False)
        try:
            return HallStatus(self.reader.read(stored), stored.version, is_emptied=True)
        except InvalidObject as error:
            self.count_invalid(stored.kind)
            log_event(Event.CONFIG_INVALID, object=shown(stored.name), error=shown(error.message))
            return None
