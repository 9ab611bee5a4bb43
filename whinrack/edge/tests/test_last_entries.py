"""Entries named by instances that hear nobody, in a fleet partitioned into single instances."""

import random

from whinrack.edge._entry_selection import choose_entries
from whinrack.edge._last_entries import LastEntries
from whinrack.gossip import PeerAddress, PeerState


def state(name, **changes):
    fields = {"incarnation": f"{name}.1", "sequence": 1, "sender": PeerAddress(name, name, 1)}
    fields |= {"callers": name, "data_hall": "h", "ready": True, "store_answers": True}
    fields |= {"load": 0, "configuration": 1, "bandwidth": 5.0, "cores": 0.5}
    return PeerState(**fields | changes)


FLEET = [
    *(state(f"s{n}", bandwidth=100.0, cores=2.15) for n in range(2)),
    *(state(f"i{n}") for n in range(13)),
]
ALONE = [FLEET[5]]


def named(entries, ready):
    return sorted(chosen.callers for chosen in choose_entries(entries.candidates(ready), "h"))


def remember_fleet(seconds=10.0):
    entries = LastEntries(seconds)
    entries.update(FLEET, now=0.0)
    return entries


def test_callers_stay_with_the_usual_instances_while_a_fleet_is_partitioned():
    """Callers ask any instance, choose a named one, and ask again every 1.5 seconds."""
    rng, places = random.Random(7), set()
    for _ in range(500):
        own = rng.choice(FLEET)
        entries = remember_fleet()
        entries.update([own], now=5.0)
        places.add(rng.choice(named(entries, [own])))
    assert places == {"s0", "s1"}


def test_after_a_while_an_isolated_instance_names_itself():
    entries = remember_fleet(seconds=10.0)
    entries.update(ALONE, now=10.5)
    assert named(entries, ALONE) == [ALONE[0].callers]


def test_after_the_loss_of_half_of_the_fleet_only_live_instances_are_named():
    entries, live = remember_fleet(), FLEET[7:]
    entries.update(live, now=1.0)
    assert set(named(entries, live)) <= {instance.callers for instance in live}


def test_a_stopping_instance_is_not_named():
    entries = remember_fleet()
    entries.forget(["s0"])
    assert "s0" not in named(entries, ALONE)


def test_a_stopping_instance_that_hears_nobody_does_not_name_itself():
    entries = remember_fleet()
    entries.forget(["s0"])
    assert "s0" not in named(entries, [state("s0", ready=False, bandwidth=100.0, cores=2.15)])


def test_a_small_fleet_names_the_instances_that_are_heard():
    entries = LastEntries(10.0)
    entries.update(FLEET[:8], now=0.0)
    assert named(entries, ALONE) == [ALONE[0].callers]
