"""Lists and watches that a peer relays."""

import eventlet
import msgspec
import pytest
from returns.result import Failure

from whinrack.edge._knowledge_exchange import KnowledgeServer, SharedKnowledge
from whinrack.edge._relay import PeerStore, WatchCache, WatchRelay
from whinrack.http1 import ConnectionPool
from whinrack.store import StoredObject

KIND = "target"


def stored(name, version, value="ready", deleted=False):
    return StoredObject(KIND, name, version, msgspec.Raw(msgspec.json.encode(value)), deleted)


@pytest.fixture
def relay():
    relay = WatchRelay((KIND,))
    server = KnowledgeServer(("127.0.0.1", 0), SharedKnowledge, relay.handle)
    server.start()
    peer_store = PeerStore(server.address, ConnectionPool())
    yield relay.caches[KIND], peer_store
    peer_store.connections.close()
    server.stop()


def test_an_empty_cache_answers_with_a_failure(relay):
    _, peer_store = relay
    assert isinstance(peer_store.list([KIND]), Failure)
    assert isinstance(peer_store.watch([KIND], 0, 0.0), Failure)


def test_a_list_request_waits_for_the_first_list(relay):
    cache, peer_store = relay
    eventlet.spawn_after(0.05, cache.replace, 5, (stored("a", 3),))
    assert peer_store.list([KIND]).unwrap().revision == 5


def test_a_peer_gets_the_list_and_then_the_changes(relay):
    cache, peer_store = relay
    cache.replace(5, (stored("a", 3),))
    snapshot = peer_store.list([KIND]).unwrap()
    assert (snapshot.revision, [item.name for item in snapshot.objects]) == (5, ["a"])
    cache.apply(7, (stored("b", 7), stored("a", 6, deleted=True)))
    batch = peer_store.watch([KIND], 5, 0.0).unwrap()
    assert batch.revision == 7
    assert [(item.name, item.deleted) for item in batch.objects] == [("b", False), ("a", True)]
    assert [item.name for item in peer_store.list([KIND]).unwrap().objects] == ["b"]


def test_a_watch_waits_for_the_next_change(relay):
    cache, peer_store = relay
    cache.replace(5, ())
    eventlet.spawn_after(0.05, cache.apply, 6, (stored("a", 6),))
    batch = peer_store.watch([KIND], 5, 10.0).unwrap()
    assert [item.name for item in batch.objects] == ["a"]


def test_a_watch_without_changes_returns_the_same_revision(relay):
    cache, peer_store = relay
    cache.replace(5, ())
    batch = peer_store.watch([KIND], 5, 0.01).unwrap()
    assert (batch.revision, batch.objects, batch.gap) == (5, (), False)


def test_a_watch_from_a_later_revision_returns_no_older_changes(relay):
    cache, peer_store = relay
    cache.replace(5, (stored("a", 3),))
    batch = peer_store.watch([KIND], 9, 0.01).unwrap()
    assert (batch.revision, batch.objects) == (9, ())


def test_changes_from_before_the_list_are_a_gap(relay):
    cache, peer_store = relay
    cache.replace(5, ())
    assert peer_store.watch([KIND], 4, 0.0).unwrap().gap


def test_discarded_changes_are_a_gap(monkeypatch):
    monkeypatch.setattr("whinrack.edge._relay._MAX_CHANGES", 2)
    cache = WatchCache()
    cache.replace(0, ())
    for revision in (1, 2, 3):
        cache.apply(revision, (stored(f"t{revision}", revision),))
    assert cache.changes_since(0, 0.0).gap
    assert [item.name for item in cache.changes_since(1, 0.0).objects] == ["t2", "t3"]


def test_long_lists_arrive_complete(relay):
    cache, peer_store = relay
    cache.replace(9, tuple(stored(f"target-{n}", n) for n in range(500)))
    assert len(peer_store.list([KIND]).unwrap().objects) == 500


def test_an_unreachable_peer_is_a_failure():
    assert isinstance(PeerStore(("127.0.0.1", 1), ConnectionPool()).list([KIND]), Failure)
