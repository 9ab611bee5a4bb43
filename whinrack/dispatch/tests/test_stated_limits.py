"""Stated limits: reports arrive late, out of order, repeatedly and from other processes."""

import math

import pytest

from whinrack.dispatch import NO_LIMIT, LimitReport, StatedLimits


class World:
    """The stated limits of several instances with one simulated clock."""

    def __init__(self, *names):
        self.now = 100.0
        self.changes = []
        self.limits = {name: self.start(name) for name in names}

    def start(self, name):
        limits = StatedLimits(name, lambda: self.now)
        limits.on_change.append(self.changes.append)
        return limits

    def tell(self, giver, taker):
        self.limits[taker].merge_reports(self.limits[giver].next_reports(), giver)

    def rates(self):
        return [limits.rate("t") for limits in self.limits.values()]


def word(rate, age=0.0, number=1, hearer=7, target="t"):
    return LimitReport(target, rate, hearer, number, age)


def test_a_limit_and_its_end_are_reported_to_peers():
    world = World("a", "b")
    world.limits["a"].record_answer("t", 1.5, sent_at=99.0, request="r1")
    world.tell("a", "b")
    assert world.rates() == [1.5, 1.5]
    world.now += 1.0
    world.limits["b"].record_answer("t", NO_LIMIT, sent_at=100.5)
    world.tell("b", "a")
    assert world.rates() == [NO_LIMIT, NO_LIMIT]
    assert [(change.rate, change.source) for change in world.changes] == [
        (1.5, "answer"),
        (1.5, "a"),
        (NO_LIMIT, "answer"),
        (NO_LIMIT, "b"),
    ]


def test_an_answer_to_a_request_sent_before_the_statement_does_not_raise_the_limit():
    world = World("a")
    world.limits["a"].record_answer("t", 1.0, sent_at=99.9)
    world.now += 2.0
    world.limits["a"].record_answer("t", NO_LIMIT, sent_at=99.5)
    world.limits["a"].record_answer("t", 3.0, sent_at=99.5)
    assert world.rates() == [1.0]
    world.limits["a"].record_answer("t", 0.5, sent_at=99.5)
    assert world.rates() == [0.5]


def test_a_late_answer_without_a_limit_does_not_override_a_newer_limit_of_a_peer():
    """Guards against answers without a limit that refresh the time at which a limit ended."""
    world = World("a", "b")
    world.limits["a"].record_answer("t", 1.0, sent_at=99.9)
    world.now += 1.0
    world.limits["a"].record_answer("t", NO_LIMIT, sent_at=100.5)
    world.now += 1.0
    world.limits["b"].record_answer("t", 1.0, sent_at=101.9)
    world.now += 0.1
    world.limits["a"].record_answer("t", NO_LIMIT, sent_at=101.8)
    world.tell("b", "a")
    world.tell("a", "b")
    assert world.rates() == [1.0, 1.0]


def test_the_end_of_a_limit_is_reported_for_a_limited_time():
    world = World("a")
    world.limits["a"].record_answer("t", 1.0, sent_at=99.9)
    for _ in range(70):
        world.now += 1.0
        world.limits["a"].record_answer("t", NO_LIMIT, sent_at=world.now - 0.1)
    world.limits["a"].drop_expired()
    assert world.limits["a"].is_empty


def test_a_reconnected_peer_does_not_restore_an_ended_limit():
    world = World("a", "b")
    world.limits["a"].record_answer("t", 1.0, sent_at=100.0)
    world.tell("a", "b")
    world.now += 10.0
    world.limits["a"].record_answer("t", NO_LIMIT, sent_at=109.0)
    world.now += 10.0
    world.tell("b", "a")
    assert world.rates() == [NO_LIMIT, 1.0]
    world.tell("a", "b")
    assert world.rates() == [NO_LIMIT, NO_LIMIT]


def test_a_report_that_peers_echo_still_expires():
    """Each hop adds a delay that is not included in the age."""
    world = World("a", "b")
    world.limits["a"].record_answer("t", 1.0, sent_at=100.0)
    for _ in range(100):
        for giver, taker in (("a", "b"), ("b", "a")):
            world.limits[giver].drop_expired()
            words = world.limits[giver].next_reports()
            world.now += 0.4
            world.limits[taker].merge_reports(words, giver)
            world.now += 0.4
    assert world.now > 160.0
    assert world.rates() == [NO_LIMIT, NO_LIMIT]
    assert world.changes[-1].source == "silence"


def test_reports_of_a_restarted_instance_are_accepted_although_its_sequence_restarts():
    world = World("a", "b")
    world.limits["a"].record_answer("t", 1.0, sent_at=100.0)
    world.tell("a", "b")
    world.now += 1.0
    world.limits["a"] = world.start("a2")
    world.limits["a"].record_answer("t", 2.0, sent_at=100.9)
    world.tell("a", "b")
    assert world.rates() == [2.0, 2.0]


@pytest.mark.parametrize("odd", [word(-1.0), word(math.nan), word(1.0, -5.0), word(1.0, math.nan)])
def test_invalid_reports_are_ignored(odd):
    world = World("a")
    world.limits["a"].merge_reports([odd], "b")
    assert world.rates() == [NO_LIMIT]


def test_unlimited_targets_are_not_reported():
    world = World("a")
    for number in range(1000):
        world.limits["a"].record_answer(f"t{number}", NO_LIMIT, sent_at=100.0)
    assert world.limits["a"].next_reports() == []


def test_kept_limits_and_reports_per_heartbeat_are_bounded():
    world = World("a")
    for number in range(2000):
        world.limits["a"].record_answer(f"t{number}", 1.0, sent_at=100.0)
    told = world.limits["a"].next_reports()
    assert len(world.limits["a"].limited_targets()) == 500
    assert len(told) == 16
    assert not {each.target for each in told} & {
        each.target for each in world.limits["a"].next_reports()
    }


def test_changes_are_reported_before_confirmations():
    world = World("a")
    for number in range(45):
        world.limits["a"].record_answer(f"t{number}", 1.0, sent_at=100.0)
    for _ in range(10):
        world.limits["a"].next_reports()
    world.now += 1.0
    for number in range(45):
        world.limits["a"].record_answer(f"t{number}", 1.0, sent_at=100.5)
    world.limits["a"].record_answer("t44", 0.5, sent_at=100.5)
    assert "t44" in {each.target for each in world.limits["a"].next_reports()}
