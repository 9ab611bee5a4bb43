"""What is learnt from peers, and what the store's word goes before."""

import contextlib

import eventlet
import msgspec
import pytest
from returns.result import Failure

from standins.memory_store import MemoryStore
from whinrack.dispatch import Configuration, CurrentConfiguration, TargetRecord, TargetRegistry
from whinrack.edge._kind_follower import FollowedSource, SourcePlan
from whinrack.edge._knowledge import StoreKnowledge
from whinrack.edge._knowledge_exchange import KnowledgeServer, SharedKnowledge, fetch_knowledge
from whinrack.edge._readers import ConfigurationReader, TargetReader
from whinrack.edge._store_availability import StoreContact
from whinrack.exceptions import PlatformUnavailable
from whinrack.gossip import RemovedTarget
from whinrack.http1 import ServerLimits
from whinrack.store import StoredObject, compose_revision

PEER = ("peer", 1)


class Configurations(ConfigurationReader):
    kind, name = "config", "main"

    def read(self, stored):
        return Configuration(msgspec.json.decode(stored.value), (), (), (), ServerLimits())


class Targets(TargetReader):
    kind = "target"

    def read(self, stored):
        leaving = msgspec.json.decode(stored.value) == "leaving"
        return TargetRecord(stored.name, "pool", "host", 1, is_leaving=leaving)


class DownStore(MemoryStore):
    def get(self, kind, name):
        return Failure(PlatformUnavailable("down"))


def stored(kind, name, value, version=1):
    return StoredObject(kind, name, version, msgspec.Raw(msgspec.json.encode(value)))


def told(version=None, *targets):
    configuration = None if version is None else stored("config", "main", version)
    return SharedKnowledge(configuration, tuple(stored("target", t, "ready") for t in targets))


class World:
    """One instance's knowledge, and what its peer answers."""

    def __init__(self, store, plan=None):
        self.answer = None
        self.directory = CurrentConfiguration(lambda configuration: None)
        self.registry = TargetRegistry()
        self.contact = StoreContact(lambda answers: None)
        self.knowledge = StoreKnowledge(
            store,
            self.contact,
            Configurations(),
            Targets(),
            self.directory,
            self.registry,
            plan or SourcePlan(store),
            watch_seconds=0.01,
            peer_with_store=lambda: PEER,
            fetch=lambda address: self.answer,
        )

    def hear(self, answer):
        self.answer = answer
        self.knowledge._catch_up(PEER)

    def targets(self):
        return {state.record.incarnation for state in self.registry.targets_in_pool("pool")}


@pytest.fixture
def world(monkeypatch):
    monkeypatch.setattr("whinrack.edge._knowledge._FAILED_READ_PAUSE", 0.0)
    return World(DownStore())


def test_an_instance_that_starts_without_the_store_learns_from_a_peer(world):
    world.hear(told(7, "t1", "t2"))
    assert world.directory.version == 7
    assert world.targets() == {"t1", "t2"}


def test_an_older_configuration_of_a_peer_changes_nothing(world):
    world.hear(told(7))
    world.hear(told(6))
    assert world.directory.version == 7


def test_without_an_answer_of_the_peer_the_store_is_read():
    store = MemoryStore()
    store.put("config", "main", b"9", 0)
    world = World(store)
    world.hear(None)
    assert world.directory.version == 9


def test_targets_of_a_peer_do_not_replace_what_the_store_lists():
    store = MemoryStore()
    store.put("target", "t1", b'"ready"', 0)
    world = World(store)
    world.knowledge._target_list.step()
    world.hear(told(7, "t1", "t2"))
    assert world.targets() == {"t1"}


def test_while_the_store_is_away_new_targets_are_learnt_and_gone_ones_stay_gone():
    store = MemoryStore()
    for name in ("t1", "t2"):
        store.put("target", name, b'"ready"', 0)
    world = World(store)
    world.knowledge._target_list.step()
    world.knowledge._change_targets((StoredObject("target", "t2", 9, deleted=True),))
    world.contact.report(False)
    world.hear(told(7, "t1", "t2", "t3"))
    assert world.targets() == {"t1", "t3"}


def test_knowledge_is_passed_on_as_it_was_learnt(world):
    world.hear(told(7, "t1"))
    server = KnowledgeServer(("127.0.0.1", 0), world.knowledge.shared)
    server.start()
    fetched = fetch_knowledge(server.address)
    assert fetched.configuration.value == msgspec.Raw(b"7")
    assert [target.name for target in fetched.targets] == ["t1"]


def test_a_peer_that_does_not_listen_tells_nothing():
    server = KnowledgeServer(("127.0.0.1", 0), SharedKnowledge)
    server.start()
    server.stop()
    assert fetch_knowledge(server.address) is None


def known_world(*names):
    """An instance that has listed some targets, at versions 1, 2 and so on."""
    store = MemoryStore()
    for name in names:
        store.put("target", name, b'"ready"', 0)
    world = World(store)
    world.knowledge._target_list.step()
    return world


def test_what_a_peer_knows_to_be_gone_takes_no_work_here():
    world = known_world("t1", "t2")
    world.knowledge.learn_gone([RemovedTarget("t2", 2), RemovedTarget("unknown", 9)])
    assert world.targets() == {"t1"}


def test_a_target_whose_record_is_back_is_not_gone():
    world = known_world("t1")
    world.knowledge.learn_gone([RemovedTarget("t1", 0)])
    assert world.targets() == {"t1"}


def test_peers_are_told_for_a_while_what_has_gone(monkeypatch):
    world, now = known_world("t1", "t2"), [100.0]
    monkeypatch.setattr("whinrack.edge._knowledge.steady", lambda: now[0])
    world.knowledge._change_targets((StoredObject("target", "t2", 7, deleted=True),))
    assert world.knowledge.gone_lately() == [RemovedTarget("t2", 7)]
    now[0] += 5.0
    assert world.knowledge.gone_lately() == []


class Peer(MemoryStore):
    """A peer that has no news."""

    def watch(self, kinds, since, wait):
        eventlet.sleep(wait)
        return super().watch(kinds, since, wait)


@contextlib.contextmanager
def running(world):
    """Run the loops of an instance meanwhile."""
    tasks = [eventlet.spawn(task) for task in world.knowledge.tasks()]
    yield
    for task in tasks:
        task.kill()


class FedPlan(SourcePlan):
    """A plan that always sends to a peer."""

    def source(self):
        return FollowedSource(Peer(), PEER)


def test_an_instance_that_lost_the_store_asks_it_again_though_peers_feed_it():
    """Otherwise it counts it as lost for good, and nobody is left that asks it."""
    store = MemoryStore()
    world = World(store, FedPlan(store))
    world.contact.report(False)
    with running(world):
        world.contact.wait(3.0)
    assert world.contact.answers


def test_a_lost_store_is_asked_at_once_when_peers_hear_from_it_again():
    store = MemoryStore()
    world = World(store, FedPlan(store))
    world.contact.report(False)
    with running(world):
        eventlet.sleep(0.05)
        world.knowledge.hear_of_store()
        world.contact.wait(0.4)
    assert world.contact.answers


class OnceSilentStore(MemoryStore):
    """Doesn't answer the first question."""

    def __init__(self):
        super().__init__()
        self.asked = 0

    def watch(self, kinds, since, wait):
        self.asked += 1
        if self.asked > 1:
            return super().watch(kinds, since, wait)
        eventlet.sleep(0.2)
        return Failure(PlatformUnavailable("silent"))


def test_word_of_the_store_that_comes_while_it_is_asked_in_vain_is_not_lost():
    store = OnceSilentStore()
    world = World(store, FedPlan(store))
    world.contact.report(False)
    with running(world):
        eventlet.sleep(0.02)
        for _ in range(2):
            world.knowledge.hear_of_store()
            eventlet.sleep(0.05)
        world.contact.wait(0.5)
    assert world.contact.answers


def test_an_older_record_of_a_peer_is_neither_taken_nor_passed_on():
    world = known_world("t1")
    world.knowledge._change_targets((stored("target", "t1", "leaving", version=5),))
    world.contact.report(False)
    world.hear(told(7, "t1"))
    (passed_on,) = world.knowledge.shared().targets
    assert (passed_on.version, bytes(passed_on.value)) == (5, b'"leaving"')


def test_a_configuration_with_fields_that_are_left_out_is_taken_and_counted(world, monkeypatch):
    read = Configurations.read

    def with_ignored(reader, stored):
        configuration = read(reader, stored)
        configuration.ignored_fields = ("app: cold_per_s: allowed is 0 to 9",)
        return configuration

    invalid = []
    monkeypatch.setattr(Configurations, "read", with_ignored)
    monkeypatch.setattr(world.knowledge, "count_invalid", invalid.append)
    world.hear(told(7))
    assert (world.directory.version, invalid) == (7, ["config"])


def entries(era, *names):
    return tuple(stored("target", n, "ready", compose_revision(era, 3)) for n in names)


def listed(world, era, *names):
    revision = compose_revision(era, 9)
    world.knowledge._target_list.relay.listed(revision, entries(era, *names))
    world.knowledge._replace_targets(entries(era, *names), revision)


@pytest.fixture
def clock(monkeypatch):
    now = [100.0]
    monkeypatch.setattr("whinrack.edge._knowledge.steady", lambda: now[0])
    return now


def test_a_target_that_the_copy_lacks_is_in_use_until_it_has_had_time_to_be_written(world, clock):
    listed(world, 1, "old", "young")
    listed(world, 2, "old")
    assert world.targets() == {"old", "young"}
    clock[0] += 2.7
    world.knowledge._look_again()
    assert world.targets() == {"old"}


def test_a_target_that_had_gone_was_in_use_again_with_the_copy(world, clock):
    listed(world, 1, "old", "ended")
    listed(world, 1, "old")
    listed(world, 2, "old", "ended")
    assert world.targets() == {"old"}
    clock[0] += 2.7
    world.knowledge._look_again()
    assert world.targets() == {"old"}
    clock[0] += 2.5
    world.knowledge._look_again()
    assert world.targets() == {"old", "ended"}


def test_a_target_that_had_gone_and_is_written_again_is_in_use(world, clock):
    listed(world, 1, "back")
    listed(world, 1)
    listed(world, 2, "back")
    again = stored("target", "back", "ready", compose_revision(2, 10))
    world.knowledge._change_targets((again,))
    assert world.targets() == {"back"}


def test_a_peer_that_is_in_an_earlier_era_takes_nothing_back(world):
    listed(world, 2, "t")
    late = stored("target", "t", "leaving", compose_revision(1, 99))
    world.knowledge._change_targets((late,), "peer")
    world.knowledge.learn_gone([RemovedTarget("t", compose_revision(1, 99))])
    assert world.targets() == {"t"}
    assert not world.registry.leaving_records()
