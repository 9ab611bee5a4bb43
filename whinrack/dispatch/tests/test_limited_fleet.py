"""What reaches targets that state a limit, summed over fleets of 8, 87 and 200 instances.

Each instance learned of such a word by its own requests only, and nothing kept to it, so a target
in need got its usual share. The bound is for the sum: 1.5 times what is allowed in 4 s and 5
requests more, from 3 s after the first word.
"""

import pytest

from whinrack.dispatch import NO_LIMIT
from whinrack.dispatch.tests.limited_fleet import Fleet, most_in_window

_CONTACT_SECONDS = 3.0
_LEAST_USED = 0.6
# Requests a second that callers bring to each instance, by the number of instances.
_DEMAND = {8: 8.0, 20: 8.0, 87: 8.0, 200: 3.0}
SIZES = (8, 87, 200)


def most_allowed(limit):
    return 1.5 * limit * 4.0 + 5.0


def assert_bound_holds(fleet, limits, since):
    for limit, times in zip(limits, fleet.since(since), strict=True):
        assert most_in_window(times) <= most_allowed(limit), limit


@pytest.mark.parametrize("count", SIZES)
@pytest.mark.parametrize("limit", [0.0, 0.2, 1.0, 1.4, 3.0, 10.0])
def test_the_sum_keeps_to_the_limit_and_uses_it(count, limit):
    limits = [limit] * 3
    fleet = Fleet(count, limits, demand=_DEMAND[count])
    fleet.run(23.0)
    assert_bound_holds(fleet, limits, _CONTACT_SECONDS)
    used = sum(map(len, fleet.since(_CONTACT_SECONDS)))
    assert used >= _LEAST_USED * limit * len(limits) * 20.0 - len(limits)


def test_what_is_allowed_for_all_that_callers_bring_serves_nearly_all_at_once():
    """24 requests a second come, and the targets take 30."""
    fleet = Fleet(8, [10.0] * 3, demand=3.0)
    fleet.run(23.0)
    served = sum(map(len, fleet.since(_CONTACT_SECONDS)))
    assert served >= 0.8 * 24.0 * 20.0
    assert_bound_holds(fleet, [10.0] * 3, _CONTACT_SECONDS)


@pytest.mark.parametrize("seed", range(4))
def test_views_that_differ_keep_to_it(seed):
    """Each lacks one that has just begun to serve, or counts one that is gone; none misses any."""
    limits = [0.2, 1.0, 3.0, 10.0]
    fleet = Fleet(8, limits, demand=_DEMAND[8], seed=seed)
    for name, instance in fleet.instances.items():
        known = {name, *fleet.random.sample(fleet.names, 7)}
        instance.registry.rate_permits.members = lambda known=known: frozenset(known)
    fleet.run(23.0)
    assert_bound_holds(fleet, limits, _CONTACT_SECONDS)


@pytest.mark.parametrize("count", SIZES)
def test_two_halves_that_hear_nothing_of_each_other_keep_to_it_together(count):
    limits = [0.2, 1.0, 3.0]
    fleet = Fleet(count, limits, demand=_DEMAND[count])
    fleet.run(5.0)
    fleet.cut(fleet.names[: count // 2])
    fleet.run(40.0)
    assert_bound_holds(fleet, limits, _CONTACT_SECONDS)
    fleet.heal()
    fleet.run(46.0)
    assert_bound_holds(fleet, limits, _CONTACT_SECONDS)


@pytest.mark.parametrize("count", SIZES)
@pytest.mark.parametrize("seed", range(3))
def test_restarts_one_after_the_other_keep_to_it(count, seed):
    """A new run knows no word; its first request to each target, or a peer, tells it."""
    limits = [1.0, 1.0, 3.0]
    fleet = Fleet(count, limits, demand=_DEMAND[count], seed=seed)
    fleet.run(6.0)
    for number in range(12):
        fleet.instances[fleet.random.choice(fleet.names)].start()
        fleet.run(6.5 + number)
    fleet.run(24.0)
    assert_bound_holds(fleet, limits, _CONTACT_SECONDS)


@pytest.mark.parametrize("count", SIZES)
def test_after_a_restart_of_all_it_holds_again_from_the_first_word_on(count):
    limits = [1.0, 3.0]
    fleet = Fleet(count, limits, demand=_DEMAND[count])
    fleet.run(6.0)
    for instance in fleet.instances.values():
        instance.start()
    fleet.run(20.0)
    assert_bound_holds(fleet, limits, 6.0 + _CONTACT_SECONDS)


@pytest.mark.parametrize("count", SIZES)
def test_what_is_held_up_on_the_way_and_arrives_together_is_within_it(count):
    limits = [1.0, 3.0]
    fleet = Fleet(count, limits, demand=_DEMAND[count])
    fleet.run(6.0)
    for name in fleet.names:
        fleet.held_up[name] = 14.0
    fleet.run(24.0)
    assert_bound_holds(fleet, limits, _CONTACT_SECONDS)


@pytest.mark.parametrize("count", SIZES)
def test_the_limit_ends_when_the_target_ends_it(count):
    fleet = Fleet(count, [1.0, 1.0], demand=_DEMAND[count])
    fleet.run(8.0)
    for target in fleet.targets:
        target.limit = NO_LIMIT
    fleet.run(12.0)
    ended = sum(
        not instance.registry.stated_limits.limited_targets()
        for instance in fleet.instances.values()
    )
    assert ended == count
    refused = fleet.refused
    fleet.run(14.0)
    assert fleet.refused == refused


@pytest.mark.parametrize("count", SIZES)
def test_a_limit_ends_though_the_instances_that_may_send_have_no_callers(count):
    fleet = Fleet(count, [1.0, 1.0], demand=_DEMAND[count])
    fleet.run(6.0)
    holders = {
        name
        for name, instance in fleet.instances.items()
        for target in fleet.targets
        if instance.registry.rate_limiter.permitted_rate(target.name) > 0.0
    }
    assert len(fleet.instances["m0"].registry.stated_limits.limited_targets()) == len(fleet.targets)
    for name in holders:
        # Out of the way: nothing that they send arrives.
        fleet.held_up[name] = 1000.0
    for target in fleet.targets:
        target.limit = NO_LIMIT
    fleet.run(45.0)
    others = [fleet.instances[name] for name in fleet.names if name not in holders]
    assert all(not instance.registry.stated_limits.limited_targets() for instance in others)


def test_a_limit_that_goes_up_and_down_is_kept_to():
    limits = [1.0, 3.0]
    fleet = Fleet(20, limits, demand=_DEMAND[20], answer_seconds=0.4)
    fleet.run(8.0)
    for number in range(6):
        for target, limit in zip(fleet.targets, limits, strict=True):
            target.limit = limit * (2.0 if number % 2 else 1.0)
        fleet.run(12.0 + 4.0 * number)
    # The lower of both, for each window that may lie in both.
    for limit, times in zip(limits, fleet.since(_CONTACT_SECONDS), strict=True):
        assert most_in_window(times) <= most_allowed(2.0 * limit)
    for target, limit in zip(fleet.targets, limits, strict=True):
        target.limit = limit
    fleet.run(60.0)
    assert_bound_holds(fleet, limits, 38.0)
