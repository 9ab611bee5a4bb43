"""What an instance of a large fleet tells its peers, and whom it asks."""

import msgspec
import pytest

from whinrack.clock import steady
from whinrack.dispatch import CurrentConfiguration, TargetRegistry
from whinrack.edge import EdgeOptions
from whinrack.edge._membership import Membership
from whinrack.edge._membership_host import MembershipHost
from whinrack.gossip import Heartbeat, PeerAddress, PeerState

OPTIONS = EdgeOptions(
    name="a",
    data_hall="h0",
    callers=("10.0.0.1", 80),
    directory=None,
    ready=None,
    gossip=("10.0.0.1", 7340),
)


class Host(MembershipHost):
    """An instance at rest."""

    def __init__(self):
        self.newer = []
        self.checksum = 0
        self.compared = []
        self.answers = True
        self.store_heard = 0

    def open_requests(self):
        return 0

    def serves_callers(self, now):
        return False

    def holds_tokens(self):
        return False

    def reaches_store(self):
        return self.answers

    def confirms_store(self):
        return False

    def gone_targets(self):
        return []

    def learn_gone_targets(self, gone):
        pass

    def suspects_checksum(self):
        return self.checksum

    def compare_suspects(self, checksum, peer):
        self.compared.append((checksum, peer))

    def hear_of_configuration(self, peer):
        self.newer.append(peer)

    def hear_of_store(self):
        self.store_heard += 1


class Link:
    """Keeps what is sent."""

    def __init__(self):
        self.sent = []

    def send(self, message, address):
        self.sent.append((message, address))


class Versioned:
    """A directory in which only the version matters."""

    def __init__(self, version):
        self.version = version


@pytest.fixture
def membership():
    """An instance that knows thirty others in three halls."""
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
        member._receive(beat(number), None)
    member.link.sent.clear()
    return member


def beat(peer, run=1, hall=None, store_confirmed=False, **fields):
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


def halls_told_of(member, message):
    digests = {view.state.digest: view.state.data_hall for view in member.table.live_peers(0.0)}
    return {digests[digest] for digest in message.ages}


def test_other_halls_are_told_of_the_own_hall_only(membership):
    membership.beat()
    near = [message for message, address in membership.link.sent if len(message.ages) == 30]
    far = [message for message, address in membership.link.sent if len(message.ages) == 10]
    assert (len(near), len(far)) == (5, 1)
    assert {state.data_hall for state in far[0].passed_on} == {"h0"}


def test_one_peer_is_asked_for_the_states_that_are_lacking(membership):
    membership._receive(beat(0, number=2, ages={1234: 10}), None)
    membership.beat()
    asked = [address for message, address in membership.link.sent if message.requests_states]
    assert len(asked) == 1


def test_a_newcomer_that_knows_nobody_is_told_all_states(membership):
    membership._receive(beat(40, hall="h1"), None)
    ((answer, address),) = membership.link.sent
    assert address == ("10.0.1.40", 7340)
    assert len(answer.passed_on) == 31


def test_a_peer_that_knows_nobody_is_told_all_states_again_though_its_run_is_known(membership):
    """The first answer may be lost; without another one a whole data hall stayed alone."""
    membership._receive(beat(3, number=2), None)
    ((answer, address),) = membership.link.sent
    assert address == ("10.0.1.3", 7340)
    assert len(answer.passed_on) == 30
    membership._receive(beat(3, number=3), None)
    assert len(membership.link.sent) == 1


def test_a_newcomer_that_knows_others_is_told_no_states(membership):
    membership._receive(beat(40, hall="h1", ages={1234: 10}), None)
    ((answer, _),) = membership.link.sent
    assert answer.passed_on == []
    assert len(answer.ages) == 10


def test_a_newer_version_of_the_configuration_is_no_news(membership):
    """Each tells its own; as news, one change would pass on the states of all instances."""
    membership.directory = Versioned(1)
    before = membership.own_state()
    membership.directory.version = 2
    state = membership.own_state()
    assert (state.configuration, state.sequence) == (2, before.sequence)


def test_whether_callers_may_come_is_news(membership):
    membership.directory = Versioned(1)
    before = membership.own_state()
    membership.stopping = True
    assert membership.own_state().sequence == before.sequence + 1


def test_the_first_peer_that_hears_from_a_lost_store_again_is_news_at_once(membership):
    """Told by the heartbeats alone, its return reached the last of 24 instances after 1.7 s."""
    membership.host.answers = False
    returned = msgspec.structs.replace(beat(3).state, store_confirmed=True, sequence=2)
    membership._receive(beat(2, number=2), None)
    assert membership.host.store_heard == 0
    membership._receive(beat(2, number=3, ages={returned.digest: 1}, passed_on=[returned]), None)
    assert membership.host.store_heard == 1


def test_peers_that_reach_the_store_all_along_are_no_news_to_one_that_is_turned_away(membership):
    membership._receive(beat(3, run=2, store_confirmed=True), None)
    membership.host.answers = False
    membership._receive(beat(4, run=2, store_confirmed=True), None)
    assert len(membership.table.peers_with_store(steady())) == 2
    assert membership.host.store_heard == 0


def test_an_instance_that_the_store_answers_again_tells_its_peers_at_once(membership):
    membership.spread()
    assert len(membership.link.sent) == 6
    membership.spread()
    assert len(membership.link.sent) == 6
