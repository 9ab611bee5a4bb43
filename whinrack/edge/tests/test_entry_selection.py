"""Selection of the instances that callers connect to, and of the relays."""

import random

from whinrack.budgets import DemandEstimate
from whinrack.edge._entry_selection import choose_entries, is_crowded, is_serving_callers
from whinrack.edge._upstream_selection import choose_relays
from whinrack.gossip import PeerAddress, PeerState


def state(name, hall="h", load=0, bandwidth=10.0, **changes):
    fields = {"incarnation": f"{name}.1", "sequence": 1, "sender": PeerAddress(name, name, 1)}
    fields |= {"callers": name, "data_hall": hall, "ready": True, "store_answers": True}
    fields |= {"load": load, "configuration": 1, "bandwidth": bandwidth}
    return PeerState(**fields | changes)


def fleet(size, halls=("h", "k", "m"), **fields):
    return [state(f"i{n}", hall=halls[n % len(halls)], **fields) for n in range(size)]


def names(states):
    return sorted(instance.sender.name for instance in states)


def test_a_small_fleet_offers_all_instances():
    assert choose_entries(fleet(12), "h") == fleet(12)


def test_a_large_fleet_offers_some_instances_of_the_callers_hall():
    chosen = choose_entries(fleet(90), "k")
    assert len(chosen) == 8
    assert {instance.data_hall for instance in chosen} == {"k"}


def test_the_choice_does_not_depend_on_the_order_of_states():
    backwards = list(reversed(fleet(90)))
    assert names(choose_entries(fleet(90), "k")) == names(choose_entries(backwards, "k"))


def test_a_busier_hall_offers_more_instances():
    few = names(choose_entries(fleet(90), "k"))
    more = names(choose_entries(fleet(90, load=10), "k"))
    assert len(more) == 20
    assert set(few) < set(more)


def high_capacity_state(name, **fields):
    return state(name, bandwidth=100.0, cores=2.15, **fields)


def test_high_capacity_instances_are_offered_first():
    states = [
        *fleet(90, cores=0.5),
        high_capacity_state("s1"),
        high_capacity_state("s2"),
        high_capacity_state("s3", hall="k"),
    ]
    assert names(choose_entries(states, "h")) == ["s1", "s2"]


def test_further_instances_are_added_when_the_high_capacity_ones_are_full():
    states = [
        *fleet(90, cores=0.5),
        high_capacity_state("s1", load=60),
        high_capacity_state("s2", load=60),
    ]
    assert names(choose_entries(states, "h")) == ["s1", "s2"]
    states = [
        *fleet(90, cores=0.5),
        high_capacity_state("s1", load=90),
        high_capacity_state("s2", load=70),
    ]
    assert len(choose_entries(states, "h")) == 5


def test_further_instances_replace_missing_high_capacity_ones():
    states = [*fleet(90, cores=0.5), high_capacity_state("s1")]
    chosen = names(choose_entries(states, "h"))
    assert "s1" in chosen
    assert len(chosen) == 5


def test_instances_with_wider_links_are_added_first():
    states = [
        *fleet(90, cores=0.5, bandwidth=5.0),
        *(state(f"m{n}", bandwidth=12.5, cores=1.3) for n in range(3)),
        high_capacity_state("s1"),
    ]
    chosen = names(choose_entries(states, "h"))
    assert len(chosen) == 3
    assert all(name in ("m0", "m1", "m2", "s1") for name in chosen)


def test_instances_are_offered_when_none_has_both_bandwidth_and_cores():
    many_cores = [state(f"c{n}", cores=4.0, bandwidth=1.0) for n in range(10)]
    wide_links = [state(f"w{n}", cores=0.5, bandwidth=100.0) for n in range(10)]
    assert len(choose_entries([*many_cores, *wide_links], "h")) >= 2


def test_removing_an_instance_changes_one_entry_only():
    before = names(choose_entries(fleet(90), "k"))
    left = [instance for instance in fleet(90) if instance.sender.name != before[0]]
    after = names(choose_entries(left, "k"))
    assert len(set(before) & set(after)) == 7


def test_callers_of_an_unknown_hall_are_offered_all_halls():
    chosen = choose_entries(fleet(90), "elsewhere")
    assert {instance.data_hall for instance in chosen} == {"h", "k", "m"}
    assert len(chosen) == 24


def test_two_relays_are_chosen_per_hall_by_bandwidth():
    states = [*fleet(90), state("w1", bandwidth=100.0), state("w2", bandwidth=100.0)]
    assert names(choose_relays(states, "h")) == ["w1", "w2"]
    assert len(choose_relays(states, "k")) == 2


def test_an_instance_that_cannot_reach_the_store_is_no_relay():
    states = [state("w1", bandwidth=100.0, store_answers=False), *fleet(90)]
    states.append(state("elsewhere", hall="k", store_confirmed=True))
    assert "w1" not in names(choose_relays(states, "h"))


def test_relays_stay_the_same_while_nobody_reaches_the_store():
    """A relay that fails to reach the store is not replaced by one that would fail as well."""
    before = names(choose_relays(fleet(90), "h"))
    assert len(before) == 2
    lost = [
        state(
            instance.sender.name,
            instance.data_hall,
            store_answers=instance.sender.name not in before,
        )
        for instance in fleet(90)
    ]
    assert names(choose_relays(lost, "h")) == before
    assert names(choose_relays(fleet(90, store_answers=False), "h")) == before


def test_far_more_open_requests_than_at_the_peers_are_crowding():
    peers = [state(f"i{number}", load=20) for number in range(5)]
    assert not is_crowded(state("own"), 38, peers)
    assert is_crowded(state("own"), 39, peers)


def test_the_crowding_threshold_grows_with_the_cores():
    peers = [state(f"i{number}", load=20, cores=0.5) for number in range(5)]
    assert not is_crowded(state("own", cores=2.0), 128, peers)
    assert is_crowded(state("own", cores=2.0), 129, peers)


def test_crowding_is_not_judged_by_fewer_than_three_peers():
    assert not is_crowded(state("own"), 100, [state("i1"), state("i2")])


def test_probes_alone_do_not_count_as_serving_callers():
    """Random probes of one per second on average: the estimated rate fluctuates around one."""
    chance, arrivals = random.Random(3), DemandEstimate(half_life=2.0)
    now, turns, served = 0.0, 0, False
    while now < 120.0:
        now += chance.expovariate(1.0)
        arrivals.record(1, now)
        before, served = served, is_serving_callers(arrivals.rate(now), served)
        turns += before != served
    assert turns <= 2


def test_serving_starts_at_a_higher_rate_than_it_stops():
    assert is_serving_callers(3.0, was_serving=False)
    assert is_serving_callers(1.6, was_serving=True)
    assert not is_serving_callers(1.6, was_serving=False)
    assert not is_serving_callers(1.4, was_serving=True)
