"""Statuses of emptied data halls arrive in any order."""

import itertools

from whinrack.dispatch import EmptiedHalls, HallStatus, PoolRecord, TargetRecord, TargetRegistry
from whinrack.dispatch._refusals import BUSY_RETRY_SECONDS, pool_refusal

STATUSES = (
    HallStatus("z", 5, True),
    HallStatus("z", 5, False),
    HallStatus("z", 8, True),
    HallStatus("y", 6, True),
)


def apply_all(statuses_in_order):
    halls = EmptiedHalls()
    for status in statuses_in_order:
        halls.update(status)
    return halls


def test_the_latest_status_wins_in_any_order_of_arrival():
    for statuses_in_order in itertools.permutations(STATUSES):
        assert apply_all(statuses_in_order).names == {"z", "y"}


def test_an_older_status_changes_nothing():
    halls = apply_all(STATUSES)
    assert not halls.update(HallStatus("z", 7, False))
    assert halls.update(HallStatus("z", 8, False))
    assert not halls.update(HallStatus("z", 8, True))
    assert halls.names == {"y"}


def test_a_list_releases_missing_halls_unless_their_status_is_newer():
    halls = apply_all(STATUSES)
    assert halls.released_by_list({"y"}, 7) == []
    assert halls.released_by_list({"y"}, 8) == [HallStatus("z", 8, False)]
    assert halls.released_by_list({"y", "z"}, 9) == []


def test_statuses_of_released_halls_are_bounded_and_emptied_halls_are_kept():
    halls = EmptiedHalls()
    halls.update(HallStatus("kept", 1, True))
    for number in range(500):
        halls.update(HallStatus(f"hall-{number}", number + 2, False))
    assert len(halls.statuses()) <= 101
    assert halls.names == {"kept"}


def registry(**halls):
    targets = TargetRegistry(seed=1)
    targets.replace_all(
        [TargetRecord(name, "p", "127.0.0.1", 1, data_hall=hall) for name, hall in halls.items()]
    )
    return targets


def test_targets_of_an_emptied_hall_are_not_eligible():
    targets = registry(a="z", b="y")
    assert targets.update_hall(HallStatus("z", 2, True))
    chosen = {targets.choose("p", f"k{n}", (), 0.0).record.incarnation for n in range(20)}
    assert chosen == {"b"}
    assert not targets.has_eligible_target("p", {"b"}, 0.0)
    targets.update_hall(HallStatus("y", 3, True))
    assert targets.choose("p", "", (), 0.0) is None


def test_the_retry_delay_is_the_time_for_which_all_halls_have_been_emptied():
    targets = registry(a="z", b="y")
    pool = PoolRecord("p", 0)
    targets.clock = lambda: 10.0
    targets.update_hall(HallStatus("z", 2, True))
    assert pool_refusal(targets, pool, 15.0).retry_after == BUSY_RETRY_SECONDS
    targets.clock = lambda: 12.0
    targets.update_hall(HallStatus("y", 3, True))
    assert pool_refusal(targets, pool, 15.0).retry_after == 3.0
    assert pool_refusal(targets, pool, 12.1).retry_after == 1.0
    targets.update_hall(HallStatus("z", 4, False))
    assert pool_refusal(targets, pool, 15.0).retry_after == BUSY_RETRY_SECONDS


def test_a_target_whose_hall_is_emptied_after_the_choice_is_not_eligible():
    targets = registry(a="z", b="y")
    state = targets.choose("p", "", {"b"}, 0.0)
    targets.update_hall(HallStatus("z", 2, True))
    assert not targets.is_eligible(state, 0.0)
    targets.update_hall(HallStatus("z", 2, False))
    assert targets.is_eligible(state, 0.0)
