"""Which instances callers are sent to, and which follow the store."""

import random

from whinrack.budgets import DemandEstimate
from whinrack.edge._entry_selection import choose_entries, is_crowded, serves_callers
from whinrack.edge._upstream_selection import choose_feeders
from whinrack.gossip import PeerAddress, PeerState


def state(name, hall="h", load=0, bandwidth=10.0, **changes):
    fields = {"incarnation": f"{name}.1", "sequence": 1, "sender": PeerAddress(name, name, 1)}
    fields |= {"callers": name, "data_hall": hall, "ready": True, "store_answers": True}
    fields |= {"load": load, "configuration": 1, "bandwidth": bandwidth}
    return PeerState(**fields | changes)


def fleet(size, halls=("h", "k", "m"), **fields):
    return [state(f"i{n}", hall=halls[n % len(halls)], **fields) for n in range(size)]


def names(states):
    return sorted(each.sender.name for each in states)


def test_in_a_small_fleet_callers_may_go_anywhere():
    assert choose_entries(fleet(12), "h") == fleet(12)


def test_in_a_large_fleet_callers_share_some_instances_of_their_hall():
    chosen = choose_entries(fleet(90), "k")
    assert len(chosen) == 8
    assert {each.data_hall for each in chosen} == {"k"}


def test_all_instances_choose_the_same_ones():
    backwards = list(reversed(fleet(90)))
    assert names(choose_entries(fleet(90), "k")) == names(choose_entries(backwards, "k"))


def test_the_busier_a_hall_the_more_instances_take_its_callers():
    few = names(choose_entries(fleet(90), "k"))
    more = names(choose_entries(fleet(90, load=10), "k"))
    assert len(more) == 20
    assert set(few) < set(more)


def strong(name, **fields):
    return state(name, bandwidth=100.0, cores=2.15, **fields)


def test_the_strong_instances_of_a_hall_take_its_callers():
    states = [*fleet(90, cores=0.5), strong("s1"), strong("s2"), strong("s3", hall="k")]
    assert names(choose_entries(states, "h")) == ["s1", "s2"]


def test_others_help_when_more_is_open_than_the_strong_ones_bear():
    states = [*fleet(90, cores=0.5), strong("s1", load=60), strong("s2", load=60)]
    assert names(choose_entries(states, "h")) == ["s1", "s2"]
    states = [*fleet(90, cores=0.5), strong("s1", load=90), strong("s2", load=70)]
    assert len(choose_entries(states, "h")) == 5


def test_others_take_the_place_of_strong_instances_that_are_gone():
    states = [*fleet(90, cores=0.5), strong("s1")]
    chosen = names(choose_entries(states, "h"))
    assert "s1" in chosen
    assert len(chosen) == 5


def test_a_fleet_whose_links_and_cores_are_wide_at_different_instances_serves():
    many_cores = [state(f"c{n}", cores=4.0, bandwidth=1.0) for n in range(10)]
    wide_links = [state(f"w{n}", cores=0.5, bandwidth=100.0) for n in range(10)]
    assert len(choose_entries([*many_cores, *wide_links], "h")) >= 2


def test_who_leaves_is_replaced_and_the_others_stay():
    before = names(choose_entries(fleet(90), "k"))
    left = [each for each in fleet(90) if each.sender.name != before[0]]
    after = names(choose_entries(left, "k"))
    assert len(set(before) & set(after)) == 7


def test_callers_of_a_hall_without_instances_go_to_all_halls():
    chosen = choose_entries(fleet(90), "elsewhere")
    assert {each.data_hall for each in chosen} == {"h", "k", "m"}
    assert len(chosen) == 24


def test_two_instances_of_a_hall_feed_the_others_those_with_wide_links_first():
    states = [*fleet(90), state("w1", bandwidth=100.0), state("w2", bandwidth=100.0)]
    assert names(choose_feeders(states, "h")) == ["w1", "w2"]
    assert len(choose_feeders(states, "k")) == 2


def test_who_does_not_reach_the_store_does_not_follow_it_for_others():
    states = [state("w1", bandwidth=100.0, store_answers=False), *fleet(90)]
    states.append(state("elsewhere", hall="k", store_confirmed=True))
    assert "w1" not in names(choose_feeders(states, "h"))


def test_where_nobody_reaches_the_store_the_same_instances_go_on_trying():
    """Whoever tries and fails is not replaced by the next, who would fail as well."""
    before = names(choose_feeders(fleet(90), "h"))
    assert len(before) == 2
    lost = [
        state(each.sender.name, each.data_hall, store_answers=each.sender.name not in before)
        for each in fleet(90)
    ]
    assert names(choose_feeders(lost, "h")) == before
    assert names(choose_feeders(fleet(90, store_answers=False), "h")) == before


def test_an_instance_with_far_more_open_requests_than_its_peers_is_crowded():
    peers = [state(f"i{number}", load=20) for number in range(5)]
    assert not is_crowded(state("own"), 38, peers)
    assert is_crowded(state("own"), 39, peers)


def test_an_instance_with_more_cores_is_crowded_by_more_open_requests():
    peers = [state(f"i{number}", load=20, cores=0.5) for number in range(5)]
    assert not is_crowded(state("own", cores=2.0), 128, peers)
    assert is_crowded(state("own", cores=2.0), 129, peers)


def test_a_few_peers_do_not_tell_whether_an_instance_is_crowded():
    assert not is_crowded(state("own"), 100, [state("i1"), state("i2")])


def test_probes_alone_never_make_an_instance_serve_callers():
    """One probe a second, by chance: its estimated rate swings about one."""
    chance, arrivals = random.Random(3), DemandEstimate(half_life=2.0)
    now, turns, served = 0.0, 0, False
    while now < 120.0:
        now += chance.expovariate(1.0)
        arrivals.record(1, now)
        before, served = served, serves_callers(arrivals.rate(now), served)
        turns += before != served
    assert turns <= 2


def test_an_instance_goes_on_serving_while_requests_come_more_rarely():
    assert serves_callers(3.0, served=False)
    assert serves_callers(1.6, served=True)
    assert not serves_callers(1.6, served=False)
    assert not serves_callers(1.4, served=True)
