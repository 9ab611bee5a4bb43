"""Stated limits: reports arrive late, out of order, repeatedly and from other processes."""

import math

import pytest

from whinrack.dispatch import NO_LIMIT, LimitReport, StatedLimits


class Harness:
    """The stated limits of several instances with one simulated clock."""

    def __init__(self, *names):
        self.now = 100.0
        self.changes = []
        self.limits = {name: self.start(name) for name in names}

    def start(self, name):
        limits = StatedLimits(name, lambda: self.now)
        limits.on_change.append(self.changes.append)
        return limits

    def exchange(self, sender, receiver):
        self.limits[receiver].merge_reports(self.limits[sender].next_reports(), sender)

    def rates(self):
        return [limits.rate("t") for limits in self.limits.values()]


def report(rate, age=0.0, sequence=1, observer=7, target="t"):
    return LimitReport(target, rate, observer, sequence, age)


def test_a_limit_and_its_end_are_reported_to_peers():
    harness = Harness("a", "b")
    harness.limits["a"].record_answer("t", 1.5, sent_at=99.0, request="r1")
    harness.exchange("a", "b")
    assert harness.rates() == [1.5, 1.5]
    harness.now += 1.0
    harness.limits["b"].record_answer("t", NO_LIMIT, sent_at=100.5)
    harness.exchange("b", "a")
    assert harness.rates() == [NO_LIMIT, NO_LIMIT]
    assert [(change.rate, change.source) for change in harness.changes] == [
        (1.5, "answer"),
        (1.5, "a"),
        (NO_LIMIT, "answer"),
        (NO_LIMIT, "b"),
    ]


def test_an_answer_to_a_request_sent_before_the_statement_does_not_raise_the_limit():
    harness = Harness("a")
    harness.limits["a"].record_answer("t", 1.0, sent_at=99.9)
    harness.now += 2.0
    harness.limits["a"].record_answer("t", NO_LIMIT, sent_at=99.5)
    harness.limits["a"].record_answer("t", 3.0, sent_at=99.5)
    assert harness.rates() == [1.0]
    harness.limits["a"].record_answer("t", 0.5, sent_at=99.5)
    assert harness.rates() == [0.5]


def test_a_late_answer_without_a_limit_does_not_override_a_newer_limit_of_a_peer():
    """Guards against answers without a limit that refresh the time at which a limit ended."""
    harness = Harness("a", "b")
    harness.limits["a"].record_answer("t", 1.0, sent_at=99.9)
    harness.now += 1.0
    harness.limits["a"].record_answer("t", NO_LIMIT, sent_at=100.5)
    harness.now += 1.0
    harness.limits["b"].record_answer("t", 1.0, sent_at=101.9)
    harness.now += 0.1
    harness.limits["a"].record_answer("t", NO_LIMIT, sent_at=101.8)
    harness.exchange("b", "a")
    harness.exchange("a", "b")
    assert harness.rates() == [1.0, 1.0]


def test_the_end_of_a_limit_is_reported_for_a_limited_time():
    harness = Harness("a")
    harness.limits["a"].record_answer("t", 1.0, sent_at=99.9)
    for _ in range(70):
        harness.now += 1.0
        harness.limits["a"].record_answer("t", NO_LIMIT, sent_at=harness.now - 0.1)
    harness.limits["a"].drop_expired()
    assert harness.limits["a"].is_empty


def test_a_reconnected_peer_does_not_restore_an_ended_limit():
    harness = Harness("a", "b")
    harness.limits["a"].record_answer("t", 1.0, sent_at=100.0)
    harness.exchange("a", "b")
    harness.now += 10.0
    harness.limits["a"].record_answer("t", NO_LIMIT, sent_at=109.0)
    harness.now += 10.0
    harness.exchange("b", "a")
    assert harness.rates() == [NO_LIMIT, 1.0]
    harness.exchange("a", "b")
    assert harness.rates() == [NO_LIMIT, NO_LIMIT]


def test_a_report_that_peers_echo_still_expires():
    """Each hop adds a delay that is not included in the age."""
    harness = Harness("a", "b")
    harness.limits["a"].record_answer("t", 1.0, sent_at=100.0)
    for _ in range(100):
        for sender, receiver in (("a", "b"), ("b", "a")):
            harness.limits[sender].drop_expired()
            reports = harness.limits[sender].next_reports()
            harness.now += 0.4
            harness.limits[receiver].merge_reports(reports, sender)
            harness.now += 0.4
    assert harness.now > 160.0
    assert harness.rates() == [NO_LIMIT, NO_LIMIT]
    assert harness.changes[-1].source == "silence"


def test_reports_of_a_restarted_instance_are_accepted_although_its_sequence_restarts():
    harness = Harness("a", "b")
    harness.limits["a"].record_answer("t", 1.0, sent_at=100.0)
    harness.exchange("a", "b")
    harness.now += 1.0
    harness.limits["a"] = harness.start("a2")
    harness.limits["a"].record_answer("t", 2.0, sent_at=100.9)
    harness.exchange("a", "b")
    assert harness.rates() == [2.0, 2.0]


@pytest.mark.parametrize(
    "odd", [report(-1.0), report(math.nan), report(1.0, -5.0), report(1.0, math.nan)]
)
def test_invalid_reports_are_ignored(odd):
    harness = Harness("a")
    harness.limits["a"].merge_reports([odd], "b")
    assert harness.rates() == [NO_LIMIT]


def test_unlimited_targets_are_not_reported():
    harness = Harness("a")
    for sequence in range(1000):
        harness.limits["a"].record_answer(f"t{sequence}", NO_LIMIT, sent_at=100.0)
    assert harness.limits["a"].next_reports() == []


def test_kept_limits_and_reports_per_heartbeat_are_bounded():
    harness = Harness("a")
    for sequence in range(2000):
        harness.limits["a"].record_answer(f"t{sequence}", 1.0, sent_at=100.0)
    sent = harness.limits["a"].next_reports()
    assert len(harness.limits["a"].limited_targets()) == 500
    assert len(sent) == 16
    assert not {report.target for report in sent} & {
        report.target for report in harness.limits["a"].next_reports()
    }


def test_changes_are_reported_before_confirmations():
    harness = Harness("a")
    for sequence in range(45):
        harness.limits["a"].record_answer(f"t{sequence}", 1.0, sent_at=100.0)
    for _ in range(10):
        harness.limits["a"].next_reports()
    harness.now += 1.0
    for sequence in range(45):
        harness.limits["a"].record_answer(f"t{sequence}", 1.0, sent_at=100.5)
    harness.limits["a"].record_answer("t44", 0.5, sent_at=100.5)
    assert "t44" in {report.target for report in harness.limits["a"].next_reports()}
