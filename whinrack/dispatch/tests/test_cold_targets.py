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


class World:
    """A registry with a simulated clock."""

    def __init__(self, *names, members=("m1",), slots=1):
        self.now = 100.0
        self.slots = slots
        self.permits = SharedRatePermits("m1", lambda: members)
        self.targets = TargetRegistry(
            seed=1, rate_permits=self.permits, warm_up_limits=LIMITS, clock=lambda: self.now
        )
        for name in names:
            self.say(name, 0.0, version=1)

    def say(self, name, cold_left, version=2, started=0):
        self.targets.put(
            TargetRecord(
                name,
                "p",
                "127.0.0.1",
                1,
                data_hall="z",
                slots=self.slots,
                version=version,
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

    def send(self, rank=0):
        """Choose a target as for a request and return its name."""
        state = self.targets.choose("p", "", (), self.now, cold_start=COLD, priority=rank)
        if state is None:
            return None
        self.targets.begin_request(state, COLD)
        return state.record.incarnation

    def finish_all(self):
        for state in self.targets.targets_in_pool("p"):
            while state.in_flight:
                self.targets.end_request(state)


def test_a_target_is_cold_for_the_time_in_its_record_from_its_arrival():
    world = World("a", "b")
    world.say("a", 2.0)
    assert world.cold() == {"a"}
    world.now += 1.9
    # Receiving the same record again does not restart the time.
    world.say("a", 2.0)
    assert world.cold() == {"a"}
    world.now += 0.2
    assert world.cold() == set()


def test_a_later_record_that_says_warm_takes_effect_at_once():
    world = World("a")
    world.say("a", 3.0)
    world.say("a", 0.0, version=3)
    assert world.cold() == set()


def test_a_target_whose_record_does_not_say_is_cold_for_the_pools_warm_up_time():
    world = World()
    world.say("a", None)
    assert world.cold() == {"a"}
    world.now += 3.1
    assert world.cold() == set()


def test_an_unreachable_target_is_cold_for_record_expiry_plus_warm_up():
    world = World("a")
    world.state("a").record_unreachable(world.now)
    world.now += 6.9
    assert world.cold() == {"a"}
    world.now += 0.2
    assert world.cold() == set()


def test_a_target_that_answers_after_being_unreachable_is_cold_again():
    world = World("a")
    world.state("a").record_unreachable(world.now)
    world.now += 20.0
    world.state("a").record_answer(world.now)
    assert world.cold() == {"a"}
    world.now += 3.1
    assert world.cold() == set()


def test_a_record_from_before_the_failure_does_not_make_a_target_warm():
    world = World("a")
    world.state("a").record_unreachable(world.now)
    world.now += 0.5
    world.say("a", 0.0)
    assert world.cold() == {"a"}
    world.now += 2.0
    world.say("a", 0.0, version=3)
    assert world.cold() == set()


def test_targets_of_a_released_hall_are_cold_regardless_of_their_records():
    world = World("a")
    world.targets.update_hall(HallStatus("z", 5, True))
    world.targets.update_hall(HallStatus("z", 5, False))
    world.say("a", 0.0)
    assert world.cold() == {"a"}
    world.now += 3.1
    assert world.cold() == set()


def test_a_later_start_is_cold_by_its_own_record():
    world = World("a")
    world.say("a", 0.0, version=2, started=1)
    world.say("a", 3.0, version=3, started=2)
    assert world.cold() == {"a"}


def test_warm_targets_with_a_free_slot_are_preferred():
    world = World("warm", "cold", slots=3)
    world.say("cold", 10.0)
    assert [world.send() for _ in range(3)] == ["warm"] * 3
    assert world.send() == "cold"


def test_a_pool_without_a_limit_has_no_cold_targets():
    world = World("a")
    world.say("a", 10.0)
    assert world.targets.cold_targets("p", None, world.now) == []
    assert world.targets.choose("p", "", (), world.now) is not None


def test_excess_requests_to_cold_targets_are_refused_with_a_retry_delay():
    world = World("a", members=("m1",))
    world.say("a", 10.0)
    sent = 0
    for _ in range(50):
        sent += world.send() is not None
        world.finish_all()
        world.now += 0.1
    # 3.5 of the 4 requests per second are used.
    assert 16 <= sent <= 19
    wait = pool_refusal(world.targets, PoolRecord("p", 0, cold_start=COLD), world.now).retry_after
    assert 0.0 < wait <= 5.0


def test_a_permit_is_left_to_a_more_urgent_request_that_was_refused():
    world = World("a")
    world.say("a", 10.0)
    assert world.send(rank=1) == "a"
    assert world.send(rank=0) is None
    world.now += 0.4
    assert world.send(rank=2) is None
    assert world.send(rank=0) == "a"
    world.now += 2.0
    assert world.send(rank=2) == "a"


@pytest.mark.parametrize("members", [(), ("m2", "m3", "m4", "m5")])
def test_an_instance_without_members_or_share_sends_nothing_to_cold_targets(members):
    world = World("a", members=members)
    world.say("a", 10.0)
    assert world.send() is None
