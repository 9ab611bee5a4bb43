"""When targets are considered cold, and how requests are limited then."""

import pytest

from whinrack.dispatch import (
    ColdStart,
    HallStatus,
    PoolRecord,
    SharedRatePermits,
    TargetRecord,
    TargetRegistry,
    WarmUpLimits,
)
from whinrack.dispatch._refusals import pool_refusal

COLD = ColdStart(seconds=3.0, rate=4.0)
LIMITS = WarmUpLimits(1.5, 5.0)


class Harness:
    """A registry with a simulated clock."""

    def __init__(self, *names, members=("m1",), slots=1):
        self.now = 100.0
        self.slots = slots
        self.permits = SharedRatePermits("m1", lambda: members)
        self.targets = TargetRegistry(
            seed=1, rate_permits=self.permits, warm_up_limits=LIMITS, clock=lambda: self.now
        )
        for name in names:
            self.update_record(name, 0.0, revision=1)

    def update_record(self, name, cold_left, revision=2, started=0):
        self.targets.put(
            TargetRecord(
                name,
                "p",
                "127.0.0.1",
                1,
                data_hall="z",
                slots=self.slots,
                revision=revision,
                cold_seconds_left=cold_left,
                started=started,
            )
        )

    def cold(self):
        return {
            state.record.incarnation for state in self.targets.cold_targets("p", COLD, self.now)
        }

    def state(self, name):
        return next(s for s in self.targets.targets_in_pool("p") if s.record.incarnation == name)

    def send(self, priority=0):
        """Choose a target as for a request and return its name."""
        state = self.targets.choose("p", "", (), self.now, cold_start=COLD, priority=priority)
        if state is None:
            return None
        self.targets.begin_request(state, COLD)
        return state.record.incarnation

    def finish_all(self):
        for state in self.targets.targets_in_pool("p"):
            while state.in_flight:
                self.targets.end_request(state)


def test_a_target_is_cold_for_the_time_in_its_record_from_its_arrival():
    harness = Harness("a", "b")
    harness.update_record("a", 2.0)
    assert harness.cold() == {"a"}
    harness.now += 1.9
    # Receiving the same record again does not restart the time.
    harness.update_record("a", 2.0)
    assert harness.cold() == {"a"}
    harness.now += 0.2
    assert harness.cold() == set()


def test_a_later_record_that_says_warm_takes_effect_at_once():
    harness = Harness("a")
    harness.update_record("a", 3.0)
    harness.update_record("a", 0.0, revision=3)
    assert harness.cold() == set()


def test_a_target_whose_record_does_not_say_is_cold_for_the_pools_warm_up_time():
    harness = Harness()
    harness.update_record("a", None)
    assert harness.cold() == {"a"}
    harness.now += 3.1
    assert harness.cold() == set()


def test_an_unreachable_target_is_cold_for_record_expiry_plus_warm_up():
    harness = Harness("a")
    harness.state("a").record_unreachable(harness.now)
    harness.now += 6.9
    assert harness.cold() == {"a"}
    harness.now += 0.2
    assert harness.cold() == set()


def test_a_target_that_answers_after_being_unreachable_is_cold_again():
    harness = Harness("a")
    harness.state("a").record_unreachable(harness.now)
    harness.now += 20.0
    harness.state("a").record_answer(harness.now)
    assert harness.cold() == {"a"}
    harness.now += 3.1
    assert harness.cold() == set()


def test_a_record_from_before_the_failure_does_not_make_a_target_warm():
    harness = Harness("a")
    harness.state("a").record_unreachable(harness.now)
    harness.now += 0.5
    harness.update_record("a", 0.0)
    assert harness.cold() == {"a"}
    harness.now += 2.0
    harness.update_record("a", 0.0, revision=3)
    assert harness.cold() == set()


def test_targets_of_a_released_hall_are_cold_regardless_of_their_records():
    harness = Harness("a")
    harness.targets.update_hall(HallStatus("z", 5, True))
    harness.targets.update_hall(HallStatus("z", 5, False))
    harness.update_record("a", 0.0)
    assert harness.cold() == {"a"}
    harness.now += 3.1
    assert harness.cold() == set()


def test_a_later_start_is_cold_by_its_own_record():
    harness = Harness("a")
    harness.update_record("a", 0.0, revision=2, started=1)
    harness.update_record("a", 3.0, revision=3, started=2)
    assert harness.cold() == {"a"}


def test_warm_targets_with_a_free_slot_are_preferred():
    harness = Harness("warm", "cold", slots=3)
    harness.update_record("cold", 10.0)
    assert [harness.send() for _ in range(3)] == ["warm"] * 3
    assert harness.send() == "cold"


def test_a_pool_without_a_limit_has_no_cold_targets():
    harness = Harness("a")
    harness.update_record("a", 10.0)
    assert harness.targets.cold_targets("p", None, harness.now) == []
    assert harness.targets.choose("p", "", (), harness.now) is not None


def test_excess_requests_to_cold_targets_are_refused_with_a_retry_delay():
    harness = Harness("a", members=("m1",))
    harness.update_record("a", 10.0)
    sent = 0
    for _ in range(50):
        sent += harness.send() is not None
        harness.finish_all()
        harness.now += 0.1
    # 3.5 of the 4 requests per second are used.
    assert 16 <= sent <= 19
    wait = pool_refusal(
        harness.targets, PoolRecord("p", 0, cold_start=COLD), harness.now
    ).retry_after
    assert 0.0 < wait <= 5.0


def test_a_permit_is_left_to_a_more_urgent_request_that_was_refused():
    harness = Harness("a")
    harness.update_record("a", 10.0)
    assert harness.send(priority=1) == "a"
    assert harness.send(priority=0) is None
    harness.now += 0.4
    assert harness.send(priority=2) is None
    assert harness.send(priority=0) == "a"
    harness.now += 2.0
    assert harness.send(priority=2) == "a"


@pytest.mark.parametrize("members", [(), ("m2", "m3", "m4", "m5")])
def test_an_instance_without_members_or_share_sends_nothing_to_cold_targets(members):
    harness = Harness("a", members=members)
    harness.update_record("a", 10.0)
    assert harness.send() is None
