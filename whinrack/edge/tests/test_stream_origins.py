"""Exchange of the origins of streams between instances."""

import eventlet
import pytest

from whinrack.clock import steady
from whinrack.edge._stream_origins import _HOME_COUNT, _ROUND_SECONDS, StreamOriginExchange
from whinrack.edge.tests.fake_peers import ready_state
from whinrack.gossip import Heartbeat, PeerAddress, PeerTable, StreamAnswer
from whinrack.streams import StreamOrigin, UnsettledStart

NAMES = [f"m{number}" for number in range(8)]
KEY = b"k" * 16
ORIGIN = StreamOrigin("lm", "v1")
UNSETTLED = UnsettledStart("t", 1, 0.25)


class Network:
    """Delivers datagrams between exchanges, and drops those of instances that are down."""

    def __init__(self):
        self.exchanges = {}
        self.down = set()
        self.drops = 0

    def link(self, name):
        return Link(self, name)


class Link:
    def __init__(self, network, name):
        self.network, self.name = network, name

    def send(self, message, address):
        receiver = address[0]
        if self.network.drops:
            self.network.drops -= 1
        elif not {receiver, self.name} & self.network.down:
            deliver = self.network.exchanges[receiver].receive
            eventlet.spawn_n(deliver, message, (self.name, 1))


def peer_table(name):
    table = PeerTable(name, silent_seconds=60.0, forget_seconds=90.0)
    for peer in NAMES:
        state = ready_state(PeerAddress(peer, peer, 1))
        table.record_heartbeat(Heartbeat(state=state, number=1), steady())
    return table


@pytest.fixture
def network():
    network = Network()
    for name in NAMES:
        network.exchanges[name] = StreamOriginExchange(name, network.link(name), peer_table(name))
    return network


def find(network, name):
    return network.exchanges[name].find(KEY, steady() + 5.0)


def test_origin_is_found_at_every_instance(network):
    network.exchanges["m0"].record(KEY, ORIGIN)
    eventlet.sleep(0)
    assert all(find(network, name).origin == ORIGIN for name in NAMES)


def test_origin_is_found_after_its_first_instance_is_killed(network):
    network.exchanges["m0"].record(KEY, ORIGIN)
    eventlet.sleep(0)
    network.down.add("m0")
    assert all(find(network, name).origin == ORIGIN for name in NAMES[1:])


def test_origin_is_found_after_all_homes_but_one_are_killed(network):
    network.exchanges["m0"].record(KEY, ORIGIN)
    eventlet.sleep(0)
    holders = [name for name in NAMES if network.exchanges[name].origins.get(KEY, steady())]
    assert len(holders) == _HOME_COUNT + 1
    network.down.update(holders[:-1])
    assert find(network, holders[-1]).origin == ORIGIN
    others = set(NAMES) - set(holders)
    assert all(find(network, name).origin == ORIGIN for name in others)


def test_unknown_origin_is_reported_as_soon_as_all_peers_have_answered(network):
    began = steady()
    lookup = find(network, "m0")
    assert (lookup.origin, lookup.unanswered) == (None, 0)
    assert steady() - began < _ROUND_SECONDS[0]


def test_lookup_gives_up_on_silent_peers(network):
    network.down.update(NAMES[1:])
    began = steady()
    lookup = find(network, "m0")
    assert (lookup.origin, lookup.unanswered) == (None, len(NAMES) - 1)
    assert steady() - began < sum(_ROUND_SECONDS) + 0.2


def test_question_is_repeated_after_a_loss(network):
    network.exchanges["m0"].record(KEY, ORIGIN)
    eventlet.sleep(0)
    stranger = next(
        name for name in NAMES if network.exchanges[name].origins.get(KEY, steady()) is None
    )
    network.drops = len(NAMES) - 1
    assert find(network, stranger).origin == ORIGIN


def test_late_answer_is_ignored(network, monkeypatch):
    exchange, asked = network.exchanges["m0"], []
    send = exchange.link.send

    def record_and_send(message, address):
        asked.append(message.number)
        send(message, address)

    monkeypatch.setattr(exchange.link, "send", record_and_send)
    network.down.update(NAMES[1:])
    find(network, "m0")
    network.down.clear()
    network.exchanges["m1"].link.send(StreamAnswer(asked[0], ORIGIN), ("m0", 1))
    eventlet.sleep(0)
    assert exchange.origins.get(KEY, steady()) is None


def test_answer_to_an_earlier_process_is_not_taken_for_another_stream(network):
    """Guards against streams that go on at the version of another one after a restart."""
    asked = []

    def ask(key, answers=()):
        """Look a stream up in a process that has just started; answers arrive meanwhile."""
        exchange = StreamOriginExchange("m0", network.link("m0"), peer_table("m0"))
        network.exchanges["m0"], network.exchanges["m1"].receive = exchange, record
        for answer in answers:
            eventlet.spawn_n(exchange.receive, answer, ("m1", 1))
        return exchange.find(key, steady() + 5.0)

    def record(message, address):
        asked.append(message.number)

    ask(KEY)
    late = StreamAnswer(asked[0], ORIGIN)
    assert ask(b"o" * 16, [late]).origin is None


def holders_of(network):
    return [name for name in NAMES if network.exchanges[name].origins.get(KEY, steady())]


def test_lookup_tells_for_how_long_an_origin_is_unsettled(network):
    network.exchanges["m0"].record(KEY, ORIGIN, UNSETTLED)
    eventlet.sleep(0)
    assert all(0.0 < find(network, name).seconds_left <= 0.25 for name in NAMES)
    eventlet.sleep(0.3)
    assert all(find(network, name).seconds_left == 0.0 for name in NAMES)


@pytest.mark.parametrize("number", range(_HOME_COUNT + 1))
def test_any_holder_that_knows_of_a_later_start_tells_the_others(network, number):
    network.exchanges["m0"].record(KEY, ORIGIN, UNSETTLED)
    eventlet.sleep(0)
    network.exchanges[holders_of(network)[number]].record_later_start("t", 1)
    eventlet.sleep(0)
    assert not any(find(network, name).origin.is_known for name in NAMES)


def test_holder_tells_of_a_later_start_after_the_first_instance_is_killed(network):
    network.exchanges["m0"].record(KEY, ORIGIN, UNSETTLED)
    eventlet.sleep(0)
    network.down.add("m0")
    holder = next(name for name in holders_of(network) if name != "m0")
    network.exchanges[holder].record_later_start("t", 1)
    eventlet.sleep(0)
    assert not any(find(network, name).origin.is_known for name in NAMES[1:])


def test_home_knows_of_a_later_start_before_the_first_instance_does(network):
    for name in NAMES[1:]:
        network.exchanges[name].has_later_start = lambda *start: start == ("t", 1)
    network.exchanges["m0"].record(KEY, ORIGIN, UNSETTLED)
    eventlet.sleep(0)
    eventlet.sleep(0)
    assert not any(find(network, name).origin.is_known for name in NAMES)


def test_settled_origin_is_kept_when_a_later_start_becomes_known(network):
    network.exchanges["m0"].record(KEY, ORIGIN)
    eventlet.sleep(0)
    for exchange in network.exchanges.values():
        exchange.record_later_start("t", 1)
    eventlet.sleep(0)
    assert all(find(network, name).origin == ORIGIN for name in NAMES)
