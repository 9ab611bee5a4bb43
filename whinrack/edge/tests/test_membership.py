"""Heartbeats that an instance of a large fleet sends and answers."""

import socket
from types import SimpleNamespace

import eventlet
import msgspec
import pytest

from whinrack.clock import steady
from whinrack.dispatch import CurrentConfiguration, TargetRecord, TargetRegistry
from whinrack.edge import EdgeOptions
from whinrack.edge._forwarding_peers import pool_digest
from whinrack.edge._membership import Membership
from whinrack.edge._membership_host import MembershipHost
from whinrack.gossip import Heartbeat, PeerAddress, PeerState
from whinrack.observability import Event

OPTIONS = EdgeOptions(
    name="a",
    data_hall="h0",
    callers=("10.0.0.1", 80),
    directory=None,
    ready=None,
    gossip=("10.0.0.1", 7340),
)


class Host(MembershipHost):
    """An idle instance."""

    def __init__(self):
        self.newer_configurations = []
        self.checksum = 0
        self.compared = []
        self.store_reachable = True
        self.store_reachable_calls = 0

    def count_open_requests(self):
        return 0

    def is_serving_callers(self, now):
        return False

    def has_spendable_tokens(self):
        return False

    def is_store_reachable(self):
        return self.store_reachable

    def has_recent_store_answer(self):
        return False

    def recently_removed_targets(self):
        return []

    def merge_removed_targets(self, removed):
        pass

    def suspects_checksum(self):
        return self.checksum

    def compare_suspects(self, checksum, peer):
        self.compared.append((checksum, peer))

    def handle_newer_configuration(self, peer):
        self.newer_configurations.append(peer)

    def handle_store_reachable(self):
        self.store_reachable_calls += 1


class Link:
    """Records the messages that are sent."""

    def __init__(self):
        self.sent = []

    def send(self, message, address):
        self.sent.append((message, address))


class FixedConfiguration:
    """A configuration with nothing but a version and the names of pools."""

    def __init__(self, version, *pools):
        self.version = version
        self.pools = [SimpleNamespace(name=name) for name in pools]


@pytest.fixture
def membership():
    """An instance that knows thirty peers in three halls."""
    registry = TargetRegistry()
    member = Membership(
        OPTIONS,
        "a.1",
        CurrentConfiguration(lambda configuration: None),
        registry,
        Host(),
        lambda *_: None,
    )
    member.link = Link()
    for number in range(30):
        member._receive(heartbeat(number), None)
    member.link.sent.clear()
    return member


def heartbeat(peer, run=1, hall=None, store_confirmed=False, **fields):
    state = PeerState(
        incarnation=f"p{peer}.{run}",
        sequence=1,
        sender=PeerAddress(f"p{peer}", f"10.0.1.{peer}", 7340),
        callers=f"p{peer}:80",
        data_hall=hall or f"h{peer % 3}",
        ready=True,
        store_answers=True,
        load=0,
        configuration=0,
        store_confirmed=store_confirmed,
    )
    return Heartbeat(**({"state": state, "number": 1} | fields))


def test_heartbeats_to_other_halls_describe_the_own_hall_only(membership):
    membership.send_heartbeats()
    near = [message for message, address in membership.link.sent if len(message.ages) == 30]
    far = [message for message, address in membership.link.sent if len(message.ages) == 10]
    assert (len(near), len(far)) == (5, 1)
    assert {state.data_hall for state in far[0].passed_on} == {"h0"}


@pytest.mark.parametrize("in_flight", [0, 1])
def test_a_reported_end_of_a_brittle_target_is_only_checked_within_the_quota(membership, in_flight):
    """Guards against connections of all instances at once to a target whose end was reported."""
    with socket.create_server(("127.0.0.1", 0)) as listener:
        registry = membership.registry
        address = listener.getsockname()
        registry.put(TargetRecord("t", "p", *address, started=7, slots=1))
        (state,) = registry.targets_in_pool("p")
        state.in_flight = in_flight
        registry.brittle_limits.record_answer(state.record.identity, 0.0, steady())
        membership._receive(heartbeat(3, number=2, ended_targets=[("t", 7)]), None)
        eventlet.sleep(0.1)
    objections = [m for m, _ in membership.link.sent if m.alive_targets]
    assert len(objections) == (0 if in_flight else 1)


def test_missing_states_are_requested_from_one_peer(membership):
    membership._receive(heartbeat(0, number=2, ages={1234: 10}), None)
    membership.send_heartbeats()
    asked = [address for message, address in membership.link.sent if message.requests_states]
    assert len(asked) == 1


def test_a_new_peer_that_knows_nobody_is_sent_all_states(membership):
    membership._receive(heartbeat(40, hall="h1"), None)
    ((answer, address),) = membership.link.sent
    assert address == ("10.0.1.40", 7340)
    assert len(answer.passed_on) == 31


def test_a_known_peer_that_knows_nobody_is_sent_all_states_again(membership):
    """The first answer may be lost; without a second one a whole data hall stayed isolated."""
    membership._receive(heartbeat(3, number=2), None)
    ((answer, address),) = membership.link.sent
    assert address == ("10.0.1.3", 7340)
    assert len(answer.passed_on) == 30
    membership._receive(heartbeat(3, number=3), None)
    assert len(membership.link.sent) == 1


def test_a_new_peer_that_knows_others_is_sent_no_states(membership):
    membership._receive(heartbeat(40, hall="h1", ages={1234: 10}), None)
    ((answer, _),) = membership.link.sent
    assert answer.passed_on == []
    assert len(answer.ages) == 10


def test_a_newer_configuration_does_not_change_the_sequence_number(membership):
    """Each instance states its own version, so peers need not forward all states for a change."""
    membership.current_configuration = FixedConfiguration(1)
    before = membership.own_state()
    membership.current_configuration.version = 2
    state = membership.own_state()
    assert (state.configuration, state.sequence) == (2, before.sequence)


def test_pools_that_have_not_answered_yet_are_stated_as_doubted(membership):
    membership.current_configuration = FixedConfiguration(1, "p", "q")
    membership.registry.reachability.record_answer("q", "t", 0.0)
    assert membership.own_state().doubted_pools == (pool_digest("p"),)


def test_a_change_of_readiness_changes_the_sequence_number(membership):
    membership.current_configuration = FixedConfiguration(1)
    before = membership.own_state()
    membership.is_stopping = True
    assert membership.own_state().sequence == before.sequence + 1


def test_the_first_peer_that_reaches_the_store_again_is_reported_at_once(membership):
    """By periodic heartbeats alone, the last of 24 instances noticed the recovery after 1.7 s."""
    membership.host.store_reachable = False
    returned = msgspec.structs.replace(heartbeat(3).state, store_confirmed=True, sequence=2)
    membership._receive(heartbeat(2, number=2), None)
    assert membership.host.store_reachable_calls == 0
    membership._receive(
        heartbeat(2, number=3, ages={returned.digest: 1}, passed_on=[returned]), None
    )
    assert membership.host.store_reachable_calls == 1


def test_peers_that_reach_the_store_are_not_reported_again(membership):
    membership._receive(heartbeat(3, run=2, store_confirmed=True), None)
    membership.host.store_reachable = False
    membership._receive(heartbeat(4, run=2, store_confirmed=True), None)
    assert len(membership.table.peers_with_store(steady())) == 2
    assert membership.host.store_reachable_calls == 0


def test_notify_peers_sends_at_once_and_is_rate_limited(membership):
    membership.notify_peers()
    assert len(membership.link.sent) == 6
    membership.notify_peers()
    assert len(membership.link.sent) == 6


@pytest.fixture
def hearing(membership, monkeypatch):
    """The instance while it is ready, the peers that it hears, and the events that it logs."""
    peers, events = membership.table.live_peers(steady()), []
    monkeypatch.setattr(membership.table, "live_peers", lambda now: peers)
    log = lambda event, **fields: events.append(event)  # noqa: E731
    monkeypatch.setattr("whinrack.edge._membership.log_event", log)
    membership.current_configuration = FixedConfiguration(1)
    membership.send_heartbeats()
    return membership, peers, events


def test_an_instance_that_stops_while_it_hears_nobody_names_others_only(hearing):
    member, peers, _ = hearing
    peers.clear()
    member.is_stopping = True
    member.send_heartbeats()
    addresses = member.caller_addresses("h0")
    assert addresses and "10.0.0.1:80" not in addresses


def test_begin_and_end_of_an_isolation_are_logged_though_no_caller_asks(hearing):
    member, peers, events = hearing
    heard = list(peers)
    peers.clear()
    member.send_heartbeats()
    assert Event.ENTRIES_REMEMBERED in events
    peers.extend(heard)
    member.send_heartbeats()
    assert Event.ENTRIES_HEARD in events
