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


class Harness:
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
def harness():
    return Harness()


def test_a_target_that_announces_leaving_gets_no_requests_although_its_record_is_active(harness):
    harness.handle("a", LEAVING)
    assert harness.chosen() == {"b"}
    assert not harness.put("a", started=5)
    harness.registry.replace_all([TargetRecord("a", "p", "h", 1, started=5)])
    assert harness.chosen() == set()


def test_leaving_is_announced_to_peers_once(harness):
    harness.handle("a", LEAVING)
    harness.handle("a", LEAVING)
    assert harness.spread == 1
    assert [record.incarnation for record in harness.registry.leaving_records()] == ["a"]


def test_an_answer_without_the_announcement_does_not_revoke_it(harness):
    harness.handle("a", LEAVING)
    harness.handle("a", TargetStatement())
    assert harness.chosen() == {"b"}


def test_a_leaving_target_stays_unused_after_its_record_is_removed_and_added_again(harness):
    harness.handle("a", LEAVING)
    harness.registry.remove("a")
    harness.put("a", started=5)
    assert harness.chosen() == {"b"}


def test_a_leaving_target_stays_unused_if_its_start_time_became_known_later(harness):
    harness.put("c", started=0)
    harness.handle("c", LEAVING)
    harness.put("c", started=9)
    harness.registry.remove("c")
    harness.put("c", started=9)
    assert harness.chosen() == {"a", "b"}


def test_a_late_answer_of_an_earlier_start_does_not_affect_a_later_start(harness):
    earlier = harness.state("a")
    harness.handle("a", LEAVING)
    harness.put("a", started=6)
    harness.intake.handle(earlier, LEAVING, harness.now, "r2")
    assert harness.chosen() == {"a", "b"}


def test_a_statement_of_another_target_at_the_same_address_is_ignored(harness):
    harness.handle("a", TargetStatement(is_misdirected=True, did_not_run=True, is_leaving=True))
    assert harness.chosen() == {"a", "b"}


def test_leaving_records_are_ordered_by_announcement(harness):
    for number in range(3):
        harness.put(f"t{number}", started=1)
    for number in (2, 0, 1):
        harness.handle(f"t{number}", LEAVING)
    told = [record.incarnation for record in harness.registry.leaving_records()]
    assert told == ["t2", "t0", "t1"]


def backoff(seconds):
    return TargetStatement(did_not_run=True, retry_after=seconds)


def test_a_target_gets_no_requests_during_a_back_off(harness):
    harness.handle("a", backoff(3.0))
    harness.now += 2.99
    assert harness.chosen() == {"b"}
    assert not harness.registry.has_eligible_target("p", {"b@5"}, harness.now)
    harness.now += 0.01
    assert harness.chosen() == {"a", "b"}


def test_a_shorter_back_off_does_not_shorten_a_running_one(harness):
    harness.handle("a", backoff(3.0))
    harness.now += 1.0
    harness.handle("a", backoff(0.5))
    harness.now += 1.9
    assert harness.chosen() == {"b"}
    harness.handle("a", backoff(1.0))
    harness.now += 0.9
    assert harness.chosen() == {"b"}


def test_a_back_off_survives_removal_of_the_record_and_ends_with_the_start(harness):
    harness.handle("a", backoff(30.0))
    harness.registry.remove("a")
    harness.put("a", started=5)
    assert harness.chosen() == {"b"}
    harness.put("a", started=6)
    assert harness.chosen() == {"a", "b"}


def test_a_back_off_is_limited_to_an_hour(harness):
    harness.handle("a", backoff(1e12))
    harness.now += 3599.0
    assert harness.chosen() == {"b"}
    harness.now += 2.0
    assert harness.chosen() == {"a", "b"}


def test_a_request_is_not_sent_if_the_target_asked_to_back_off_after_the_choice(harness):
    state = harness.state("a")
    harness.handle("a", backoff(3.0))
    assert not harness.registry.can_still_send(state, None, permit_until=None)
    harness.now += 3.0
    assert harness.registry.can_still_send(state, None, permit_until=None)


def test_a_limited_target_is_not_probed_during_a_back_off(harness):
    harness.handle("a", TargetStatement(did_not_run=True, rate_limit=1.0, retry_after=30.0))
    harness.now += 10.0
    assert harness.registry.stated_limits.is_probe_due("a@5")
    assert harness.chosen() == {"b"}


def test_the_retry_delay_ends_with_the_first_back_off(harness):
    harness.handle("a", backoff(3.0))
    assert pool_refusal(harness.registry, POOL, harness.now).retry_after == BUSY_RETRY_SECONDS
    assert (
        target_full_refusal(harness.registry, POOL, harness.now).retry_after == BUSY_RETRY_SECONDS
    )
    harness.handle("b", backoff(5.0))
    harness.now += 1.0
    refusal = pool_refusal(harness.registry, POOL, harness.now)
    assert (refusal.code, refusal.retry_after) == ("targets_overloaded", 2.0)
    assert target_full_refusal(harness.registry, POOL, harness.now).retry_after == 2.0


def test_the_retry_delay_is_the_shorter_of_back_off_and_warm_up(harness):
    cold = PoolRecord("p", 0, cold_start=ColdStart(seconds=100.0, rate=0.0))
    for name in ("a", "b"):
        harness.put(name, started=6)
        harness.state(name).cold_state.update(100.0, harness.now)
    harness.handle("a", backoff(0.125))
    refusal = pool_refusal(harness.registry, cold, harness.now)
    assert (refusal.code, refusal.retry_after) == ("targets_cold", 0.125)


def test_the_back_off_determines_the_retry_delay_if_other_targets_are_in_emptied_halls(harness):
    harness.registry.put(TargetRecord("c", "p", "h", 1, data_hall="z"))
    harness.registry.update_hall(HallStatus("z", 2, True))
    harness.handle("a", backoff(3.0))
    harness.handle("b", backoff(4.0))
    assert pool_refusal(harness.registry, POOL, harness.now).retry_after == 3.0
    assert harness.registry.choose("p", "", (), harness.now) is None


def test_unknown_fields_are_counted_by_name_up_to_a_maximum(harness):
    names = [f"new-{number}" for number in range(25)]
    harness.handle("a", TargetStatement(unknown_fields=tuple(names)))
    harness.handle("a", TargetStatement(unknown_fields=("new-0", "new-24")))
    text = harness.metrics.render().decode()
    counted = [line for line in text.splitlines() if "unknown_statements_total{" in line]
    assert len(counted) == 21
    assert 'whinrack_unknown_statements_total{field="new-0"} 2.0' in counted
    assert 'whinrack_unknown_statements_total{field="others"} 6.0' in counted
