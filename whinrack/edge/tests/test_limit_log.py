"""A target that states another number with each answer floods neither the log nor the peers."""

from whinrack.dispatch import NO_LIMIT, TargetRegistry
from whinrack.edge import _limit_log as module
from whinrack.edge._limit_log import LimitLog
from whinrack.observability import Metrics


class World:
    def __init__(self, monkeypatch):
        self.now = 100.0
        self.lines, self.spreads = [], []
        monkeypatch.setattr(module, "steady", lambda: self.now)
        monkeypatch.setattr(module, "log_event", lambda event, **fields: self.lines.append(fields))
        self.registry = TargetRegistry(clock=lambda: self.now)
        log = LimitLog(self.registry, Metrics(), lambda: self.spreads.append(self.now))
        self.registry.stated_limits.on_change.append(log.changed)

    def answer(self, rate, target="t"):
        self.now += 0.1
        self.registry.stated_limits.record_answer(target, rate, self.now)


def test_many_numbers_give_a_line_and_a_heartbeat_a_second(monkeypatch):
    world = World(monkeypatch)
    for number in range(100):
        world.answer(1.0 + number % 7)
    assert 9 <= len(world.lines) <= 11
    assert 9 <= len(world.spreads) <= 11


def test_the_start_and_the_end_of_each_limit_have_a_line(monkeypatch):
    world = World(monkeypatch)
    for _ in range(5):
        world.answer(1.0)
        world.answer(NO_LIMIT)
    assert [line["rate"] for line in world.lines] == [1.0, NO_LIMIT] * 5
    assert world.lines[0]["share"] == 1.0


def test_another_target_has_lines_of_its_own(monkeypatch):
    world = World(monkeypatch)
    for target in ("a", "b", "c"):
        world.answer(1.0, target)
    assert [line["target"] for line in world.lines] == ["a", "b", "c"]
    assert len(world.spreads) == 1
