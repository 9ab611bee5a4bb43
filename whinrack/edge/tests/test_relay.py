"""Lists and watches that are passed on by peers."""

import eventlet
import msgspec
import pytest
from returns.result import Failure

from whinrack.edge._knowledge_exchange import KnowledgeServer, SharedKnowledge
from whinrack.edge._relay import KindRelay, PeerFeed, WatchRelay
from whinrack.http1 import ConnectionPool
from whinrack.store import StoredObject

KIND = "target"


def stored(name, version, value="ready", deleted=False):
    return StoredObject(KIND, name, version, msgspec.Raw(msgspec.json.encode(value)), deleted)


@pytest.fixture
def relay():
    relay = WatchRelay((KIND,))
    server = KnowledgeServer(("127.0.0.1", 0), SharedKnowledge, relay.answer)
    server.start()
    feed = PeerFeed(server.address, ConnectionPool())
    yield relay.kinds[KIND], feed
    feed.connections.close()
    server.stop()


def test_before_a_first_list_there_is_nothing_to_pass_on(relay):
    _, feed = relay
    assert isinstance(feed.list([KIND]), Failure)
    assert isinstance(feed.watch([KIND], 0, 0.0), Failure)


def test_a_first_list_that_comes_soon_is_waited_for(relay):
    kind, feed = relay
    eventlet.spawn_after(0.05, kind.listed, 5, (stored("a", 3),))
    assert feed.list([KIND]).unwrap().revision == 5


def test_a_peer_gets_the_list_and_then_the_changes(relay):
    kind, feed = relay
    kind.listed(5, (stored("a", 3),))
    snapshot = feed.list([KIND]).unwrap()
    assert (snapshot.revision, [each.name for each in snapshot.objects]) == (5, ["a"])
    kind.changed(7, (stored("b", 7), stored("a", 6, deleted=True)))
    batch = feed.watch([KIND], 5, 0.0).unwrap()
    assert batch.revision == 7
    assert [(each.name, each.deleted) for each in batch.objects] == [("b", False), ("a", True)]
    assert [each.name for each in feed.list([KIND]).unwrap().objects] == ["b"]


def test_a_watch_waits_for_the_next_change(relay):
    kind, feed = relay
    kind.listed(5, ())
    eventlet.spawn_after(0.05, kind.changed, 6, (stored("a", 6),))
    batch = feed.watch([KIND], 5, 10.0).unwrap()
    assert [each.name for each in batch.objects] == ["a"]


def test_a_watch_without_changes_ends_where_it_began(relay):
    kind, feed = relay
    kind.listed(5, ())
    batch = feed.watch([KIND], 5, 0.01).unwrap()
    assert (batch.revision, batch.objects, batch.gap) == (5, (), False)


def test_a_peer_that_is_ahead_waits_and_learns_nothing_old(relay):
    kind, feed = relay
    kind.listed(5, (stored("a", 3),))
    batch = feed.watch([KIND], 9, 0.01).unwrap()
    assert (batch.revision, batch.objects) == (9, ())


def test_changes_from_before_the_list_are_a_gap(relay):
    kind, feed = relay
    kind.listed(5, ())
    assert feed.watch([KIND], 4, 0.0).unwrap().gap


def test_forgotten_changes_are_a_gap(monkeypatch):
    monkeypatch.setattr("whinrack.edge._relay._MOST_CHANGES", 2)
    kind = KindRelay()
    kind.listed(0, ())
    for revision in (1, 2, 3):
        kind.changed(revision, (stored(f"t{revision}", revision),))
    assert kind.batch(0, 0.0).gap
    assert [each.name for each in kind.batch(1, 0.0).objects] == ["t2", "t3"]


def test_long_lists_arrive_whole(relay):
    kind, feed = relay
    kind.listed(9, tuple(stored(f"target-{n}", n) for n in range(500)))
    assert len(feed.list([KIND]).unwrap().objects) == 500


def test_an_unreachable_peer_is_a_failure():
    assert isinstance(PeerFeed(("127.0.0.1", 1), ConnectionPool()).list([KIND]), Failure)
