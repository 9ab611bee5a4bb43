"""Exchange of suspected requests between instances and with the store."""

import eventlet
import pytest

from standins.memory_store import MemoryStore
from whinrack.base import rendezvous_order
from whinrack.clock import steady
from whinrack.edge._store_availability import StoreAvailability
from whinrack.edge._suspects import SuspectExchange
from whinrack.gossip import Heartbeat, PeerAddress, PeerState, PeerTable
from whinrack.observability import Metrics
from whinrack.quarantine import RequestSignature, TargetEnd
from whinrack.quarantine._table import CaseTable

NAMES = [f"m{number}" for number in range(6)]
REQUEST = RequestSignature("deadly", "w", "r")


class Network:
    """Delivers datagrams at once, or drops those to instances that are cut off."""

    def __init__(self):
        self.exchanges = {}
        self.cut_off = set()
        self.sent = []

    def link(self, name):
        return Link(self, name)


class Link:
    def __init__(self, network, name):
        self.network, self.name = network, name

    def send(self, message, address):
        self.network.sent.append((self.name, address[0], message))
        if address[0] not in self.network.cut_off:
            self.network.exchanges[address[0]].receive(message, (self.name, 1))


def peer_table(name):
    table = PeerTable(name, silent_seconds=60.0, forget_seconds=90.0)
    for peer in NAMES:
        state = PeerState(
            incarnation=f"{peer}.1",
            sequence=1,
            sender=PeerAddress(peer, peer, 1),
            callers=f"{peer}:80",
            data_hall="h",
            ready=True,
            store_answers=True,
            load=0,
            configuration=1,
        )
        table.record_heartbeat(Heartbeat(state=state, number=1), steady())
    return table


@pytest.fixture
def store():
    return MemoryStore()


@pytest.fixture
def network(store):
    network = Network()
    for name in NAMES:
        network.exchanges[name] = SuspectExchange(
            name,
            store,
            StoreAvailability(lambda is_available: None),
            network.link(name),
            peer_table(name),
            lambda: 1_000_000.0,
            Metrics(),
            lambda: True,
        )
    return network


def target_ended(network, name, target, request=REQUEST):
    network.exchanges[name].quarantine.record_target_end(TargetEnd(target), [request])


def kept_out(network):
    return [name for name in NAMES if network.exchanges[name].quarantine.quarantined_cases()]


def test_a_single_end_is_sent_to_the_three_owners_only(network):
    target_ended(network, "m0", "a")
    owners = set(rendezvous_order("deadly", NAMES)[:3])
    assert {to for _, to, _ in network.sent} == owners - {"m0"}


def test_ends_seen_by_three_instances_quarantine_the_request_everywhere(network):
    for name, target in zip(NAMES, "abc", strict=False):
        target_ended(network, name, target)
    assert kept_out(network) == NAMES


def test_many_requests_at_one_end_cause_few_messages(network):
    for number in range(64):
        target_ended(network, "m0", "a", RequestSignature(f"f{number}", "w", "r"))
    assert len(network.sent) <= 64 * 3


def test_a_checksum_mismatch_sends_the_missing_cases(network):
    network.cut_off = {"m5"}
    for target in "abc":
        target_ended(network, "m0", target)
    network.cut_off = set()
    assert "m5" not in kept_out(network)
    checksum = network.exchanges["m5"].checksum()
    network.exchanges["m1"].compare(checksum, ("m5", 1))
    assert kept_out(network) == NAMES


def test_equal_checksums_send_nothing(network):
    for target in "abc":
        target_ended(network, "m0", target)
    sent = len(network.sent)
    network.exchanges["m1"].compare(network.exchanges["m2"].checksum(), ("m2", 1))
    assert len(network.sent) == sent


def test_many_suspects_are_split_into_several_datagrams(network):
    network.cut_off = set(NAMES)
    for number in range(200):
        for target in ("a", "b"):
            target_ended(network, "m0", target, RequestSignature(f"f{number}", "w", "r"))
    network.cut_off, network.sent[:] = set(), []
    network.exchanges["m0"].compare(0, ("m1", 1))
    cases = network.exchanges["m1"].quarantine.table.suspect_cases()
    assert len(cases) == 200


@pytest.fixture
def tasks(network):
    threads = [
        eventlet.spawn(task) for exchange in network.exchanges.values() for task in exchange.tasks()
    ]
    eventlet.sleep(0.05)
    yield
    for thread in threads:
        eventlet.kill(thread)


def test_suspects_are_stored_and_read_back(network, store, tasks):
    target_ended(network, "m0", "a")
    target_ended(network, "m1", "b")
    eventlet.sleep(0.3)
    network.exchanges["m2"].quarantine.table = CaseTable()
    assert network.exchanges["m2"]._read()
    assert len(network.exchanges["m2"].quarantine.table.suspect_cases()) == 1


def test_single_ends_cause_no_store_calls(network, store, tasks):
    calls = store.call_count
    for number in range(64):
        target_ended(network, "m0", "a", RequestSignature(f"f{number}", "w", "r"))
    eventlet.sleep(0.3)
    assert store.call_count == calls


def test_a_failed_write_is_retried(network, store, tasks):
    store.down = True
    target_ended(network, "m0", "a")
    target_ended(network, "m0", "b")
    eventlet.sleep(0.2)
    store.down = False
    eventlet.sleep(1.0)
    assert ("Quarantine", "main") in store.objects
