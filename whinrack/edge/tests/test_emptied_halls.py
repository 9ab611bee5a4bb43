"""Statements on emptied data halls from the store and from peers."""

import msgspec

from standins.memory_store import MemoryStore
from whinrack.dispatch import HallStatus, TargetRegistry
from whinrack.edge import HallReader
from whinrack.edge._emptied_halls import HallKnowledge
from whinrack.edge._kind_follower import UpstreamSelector
from whinrack.edge._relay import WatchCache
from whinrack.edge._store_availability import StoreAvailability
from whinrack.exceptions import InvalidObject
from whinrack.store import Snapshot, StoredObject, compose_revision


class Halls(HallReader):
    kind = "emptied"

    def read(self, stored):
        if msgspec.json.decode(stored.value) != {}:
            raise InvalidObject("no entry")
        return stored.name


class Harness:
    """Hall knowledge of one instance."""

    def __init__(self, store=None):
        self.store = store or MemoryStore()
        self.registry = TargetRegistry(seed=1)
        self.notifications = 0
        self.invalid = []
        self.relay = WatchCache()
        self.knowledge = HallKnowledge(
            Halls(),
            self.registry,
            UpstreamSelector(self.store),
            StoreAvailability(lambda is_available: None),
            self.relay,
            self._notify_peers,
            self.invalid.append,
        )

    def _notify_peers(self):
        self.notifications += 1

    def emptied(self):
        return self.registry.emptied_halls.names

    def apply_changes(self, *objects):
        self.knowledge._apply_changes(objects)


def entry(name, version, value=b"{}", deleted=False):
    return StoredObject("emptied", name, version, value, deleted=deleted)


def test_halls_are_read_from_lists_and_changes():
    harness = Harness()
    harness.store.put("emptied", "z", b"{}", 0)
    assert harness.knowledge.follower.poll()
    assert harness.emptied() == {"z"}
    harness.apply_changes(entry("y", 9), entry("z", 9, deleted=True))
    assert harness.emptied() == {"y"}


def test_a_stale_list_does_not_restore_a_hall():
    harness = Harness()
    harness.knowledge.merge([HallStatus("z", 9, True)], "peer")
    harness.knowledge._apply_list((), 8)
    assert harness.emptied() == {"z"}
    harness.knowledge._apply_list((), 9)
    assert harness.emptied() == set()


def test_a_hall_stays_emptied_after_a_store_restore_that_lost_its_entry():
    harness = Harness()
    harness.knowledge._apply_list((entry("z", 9),), 9)
    harness.knowledge._apply_list((), compose_revision(1, 3))
    assert harness.emptied() == {"z"}
    harness.relay.replace(compose_revision(1, 3), ())
    harness.knowledge._release_unlisted(1)
    assert harness.emptied() == set()


def test_an_unreadable_entry_keeps_the_last_valid_state():
    harness = Harness()
    harness.apply_changes(entry("z", 2))
    harness.apply_changes(entry("z", 3, b'"junk"'), entry("y", 3, b"[]"))
    assert harness.emptied() == {"z"}
    harness.knowledge._apply_list((entry("z", 3, b'"junk"'),), 5)
    assert harness.emptied() == {"z"}
    assert harness.invalid == ["emptied"] * 3


def test_a_repaired_entry_takes_effect():
    harness = Harness()
    harness.apply_changes(entry("z", 2, b"[]"))
    harness.apply_changes(entry("z", 3))
    assert harness.emptied() == {"z"}


def test_a_peers_statement_is_applied_and_forwarded_once():
    harness = Harness()
    statuses = [HallStatus("z", 4, True), HallStatus("y", 5, False)]
    harness.knowledge.merge(statuses, "peer")
    harness.knowledge.merge(statuses, "another")
    assert (harness.emptied(), harness.notifications) == ({"z"}, 1)


def test_a_list_overrides_earlier_statements_of_peers():
    class ListOnlyStore(MemoryStore):
        def list(self, kinds):
            found = super().list(kinds).unwrap()
            return super().list(kinds).map(lambda _: Snapshot(7, found.objects))

    harness = Harness(ListOnlyStore())
    harness.knowledge.merge([HallStatus("z", 6, True)], "peer")
    assert harness.knowledge.follower.poll()
    assert harness.emptied() == set()
