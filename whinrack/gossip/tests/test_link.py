"""Tests of the gossip socket with valid, truncated and foreign datagrams."""

import eventlet
import msgspec
import pytest
from eventlet.green import socket

from whinrack.gossip import GossipLink, Heartbeat, PeerAddress, PeerState, TargetLoads

ANY_LOCAL_PORT = ("127.0.0.1", 0)


@pytest.fixture
def link():
    """Return a link that keeps received messages and the sizes of sent ones."""
    received, sent = [], []
    link = GossipLink(
        ANY_LOCAL_PORT,
        lambda message, address: received.append(message),
        lambda name, address, size: sent.append((name, size)),
    )
    link.start()
    link.received, link.sent_sizes = received, sent
    yield link
    link.stop()


def heartbeat(**fields):
    state = PeerState(
        incarnation="b.1",
        sequence=1,
        sender=PeerAddress("b", "127.0.0.1", 1),
        callers="b:80",
        data_hall="h",
        ready=True,
        store_answers=True,
        load=0,
        configuration=1,
    )
    return Heartbeat(state=state, number=1, **fields)


def deliver(link, *datagrams):
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sender:
        for data in datagrams:
            sender.sendto(data, link.address)
    eventlet.sleep(0.05)


def test_malformed_datagrams_are_dropped_and_counted(link):
    whole = msgspec.msgpack.encode(heartbeat())
    deliver(link, b"", b"\xff\xfe", whole[:-3], whole + b"x", b"\x91\xa5other", whole)
    assert len(link.received) == 1
    assert link.malformed_count == 5


def test_messages_of_older_and_newer_versions_are_decoded(link):
    older = msgspec.msgpack.encode(["loads", "b", {7: 2}])
    newer = msgspec.msgpack.encode(["loads", "b", {7: 2}, {7: 300}, [[7, 90, 4]], "more"])
    deliver(link, older, newer)
    assert link.received == [
        TargetLoads("b", {7: 2}),
        TargetLoads("b", {7: 2}, {7: 300}, [(7, 90, 4)]),
    ]
    assert link.malformed_count == 0


def test_heartbeats_with_states_are_counted_separately(link):
    beat = heartbeat()
    link.send(beat, link.address)
    link.send(heartbeat(passed_on=[beat.state]), link.address)
    assert [name for name, _ in link.sent_sizes] == ["beat", "beat+states"]
    assert link.sent_sizes[0][1] == len(msgspec.msgpack.encode(beat))
