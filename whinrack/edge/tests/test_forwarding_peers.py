"""Selection of peers for requests that an instance cannot send to targets itself."""

import pytest

from whinrack.clock import steady
from whinrack.dispatch import ForwardingPeer
from whinrack.edge._forwarding_peers import ForwardingPeers, pool_digest
from whinrack.gossip import Heartbeat, PeerAddress, PeerState, PeerTable

POOL = "p"


def heartbeat(name, number=1, sequence=1, **changes):
    fields = {
        "incarnation": f"{name}.1",
        "sequence": sequence,
        "sender": PeerAddress(name, "h", int(name[1:])),
        "callers": "h:1",
        "data_hall": "z",
        "ready": True,
        "store_answers": True,
        "load": 0,
        "configuration": 1,
        "accepts_forwarded": True,
    }
    return Heartbeat(state=PeerState(**fields | changes), number=number)


@pytest.fixture
def table():
    return PeerTable("m0", silent_seconds=5.0, forget_seconds=60.0, data_hall="z")


@pytest.fixture
def peers(table):
    return ForwardingPeers(table, lambda address, version: None, seed=1)


def candidates(table, peers, *heartbeats):
    for beat in heartbeats:
        table.record_heartbeat(beat, steady())
    return [peer.name for peer in peers.candidates(POOL)]


def test_peers_that_have_lost_the_pool_or_take_no_forwarded_requests_are_left_out(table, peers):
    lost = heartbeat("m1", lost_pools=(pool_digest(POOL),))
    other_lost = heartbeat("m2", lost_pools=(pool_digest("other"),))
    earlier_build = heartbeat("m3", accepts_forwarded=False)
    assert candidates(table, peers, lost, other_lost, earlier_build) == ["m2"]


def test_peers_that_doubt_the_pool_are_asked_last_or_not_at_all(table, peers):
    """Guards against a request that waits at a peer which does not reach the targets either."""
    doubting = heartbeat("m1", doubted_pools=(pool_digest(POOL),))
    busy = heartbeat("m2", load=500, doubted_pools=(pool_digest("other"),))
    assert candidates(table, peers, doubting, busy) == ["m2", "m1"]
    assert [peer.name for peer in peers.candidates(POOL, needs_answer=True)] == ["m2"]


def test_peer_with_a_newer_configuration_in_an_unchanged_state_is_a_candidate(table, peers):
    """A peer's state is not replaced if only its configuration version has changed."""
    names = candidates(
        table, peers, heartbeat("m1"), heartbeat("m1", number=2, sequence=1, configuration=2)
    )
    assert table.live_peers(steady())[0].state.configuration == 1
    assert names == ["m1"]


def test_least_loaded_peer_for_its_cores_is_preferred(table, peers):
    busy = heartbeat("m1", load=40, cores=1.0)
    small = heartbeat("m2", load=30, cores=0.5)
    idle = heartbeat("m3", load=10, cores=1.0)
    assert candidates(table, peers, busy, small, idle) == ["m3", "m1", "m2"]


def test_peers_of_the_own_hall_are_preferred_unless_they_are_far_busier(table, peers):
    own = heartbeat("m1", load=10, cores=1.0)
    other = heartbeat("m2", load=10, cores=1.0, data_hall="y")
    assert candidates(table, peers, own, other) == ["m1", "m2"]
    assert candidates(table, peers, heartbeat("m1", number=2, sequence=2, load=40, cores=1.0)) == [
        "m2",
        "m1",
    ]


def test_stopping_peers_are_the_last_resort(table, peers):
    stopping = heartbeat("m1", ready=False)
    busy = heartbeat("m2", load=90)
    assert candidates(table, peers, stopping, busy) == ["m2", "m1"]


def test_peer_that_did_not_take_a_request_is_avoided(table, peers):
    assert candidates(table, peers, heartbeat("m1"), heartbeat("m2", load=50)) == ["m1", "m2"]
    peers.record_declined(ForwardingPeer("m1", ("h", 1)))
    assert candidates(table, peers) == ["m2", "m1"]


def test_streams_go_only_to_peers_that_keep_their_version(table, peers):
    """A peer of an earlier build continues a broken stream at a target of any version."""
    for beat in (heartbeat("m1"), heartbeat("m2", keeps_stream_versions=True)):
        table.record_heartbeat(beat, steady())
    assert [peer.name for peer in peers.candidates(POOL, needs_version=True)] == ["m2"]
    assert {peer.name for peer in peers.candidates(POOL)} == {"m1", "m2"}
