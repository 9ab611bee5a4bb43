"""Tests of the choice of peers that are asked for tokens."""

import pytest

from whinrack.base import rendezvous_order
from whinrack.clock import steady
from whinrack.gossip import (
    GossipTokenSource,
    Heartbeat,
    PeerAddress,
    PeerState,
    PeerTable,
    TokenReply,
)

BUDGET = "b"


def beat(name, ready=True, store_answers=True, holds_tokens=False, bandwidth=0.0):
    state = PeerState(
        incarnation=f"{name}.1",
        sequence=1,
        sender=PeerAddress(name, name, 1),
        callers="",
        data_hall="",
        ready=ready,
        store_answers=store_answers,
        store_confirmed=store_answers,
        load=0,
        configuration=1,
        holds_tokens=holds_tokens,
        bandwidth=bandwidth,
    )
    return Heartbeat(state=state)


class Link:
    """Link that records receivers and delivers nothing."""

    def __init__(self):
        self.asked = []

    def send(self, message, address):
        self.asked.append(address[0])


@pytest.fixture
def world(monkeypatch):
    monkeypatch.setattr("whinrack.gossip._token_source.steady", lambda: 0.0)
    peers, link = PeerTable("a", 1.0, 10.0), Link()
    return (
        GossipTokenSource(
            "a.1", link, peers, reply_timeout=0.001, own_state=lambda: beat("a").state
        ),
        peers,
        link,
    )


def peers_asked_to_draw(world, *beats):
    source, peers, link = world
    for heartbeat in beats:
        peers.record_heartbeat(heartbeat, 0.0)
    source.request_peer_draw(BUDGET, 10, 0, {})
    return link.asked


def test_one_peer_that_reaches_the_store_is_asked_to_draw(world):
    asked = peers_asked_to_draw(
        world, beat("b", store_answers=False), beat("c"), beat("d", ready=False)
    )
    assert asked == ["c"]


def test_stopping_peer_draws_if_no_other_reaches_the_store(world):
    asked = peers_asked_to_draw(world, beat("b", store_answers=False), beat("d", ready=False))
    assert asked == ["d"]


def test_no_peer_is_asked_if_none_reaches_the_store(world):
    assert peers_asked_to_draw(world, beat("b", store_answers=False)) == []


def test_reply_to_an_earlier_process_is_not_taken_for_its_own():
    """Guards against tokens that a process takes for its own after a restart."""
    peers, late = PeerTable("a", 1.0, 10.0), []
    peers.record_heartbeat(beat("c"), steady())

    class LateLink:
        def send(self, message, address):
            late.append(TokenReply(message.request_id, BUDGET, "c.1", "a.1", 7))
            source.handle_reply(late[0])

    for expected in (7, 0):
        source = GossipTokenSource(
            "a.1", LateLink(), peers, reply_timeout=0.001, own_state=lambda: beat("a").state
        )
        assert sum(r.total for r in source.request_from_peers(BUDGET, 1, 0, {})) == expected


def test_only_peers_that_hold_tokens_are_asked_in_a_large_fleet():
    peers, link = PeerTable("me", 1.0, 10.0), Link()
    for number in range(30):
        peers.record_heartbeat(beat(f"p{number}", holds_tokens=number < 3), steady())
    source = GossipTokenSource(
        "me.1", link, peers, reply_timeout=0.0, own_state=lambda: beat("me").state
    )
    source.request_from_peers(BUDGET, 1, 0, {})
    assert sorted(link.asked) == ["p0", "p1", "p2"]
    assert source.peer_count() == 3


def suppliers_asked(world, budget, *beats):
    source, peers, link = world
    for heartbeat in beats:
        peers.record_heartbeat(heartbeat, 0.0)
    source.request_from_supplier(budget, 10, 0, {})
    return link.asked


def budgets_of(name, candidates):
    """Return budgets that the candidate `name` supplies."""
    names = [f"b{number}" for number in range(50)]
    return [each for each in names if rendezvous_order(f"supply/{each}", candidates)[0] == name]


def test_the_only_supplier_of_a_budget_is_asked_twice(world):
    (budget, *_) = budgets_of("c", ["a", "b", "c"])
    assert suppliers_asked(world, budget, beat("b"), beat("c")) == ["c", "c"]


def test_supplier_that_does_not_reply_is_replaced(world):
    (budget, *_) = budgets_of("c", ["a", "b", "c"])
    suppliers_asked(world, budget, beat("b"), beat("c"))
    replacement = rendezvous_order(f"supply/{budget}", ["a", "b"])[0]
    assert world[0].is_supplier(budget) == (replacement == "a")


def test_the_supplier_itself_asks_no_peer(world):
    (budget, *_) = budgets_of("a", ["a", "b", "c"])
    assert suppliers_asked(world, budget, beat("b"), beat("c")) == []
    assert world[0].is_supplier(budget)


def test_stopping_instance_is_no_supplier(world):
    (budget, *_) = budgets_of("c", ["a", "b", "c"])
    (own_budget, *_) = budgets_of("a", ["a", "b", "c"])
    assert "c" not in suppliers_asked(world, budget, beat("b"), beat("c", ready=False))
    world[0].own_state = lambda: beat("a", ready=False).state
    world[0]._supplier_cache.clear()
    assert not world[0].is_supplier(own_budget)


def test_instances_with_low_bandwidth_are_no_suppliers(world):
    source, peers, _ = world
    for name, bandwidth in (("b", 5.0), ("c", 100.0), ("d", 100.0)):
        peers.record_heartbeat(beat(name, bandwidth=bandwidth), 0.0)
    source.own_state = lambda: beat("a", bandwidth=5.0).state
    assert {source.supplier(f"b{number}") for number in range(20)} == {"c", "d"}


def test_supplier_name_for_logs(world):
    (own_budget, *_) = budgets_of("a", ["a", "c"])
    (peer_budget, *_) = budgets_of("c", ["a", "c"])
    world[1].record_heartbeat(beat("c"), 0.0)
    assert (world[0].supplier(own_budget), world[0].supplier(peer_budget)) == ("", "c")
