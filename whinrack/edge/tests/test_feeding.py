"""Who is asked for lists and watches in a large fleet."""

import msgspec
import pytest

from standins.memory_store import MemoryStore
from whinrack.clock import steady
from whinrack.edge._store_availability import StoreContact
from whinrack.edge._upstream_selection import FeedPlan
from whinrack.gossip import PeerAddress, PeerState
from whinrack.gossip._peers import PeerView

HALL = "north"


def state(name, **changes):
    fields = {
        "incarnation": f"{name}.1",
        "sequence": 0,
        "sender": PeerAddress(name, name, 1),
        "callers": f"{name}:2",
        "data_hall": HALL,
        "ready": True,
        "store_answers": True,
        "load": 0,
        "configuration": 1,
    }
    return PeerState(**(fields | changes))


class Peers:
    """The peers of a large fleet."""

    is_full_mesh = False

    def __init__(self, *states):
        self.states = list(states)

    def live_peers(self, now):
        return [PeerView(each, now) for each in self.states]


@pytest.fixture
def peers():
    """Two strong instances, which watch for the others."""
    return Peers(state("a", bandwidth=100.0, cores=2.0), state("b", bandwidth=100.0, cores=2.0))


def plan(peers):
    own = state("own", bandwidth=5.0, cores=0.5)
    return FeedPlan(MemoryStore(), StoreContact(lambda answers: None), lambda: own, peers)


def lose_store(peers):
    for number, each in enumerate(peers.states):
        fields = {name: getattr(each, name) for name in each.__struct_fields__}
        peers.states[number] = PeerState(**(fields | {"store_answers": False}))


def test_a_watcher_feeds_the_others(peers):
    assert plan(peers).source().name in ("a:1", "b:1")


def test_a_feeder_that_is_behind_is_left_for_the_other_one(peers):
    feeding = plan(peers)
    first = feeding.source()
    feeding.behind(first)
    assert {first.name, feeding.source().name} == {"a:1", "b:1"}


def test_with_all_feeders_behind_the_store_itself_is_asked(peers):
    feeding = plan(peers)
    for _ in range(2):
        feeding.behind(feeding.source())
    assert feeding.source().name == "store"


def test_a_feeder_that_says_that_it_lost_the_store_is_not_behind(peers):
    peers.states = [state("a", bandwidth=100.0, cores=2.0, store_answers=False)]
    own_lost = state("own", store_answers=False)
    feeding = FeedPlan(MemoryStore(), StoreContact(lambda answers: None), lambda: own_lost, peers)
    source = feeding.source()
    feeding.behind(source)
    assert feeding.source().name == source.name == "a:1"


def plan_of(own, others, **options):
    peers = Peers(*others)
    return FeedPlan(
        MemoryStore(), StoreContact(lambda answers: None), lambda: own, peers, **options
    )


def wide(name):
    return state(name, bandwidth=100.0, cores=2.0)


def test_of_two_feeders_one_follows_the_store_and_feeds_the_other():
    own_is_a = plan_of(wide("a"), [wide("b"), state("c")])
    own_is_b = plan_of(wide("b"), [wide("a"), state("c")])
    assert sorted([own_is_a.source().name, own_is_b.source().name])[1] == "store"
    assert {own_is_a.source().name, own_is_b.source().name} <= {"store", "a:1", "b:1"}


def test_the_second_feeder_follows_the_store_when_the_first_does_not_answer():
    plans = [plan_of(wide("a"), [wide("b")]), plan_of(wide("b"), [wide("a")])]
    (second,) = [each for each in plans if each.source().name != "store"]
    second.failed(second.source())
    assert second.source().name == "store"


def test_the_next_ones_feed_when_both_feeders_do_not_answer():
    feeding = plan_of(state("own"), [wide("a"), wide("b"), wide("c"), wide("d")])
    for _ in range(2):
        feeding.failed(feeding.source())
    assert feeding.source().name in ("a:1", "b:1", "c:1", "d:1")


def test_at_the_start_peers_are_waited_for_and_no_longer_than_allowed():
    feeding = plan_of(state("own"), [wide("a")], settle_seconds=5.0)
    began = steady()
    feeding.settle()
    assert steady() - began < 1.0
    feeding.peers.is_full_mesh = True
    feeding.settle_seconds = 0.1
    feeding.settle()
    assert 0.1 <= steady() - began < 2.0


def fleet(instances, halls=5, **changes):
    """Return the states of a fleet whose halls are of one size."""
    return [
        state(f"i{number}", data_hall=f"hall{number % halls}", store_confirmed=True, **changes)
        for number in range(instances)
    ]


def sources(states):
    """Return whom each instance asks, by its name."""
    plans = {
        own.sender.name: plan_of(own, [other for other in states if other is not own])
        for own in states
    }
    return {name: each.source().name for name, each in plans.items()}


@pytest.mark.parametrize(("instances", "following"), [(24, 2), (87, 3), (195, 5)])
def test_in_fleets_of_some_tens_few_halls_follow_the_store_and_feed_the_others(
    instances, following
):
    """Five following halls of 24 instances made 1,304 calls in 68 s, two of them 718."""
    asked = sources(fleet(instances))
    followers = [name for name, source in asked.items() if source == "store"]
    assert len(followers) == following
    # Nobody is fed in a circle.
    for name in asked:
        for _ in range(3):
            name = asked[name].split(":")[0] if asked[name] != "store" else name
        assert asked[name] == "store"


def outsider(states):
    """Return an instance that is fed from another data hall, and whom it asks."""
    halls = {each.sender.name: each.data_hall for each in states}
    for name, source in sources(states).items():
        feeder = source.split(":")[0]
        if source != "store" and halls[feeder] != halls[name]:
            return next(each for each in states if each.sender.name == name), feeder
    raise AssertionError("nobody is fed from another hall")


def test_when_the_feeder_of_another_hall_does_not_answer_that_hall_is_left_at_once():
    """It may be cut off, and asking one after the other there takes 1.5 s each."""
    states = fleet(24)
    halls = {each.sender.name: each.data_hall for each in states}
    own, first = outsider(states)
    feeding = plan_of(own, [other for other in states if other is not own])
    feeding.failed(feeding.source())
    second = feeding.source()
    assert halls[second.name.split(":")[0]] not in (own.data_hall, halls[first])
    feeding.failed(second)
    assert feeding.source().name == "store"


def test_a_hall_that_the_store_turns_away_does_not_feed_the_others():
    states = fleet(24)
    _, feeder = outsider(states)
    hall = next(each.data_hall for each in states if each.sender.name == feeder)
    turned_away = {"store_answers": False, "store_confirmed": False}
    states = [
        msgspec.structs.replace(each, **turned_away) if each.data_hall == hall else each
        for each in states
    ]
    _, feeder = outsider(states)
    assert all(each.data_hall != hall for each in states if each.sender.name == feeder)


def test_an_instance_that_its_feeders_are_blinder_than_follows_the_store_for_a_while(peers):
    feeding = plan(peers)
    feeding.follow_store()
    assert feeding.source().name == "store"
    feeding.contact.answers = False
    assert feeding.source().name != "store"
