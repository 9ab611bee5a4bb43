"""Which peers are asked for tokens."""

import time

import pytest

from whinrack.gossip import Heartbeat, PeerAddress, PeerSpares, PeerState, PeerTable

BUDGET = "b"


def beat(name, ready=True, store_answers=True, serving=False):
    state = PeerState(
        incarnation=f"{name}.1",
        sequence=1,
        sender=PeerAddress(name, name, 1),
        callers="",
        data_hall="",
        ready=ready,
        store_answers=store_answers,
        load=0,
        configuration=1,
        serving=serving,
    )
    return Heartbeat(state=state)


class Link:
    """Notes who is asked; nobody replies."""

    def __init__(self):
        self.asked = []

    def send(self, message, address):
        self.asked.append(address[0])


@pytest.fixture
def world(monkeypatch):
    monkeypatch.setattr("whinrack.gossip._spares.time.monotonic", lambda: 0.0)
    peers, link = PeerTable("a", 1.0, 10.0), Link()
    return PeerSpares("a.1", link, peers, patience=0.001), peers, link


def lend(world, *beats):
    spares, peers, link = world
    for heartbeat in beats:
        peers.heard(heartbeat, 0.0)
    spares.borrow(BUDGET, 10, 0, {})
    return link.asked


def test_one_peer_that_reaches_the_store_is_asked_to_lend(world):
    asked = lend(world, beat("b", store_answers=False), beat("c"), beat("d", ready=False))
    assert asked == ["c"]


def test_a_stopping_peer_lends_where_no_other_reaches_the_store(world):
    assert lend(world, beat("b", store_answers=False), beat("d", ready=False)) == ["d"]


def test_nobody_is_asked_where_nobody_reaches_the_store(world):
    assert lend(world, beat("b", store_answers=False)) == []


def test_in_a_large_fleet_only_those_that_serve_are_asked():
    peers, link = PeerTable("me", 1.0, 10.0), Link()
    for number in range(30):
        peers.heard(beat(f"p{number}", serving=number < 3), time.monotonic())
    spares = PeerSpares("me.1", link, peers, patience=0.0)
    spares.gather(BUDGET, 1, 0, {})
    assert sorted(link.asked) == ["p0", "p1", "p2"]
    assert spares.peers_asked() == 3
