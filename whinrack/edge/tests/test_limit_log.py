"""A target that states a different limit with each answer floods neither log nor peers."""

from whinrack.dispatch import NO_LIMIT, TargetRegistry
from whinrack.edge import _limit_log as module
from whinrack.edge._limit_log import LimitLog
from whinrack.observability import Metrics


class Harness:
    def __init__(self, monkeypatch):
        self.now = 100.0
        self.lines, self.notifications = [], []
        monkeypatch.setattr(module, "steady", lambda: self.now)
        monkeypatch.setattr(module, "log_event", lambda event, **fields: self.lines.append(fields))
        self.registry = TargetRegistry(clock=lambda: self.now)
        log = LimitLog(self.registry, Metrics(), lambda: self.notifications.append(self.now))
        self.registry.stated_limits.on_change.append(log.on_limit_changed)

    def state_limit(self, rate, target="t"):
        self.now += 0.1
        self.registry.stated_limits.record_answer(target, rate, self.now)


def test_frequent_changes_log_and_notify_once_a_second(monkeypatch):
    harness = Harness(monkeypatch)
    for number in range(100):
        harness.state_limit(1.0 + number % 7)
    assert 9 <= len(harness.lines) <= 11
    assert 9 <= len(harness.notifications) <= 11


def test_the_start_and_end_of_each_limit_are_logged(monkeypatch):
    harness = Harness(monkeypatch)
    for _ in range(5):
        harness.state_limit(1.0)
        harness.state_limit(NO_LIMIT)
    assert [line["rate"] for line in harness.lines] == [1.0, NO_LIMIT] * 5
    assert harness.lines[0]["share"] == 1.0


def test_the_log_interval_applies_to_each_target(monkeypatch):
    harness = Harness(monkeypatch)
    for target in ("a", "b", "c"):
        harness.state_limit(1.0, target)
    assert [line["target"] for line in harness.lines] == ["a", "b", "c"]
    assert len(harness.notifications) == 1
