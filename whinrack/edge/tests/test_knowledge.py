"""Knowledge from the store and from peers, and which of them takes precedence."""

import contextlib

import eventlet
import msgspec
import pytest
from returns.result import Failure

from standins.memory_store import MemoryStore
from whinrack.dispatch import Configuration, CurrentConfiguration, TargetRecord, TargetRegistry
from whinrack.edge._kind_follower import Upstream, UpstreamSelector
from whinrack.edge._knowledge import StoreKnowledge
from whinrack.edge._knowledge_exchange import KnowledgeServer, SharedKnowledge, fetch_knowledge
from whinrack.edge._readers import ConfigurationReader, TargetReader
from whinrack.edge._store_availability import StoreAvailability
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


def knowledge_of(version=None, *targets):
    configuration = None if version is None else stored("config", "main", version)
    return SharedKnowledge(configuration, tuple(stored("target", t, "ready") for t in targets))


class Harness:
    """Knowledge of one instance, and the answer of its peer."""

    def __init__(self, store, upstreams=None):
        self.answer = None
        self.current_configuration = CurrentConfiguration(lambda configuration: None)
        self.registry = TargetRegistry()
        self.availability = StoreAvailability(lambda is_available: None)
        self.knowledge = StoreKnowledge(
            store,
            self.availability,
            Configurations(),
            Targets(),
            self.current_configuration,
            self.registry,
            upstreams or UpstreamSelector(store),
            watch_seconds=0.01,
            peer_with_store=lambda: PEER,
            fetch=lambda address: self.answer,
        )

    def fetch_from_peer(self, answer):
        self.answer = answer
        self.knowledge._fetch_from_peer(PEER)

    def targets(self):
        return {state.record.incarnation for state in self.registry.targets_in_pool("pool")}


@pytest.fixture
def harness(monkeypatch):
    monkeypatch.setattr("whinrack.edge._knowledge._READ_RETRY_SECONDS", 0.0)
    return Harness(DownStore())


def test_an_instance_that_starts_without_the_store_fetches_from_a_peer(harness):
    harness.fetch_from_peer(knowledge_of(7, "t1", "t2"))
    assert harness.current_configuration.version == 7
    assert harness.targets() == {"t1", "t2"}


def test_an_older_configuration_of_a_peer_changes_nothing(harness):
    harness.fetch_from_peer(knowledge_of(7))
    harness.fetch_from_peer(knowledge_of(6))
    assert harness.current_configuration.version == 7


def test_the_store_is_read_when_the_peer_does_not_answer():
    store = MemoryStore()
    store.put("config", "main", b"9", 0)
    harness = Harness(store)
    harness.fetch_from_peer(None)
    assert harness.current_configuration.version == 9


def test_targets_of_a_peer_do_not_replace_what_the_store_lists():
    store = MemoryStore()
    store.put("target", "t1", b'"ready"', 0)
    harness = Harness(store)
    harness.knowledge._target_follower.poll()
    harness.fetch_from_peer(knowledge_of(7, "t1", "t2"))
    assert harness.targets() == {"t1"}


def test_peers_add_targets_but_do_not_restore_deleted_ones_during_an_outage():
    store = MemoryStore()
    for name in ("t1", "t2"):
        store.put("target", name, b'"ready"', 0)
    harness = Harness(store)
    harness.knowledge._target_follower.poll()
    harness.knowledge._on_target_changes((StoredObject("target", "t2", 9, deleted=True),))
    harness.availability.report(False)
    harness.fetch_from_peer(knowledge_of(7, "t1", "t2", "t3"))
    assert harness.targets() == {"t1", "t3"}


def test_knowledge_is_served_unchanged(harness):
    harness.fetch_from_peer(knowledge_of(7, "t1"))
    server = KnowledgeServer(("127.0.0.1", 0), harness.knowledge.shared_knowledge)
    server.start()
    fetched = fetch_knowledge(server.address)
    assert fetched.configuration.value == msgspec.Raw(b"7")
    assert [target.name for target in fetched.targets] == ["t1"]


def test_fetching_from_a_stopped_peer_returns_none():
    server = KnowledgeServer(("127.0.0.1", 0), SharedKnowledge)
    server.start()
    server.stop()
    assert fetch_knowledge(server.address) is None


def harness_with(*names):
    """Return an instance that has listed some targets, at versions 1, 2 and so on."""
    store = MemoryStore()
    for name in names:
        store.put("target", name, b'"ready"', 0)
    harness = Harness(store)
    harness.knowledge._target_follower.poll()
    return harness


def test_a_target_that_a_peer_reports_gone_is_removed():
    harness = harness_with("t1", "t2")
    harness.knowledge.merge_removed([RemovedTarget("t2", 2), RemovedTarget("unknown", 9)])
    assert harness.targets() == {"t1"}


def test_an_older_report_does_not_remove_a_newer_record():
    harness = harness_with("t1")
    harness.knowledge.merge_removed([RemovedTarget("t1", 0)])
    assert harness.targets() == {"t1"}


def test_gone_targets_are_advertised_for_a_limited_time(monkeypatch):
    harness, now = harness_with("t1", "t2"), [100.0]
    monkeypatch.setattr("whinrack.edge._knowledge.steady", lambda: now[0])
    harness.knowledge._on_target_changes((StoredObject("target", "t2", 7, deleted=True),))
    assert harness.knowledge.recently_removed() == [RemovedTarget("t2", 7)]
    now[0] += 5.0
    assert harness.knowledge.recently_removed() == []


class QuietPeer(MemoryStore):
    """A peer that has no changes."""

    def watch(self, kinds, since, wait):
        eventlet.sleep(wait)
        return super().watch(kinds, since, wait)


@contextlib.contextmanager
def running(harness):
    """Run the background tasks of an instance."""
    tasks = [eventlet.spawn(task) for task in harness.knowledge.tasks()]
    yield
    for task in tasks:
        task.kill()


class PeerSelector(UpstreamSelector):
    """Always selects a peer."""

    def select(self):
        return Upstream(QuietPeer(), PEER)


def test_an_instance_that_follows_a_peer_still_probes_an_unavailable_store():
    """Otherwise it counts the store as unavailable for good, and finally no instance calls it."""
    store = MemoryStore()
    harness = Harness(store, PeerSelector(store))
    harness.availability.report(False)
    with running(harness):
        harness.availability.wait_until_available(3.0)
    assert harness.availability.is_available


def test_the_store_is_probed_at_once_when_a_peer_reaches_it_again():
    store = MemoryStore()
    harness = Harness(store, PeerSelector(store))
    harness.availability.report(False)
    with running(harness):
        eventlet.sleep(0.05)
        harness.knowledge.handle_store_reachable()
        harness.availability.wait_until_available(0.4)
    assert harness.availability.is_available


class FirstCallFailingStore(MemoryStore):
    """Does not answer the first call."""

    def __init__(self):
        super().__init__()
        self.watch_calls = 0

    def watch(self, kinds, since, wait):
        self.watch_calls += 1
        if self.watch_calls > 1:
            return super().watch(kinds, since, wait)
        eventlet.sleep(0.2)
        return Failure(PlatformUnavailable("silent"))


def test_a_notification_during_a_failing_probe_is_not_lost():
    store = FirstCallFailingStore()
    harness = Harness(store, PeerSelector(store))
    harness.availability.report(False)
    with running(harness):
        eventlet.sleep(0.02)
        for _ in range(2):
            harness.knowledge.handle_store_reachable()
            eventlet.sleep(0.05)
        harness.availability.wait_until_available(0.5)
    assert harness.availability.is_available


def test_an_older_record_of_a_peer_is_neither_applied_nor_forwarded():
    harness = harness_with("t1")
    harness.knowledge._on_target_changes((stored("target", "t1", "leaving", version=5),))
    harness.availability.report(False)
    harness.fetch_from_peer(knowledge_of(7, "t1"))
    (passed_on,) = harness.knowledge.shared_knowledge().targets
    assert (passed_on.version, bytes(passed_on.value)) == (5, b'"leaving"')


def test_a_configuration_with_ignored_fields_is_applied_and_counted(harness, monkeypatch):
    read = Configurations.read

    def with_ignored(reader, stored):
        configuration = read(reader, stored)
        configuration.ignored_fields = ("app: cold_per_s: allowed is 0 to 9",)
        return configuration

    invalid = []
    monkeypatch.setattr(Configurations, "read", with_ignored)
    monkeypatch.setattr(harness.knowledge, "count_invalid", invalid.append)
    harness.fetch_from_peer(knowledge_of(7))
    assert (harness.current_configuration.version, invalid) == (7, ["config"])


def entries(era, *names):
    return tuple(stored("target", n, "ready", compose_revision(era, 3)) for n in names)


def apply_list(harness, era, *names):
    revision = compose_revision(era, 9)
    harness.knowledge._target_follower.cache.replace(revision, entries(era, *names))
    harness.knowledge._on_target_list(entries(era, *names), revision)


@pytest.fixture
def clock(monkeypatch):
    now = [100.0]
    monkeypatch.setattr("whinrack.edge._knowledge.steady", lambda: now[0])
    return now


def test_a_target_missing_from_the_restored_store_is_kept_for_a_grace_period(harness, clock):
    apply_list(harness, 1, "old", "young")
    apply_list(harness, 2, "old")
    assert harness.targets() == {"old", "young"}
    clock[0] += 2.7
    harness.knowledge._reapply_target_list()
    assert harness.targets() == {"old"}


def test_a_deleted_target_in_the_restored_store_is_ignored_until_it_expires(harness, clock):
    apply_list(harness, 1, "old", "ended")
    apply_list(harness, 1, "old")
    apply_list(harness, 2, "old", "ended")
    assert harness.targets() == {"old"}
    clock[0] += 2.7
    harness.knowledge._reapply_target_list()
    assert harness.targets() == {"old"}
    clock[0] += 2.5
    harness.knowledge._reapply_target_list()
    assert harness.targets() == {"old", "ended"}


def test_a_deleted_target_that_is_written_again_is_used(harness, clock):
    apply_list(harness, 1, "back")
    apply_list(harness, 1)
    apply_list(harness, 2, "back")
    rewritten = stored("target", "back", "ready", compose_revision(2, 10))
    harness.knowledge._on_target_changes((rewritten,))
    assert harness.targets() == {"back"}


def test_a_peer_in_an_earlier_era_changes_nothing(harness):
    apply_list(harness, 2, "t")
    stale = stored("target", "t", "leaving", compose_revision(1, 99))
    harness.knowledge._on_target_changes((stale,), "peer")
    harness.knowledge.merge_removed([RemovedTarget("t", compose_revision(1, 99))])
    assert harness.targets() == {"t"}
    assert not harness.registry.leaving_records()
