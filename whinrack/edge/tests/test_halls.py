"""How words on emptied data halls reach an instance, and what it makes of them."""

import msgspec

from standins.memory_store import MemoryStore
from whinrack.dispatch import HallStatus, TargetRegistry
from whinrack.edge import HallReader
from whinrack.edge._emptied_halls import HallKnowledge
from whinrack.edge._kind_follower import SourcePlan
from whinrack.edge._relay import KindRelay
from whinrack.edge._store_availability import StoreContact
from whinrack.exceptions import InvalidObject
from whinrack.store import Snapshot, StoredObject, compose_revision


class Halls(HallReader):
    kind = "emptied"

    def read(self, stored):
        if msgspec.json.decode(stored.value) != {}:
            raise InvalidObject("no entry")
        return stored.name


class World:
    """One instance's knowledge of halls."""

    def __init__(self, store=None):
        self.store = store or MemoryStore()
        self.registry = TargetRegistry(seed=1)
        self.spreads = 0
        self.invalid = []
        self.relay = KindRelay()
        self.knowledge = HallKnowledge(
            Halls(),
            self.registry,
            SourcePlan(self.store),
            StoreContact(lambda answers: None),
            self.relay,
            self._spread,
            self.invalid.append,
        )

    def _spread(self):
        self.spreads += 1

    def emptied(self):
        return self.registry.emptied_halls.names

    def changes(self, *objects):
        self.knowledge._change(objects)


def entry(name, version, value=b"{}", deleted=False):
    return StoredObject("emptied", name, version, value, deleted=deleted)


def test_halls_come_from_the_list_and_from_changes():
    world = World()
    world.store.put("emptied", "z", b"{}", 0)
    assert world.knowledge.follower.step()
    assert world.emptied() == {"z"}
    world.changes(entry("y", 9), entry("z", 9, deleted=True))
    assert world.emptied() == {"y"}


def test_a_list_of_a_feeder_that_is_behind_takes_nothing_back():
    world = World()
    world.knowledge.learn([HallStatus("z", 9, True)], "peer")
    world.knowledge._replace((), 8)
    assert world.emptied() == {"z"}
    world.knowledge._replace((), 9)
    assert world.emptied() == set()


def test_an_emptied_hall_was_in_use_after_the_store_came_back_without_its_entry():
    world = World()
    world.knowledge._replace((entry("z", 9),), 9)
    world.knowledge._replace((), compose_revision(1, 3))
    assert world.emptied() == {"z"}
    world.relay.listed(compose_revision(1, 3), ())
    world.knowledge._release_unlisted(1)
    assert world.emptied() == set()


def test_a_value_that_cannot_be_read_leaves_the_last_good_word():
    world = World()
    world.changes(entry("z", 2))
    world.changes(entry("z", 3, b'"junk"'), entry("y", 3, b"[]"))
    assert world.emptied() == {"z"}
    world.knowledge._replace((entry("z", 3, b'"junk"'),), 5)
    assert world.emptied() == {"z"}
    assert world.invalid == ["emptied"] * 3


def test_an_entry_that_is_good_again_counts():
    world = World()
    world.changes(entry("z", 2, b"[]"))
    world.changes(entry("z", 3))
    assert world.emptied() == {"z"}


def test_a_peers_word_counts_and_is_passed_on_once():
    world = World()
    words = [HallStatus("z", 4, True), HallStatus("y", 5, False)]
    world.knowledge.learn(words, "peer")
    world.knowledge.learn(words, "another")
    assert (world.emptied(), world.spreads) == ({"z"}, 1)


def test_lost_history_means_a_new_list():
    class Forgetful(MemoryStore):
        def list(self, kinds):
            found = super().list(kinds).unwrap()
            return super().list(kinds).map(lambda _: Snapshot(7, found.objects))

    world = World(Forgetful())
    world.knowledge.learn([HallStatus("z", 6, True)], "peer")
    assert world.knowledge.follower.step()
    assert world.emptied() == set()
