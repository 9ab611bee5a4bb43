"""What this instance knows of data halls that the operator has emptied."""

from collections.abc import Callable

from whinrack.dispatch import HallWord, TargetRegistry
from whinrack.edge._contact import StoreContact
from whinrack.edge._readers import HallReader, shown
from whinrack.edge._relay import KindRelay
from whinrack.edge._sources import KindFollower, SourcePlan
from whinrack.exceptions import InvalidObject
from whinrack.observability import Event, log_event
from whinrack.store import StoredObject

__all__ = ["HallKnowledge"]

# How long a watch for emptied halls is held, at the store and at a feeding peer. Halls are emptied
# seldom, heartbeats tell of it as well, and a watch that is held for 1 s makes three times the
# calls.
_WATCH_SECONDS = 3.0


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

    def learn(self, words: list[HallWord], source: str) -> None:
        """Take in words on halls, from the store or a peer."""
        news = [word for word in words if self.registry.learn_of_hall(word)]
        for word in news:
            log_event(
                Event.HALL_EMPTIED if word.emptied else Event.HALL_BACK,
                hall=shown(word.hall),
                version=word.version,
                source=source,
                age=self.relay.age(),
            )
        if news:
            self.spread()

    def _replace(self, objects: tuple[StoredObject, ...], revision: int) -> None:
        listed = {stored.name for stored in objects if not stored.deleted}
        released = self.registry.halls.not_listed(listed, revision)
        self.learn([*self._words(objects), *released], "list")

    def _change(self, objects: tuple[StoredObject, ...]) -> None:
        self.learn(self._words(objects), self.follower.source)

    def _words(self, objects: tuple[StoredObject, ...]) -> list[HallWord]:
        words = [self._word(stored) for stored in objects]
        return [word for word in words if word is not None]

    def _word(self, stored: StoredObject) -> HallWord | None:
        """Read one entry; one that can't be read says nothing, and the word before it stays."""
        if stored.deleted:
            return HallWord(stored.name, stored.version, emptied=False)
        try:
            return HallWord(self.reader.read(stored), stored.version, emptied=True)
        except InvalidObject as error:
            self.count_invalid(stored.kind)
            log_event(Event.CONFIG_INVALID, object=shown(stored.name), error=shown(error.message))
            return None
