"""Statements of targets in their answers take effect at once, for the instances concerned."""

import pytest

from whinrack.dispatch import (
    ColdStart,
    HallStatus,
    PoolRecord,
    TargetRecord,
    TargetRegistry,
    TargetStatement,
)
from whinrack.dispatch._refusals import BUSY_RETRY_SECONDS, pool_refusal, target_full_refusal
from whinrack.dispatch._statements import StatementHandler
from whinrack.observability import Metrics

POOL = PoolRecord("p", 0)
LEAVING = TargetStatement(is_leaving=True)


class World:
    """One instance's registry with a simulated clock and two targets."""

    def __init__(self):
        self.now = 100.0
        self.spread = 0
        self.registry = TargetRegistry(seed=1, clock=lambda: self.now)
        self.registry.on_target_leaving.append(self.count_spread)
        self.metrics = Metrics()
        self.intake = StatementHandler(self.registry, self.metrics)
        self.put("a", started=5)
        self.put("b", started=5)

    def count_spread(self):
        self.spread += 1

    def put(self, name, started, leaving=False):
        record = TargetRecord(name, "p", "h", 1, started=started, is_leaving=leaving)
        return self.registry.put(record)

    def state(self, name):
        states = self.registry.targets_in_pool("p")
        return next(state for state in states if state.record.incarnation == name)

    def handle(self, name, statement):
        self.intake.handle(self.state(name), statement, self.now, "r1")

    def chosen(self):
        """Return the names of all targets that are chosen for requests."""
        states = [self.registry.choose("p", "", (), self.now) for _ in range(50)]
        return {state.record.incarnation for state in states if state is not None}


@pytest.fixture
def world():
    return World()


def test_a_target_that_announces_leaving_gets_no_requests_although_its_record_is_active(world):
    world.handle("a", LEAVING)
    assert world.chosen() == {"b"}
    assert not world.put("a", started=5)
    world.registry.replace_all([TargetRecord("a", "p", "h", 1, started=5)])
    assert world.chosen() == set()


def test_leaving_is_announced_to_peers_once(world):
    world.handle("a", LEAVING)
    world.handle("a", LEAVING)
    assert world.spread == 1
    assert [record.incarnation for record in world.registry.leaving_records()] == ["a"]


def test_an_answer_without_the_announcement_does_not_revoke_it(world):
    world.handle("a", LEAVING)
    world.handle("a", TargetStatement())
    assert world.chosen() == {"b"}


def test_a_leaving_target_stays_unused_after_its_record_is_removed_and_added_again(world):
    world.handle("a", LEAVING)
    world.registry.remove("a")
    world.put("a", started=5)
    assert world.chosen() == {"b"}


def test_a_leaving_target_stays_unused_if_its_start_time_became_known_later(world):
    world.put("c", started=0)
    world.handle("c", LEAVING)
    world.put("c", started=9)
    world.registry.remove("c")
    world.put("c", started=9)
    assert world.chosen() == {"a", "b"}


def test_a_late_answer_of_an_earlier_start_does_not_affect_a_later_start(world):
    earlier = world.state("a")
    world.handle("a", LEAVING)
    world.put("a", started=6)
    world.intake.handle(earlier, LEAVING, world.now, "r2")
    assert world.chosen() == {"a", "b"}


def test_a_statement_of_another_target_at_the_same_address_is_ignored(world):
    world.handle("a", TargetStatement(is_misdirected=True, did_not_run=True, is_leaving=True))
    assert world.chosen() == {"a", "b"}


def test_leaving_records_are_ordered_by_announcement(world):
    for number in range(3):
        world.put(f"t{number}", started=1)
    for number in (2, 0, 1):
        world.handle(f"t{number}", LEAVING)
    told = [record.incarnation for record in world.registry.leaving_records()]
    assert told == ["t2", "t0", "t1"]


def backoff(seconds):
    return TargetStatement(did_not_run=True, retry_after=seconds)


def test_a_target_gets_no_requests_during_a_back_off(world):
    world.handle("a", backoff(3.0))
    world.now += 2.99
    assert world.chosen() == {"b"}
    assert not world.registry.has_eligible_target("p", {"b@5"}, world.now)
    world.now += 0.01
    assert world.chosen() == {"a", "b"}


def test_a_shorter_back_off_does_not_shorten_a_running_one(world):
    world.handle("a", backoff(3.0))
    world.now += 1.0
    world.handle("a", backoff(0.5))
    world.now += 1.9
    assert world.chosen() == {"b"}
    world.handle("a", backoff(1.0))
    world.now += 0.9
    assert world.chosen() == {"b"}


def test_a_back_off_survives_removal_of_the_record_and_ends_with_the_start(world):
    world.handle("a", backoff(30.0))
    world.registry.remove("a")
    world.put("a", started=5)
    assert world.chosen() == {"b"}
    world.put("a", started=6)
    assert world.chosen() == {"a", "b"}


def test_a_back_off_is_limited_to_an_hour(world):
    world.handle("a", backoff(1e12))
    world.now += 3599.0
    assert world.chosen() == {"b"}
    world.now += 2.0
    assert world.chosen() == {"a", "b"}


def test_a_request_is_not_sent_if_the_target_asked_to_back_off_after_the_choice(world):
    state = world.state("a")
    world.handle("a", backoff(3.0))
    assert not world.registry.can_still_send(state, None, permit_until=None)
    world.now += 3.0
    assert world.registry.can_still_send(state, None, permit_until=None)


def test_a_limited_target_is_not_probed_during_a_back_off(world):
    world.handle("a", TargetStatement(did_not_run=True, rate_limit=1.0, retry_after=30.0))
    world.now += 10.0
    assert world.registry.stated_limits.is_probe_due("a@5")
    assert world.chosen() == {"b"}


def test_the_retry_delay_ends_with_the_first_back_off(world):
    world.handle("a", backoff(3.0))
    assert pool_refusal(world.registry, POOL, world.now).retry_after == BUSY_RETRY_SECONDS
    assert target_full_refusal(world.registry, POOL, world.now).retry_after == BUSY_RETRY_SECONDS
    world.handle("b", backoff(5.0))
    world.now += 1.0
    refusal = pool_refusal(world.registry, POOL, world.now)
    assert (refusal.code, refusal.retry_after) == ("targets_overloaded", 2.0)
    assert target_full_refusal(world.registry, POOL, world.now).retry_after == 2.0


def test_the_retry_delay_is_the_shorter_of_back_off_and_warm_up(world):
    cold = PoolRecord("p", 0, cold_start=ColdStart(seconds=100.0, rate=0.0))
    for name in ("a", "b"):
        world.put(name, started=6)
        world.state(name).cold_state.update(100.0, world.now)
    world.handle("a", backoff(0.125))
    refusal = pool_refusal(world.registry, cold, world.now)
    assert (refusal.code, refusal.retry_after) == ("targets_cold", 0.125)


def test_the_back_off_determines_the_retry_delay_if_other_targets_are_in_emptied_halls(world):
    world.registry.put(TargetRecord("c", "p", "h", 1, data_hall="z"))
    world.registry.update_hall(HallStatus("z", 2, True))
    world.handle("a", backoff(3.0))
    world.handle("b", backoff(4.0))
    assert pool_refusal(world.registry, POOL, world.now).retry_after == 3.0
    assert world.registry.choose("p", "", (), world.now) is None


def test_unknown_fields_are_counted_by_name_up_to_a_maximum(world):
    names = [f"new-{number}" for number in range(25)]
    world.handle("a", TargetStatement(unknown_fields=tuple(names)))
    world.handle("a", TargetStatement(unknown_fields=("new-0", "new-24")))
    text = world.metrics.render().decode()
    counted = [line for line in text.splitlines() if "unknown_statements_total{" in line]
    assert len(counted) == 21
    assert 'whinrack_unknown_statements_total{field="new-0"} 2.0' in counted
    assert 'whinrack_unknown_statements_total{field="others"} 6.0' in counted
