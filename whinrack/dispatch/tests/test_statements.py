"""What targets state of themselves binds whom it concerns, from the answer on."""

import pytest

from whinrack.dispatch import TargetRecord, TargetRegistry, TargetStatement
from whinrack.dispatch._statements import StatementIntake
from whinrack.observability import Metrics

LEAVING = TargetStatement(leaving=True)


class World:
    """One instance's registry under a clock of its own, with two targets."""

    def __init__(self):
        self.now = 100.0
        self.spread = 0
        self.registry = TargetRegistry(seed=1, clock=lambda: self.now)
        self.registry.heard_leaving.append(self.count_spread)
        self.intake = StatementIntake(self.registry, Metrics())
        self.put("a", started=5)
        self.put("b", started=5)

    def count_spread(self):
        self.spread += 1

    def put(self, name, started, leaving=False):
        record = TargetRecord(name, "p", "h", 1, started=started, leaving=leaving)
        return self.registry.put(record)

    def state(self, name):
        states = self.registry.of_pool("p")
        return next(state for state in states if state.record.incarnation == name)

    def hear(self, name, statement):
        self.intake.hear(self.state(name), statement, self.now, "r1")

    def chosen(self):
        """Return the names of all targets that requests go to."""
        states = [self.registry.choose("p", "", (), self.now) for _ in range(50)]
        return {state.record.incarnation for state in states if state is not None}


@pytest.fixture
def world():
    return World()


def test_a_target_that_says_that_it_leaves_gets_nothing_though_its_record_says_ready(world):
    world.hear("a", LEAVING)
    assert world.chosen() == {"b"}
    assert not world.put("a", started=5)
    world.registry.replace_all([TargetRecord("a", "p", "h", 1, started=5)])
    assert world.chosen() == set()


def test_its_leaving_is_told_to_peers_at_once_and_once(world):
    world.hear("a", LEAVING)
    world.hear("a", LEAVING)
    assert world.spread == 1
    assert [record.incarnation for record in world.registry.leaving()] == ["a"]


def test_an_answer_without_the_word_does_not_take_it_back(world):
    world.hear("a", LEAVING)
    world.hear("a", TargetStatement())
    assert world.chosen() == {"b"}


def test_it_stays_out_of_use_when_its_record_goes_and_comes_back(world):
    world.hear("a", LEAVING)
    world.registry.remove("a")
    world.put("a", started=5)
    assert world.chosen() == {"b"}


def test_also_where_its_start_became_known_after_its_word(world):
    world.put("c", started=0)
    world.hear("c", LEAVING)
    world.put("c", started=9)
    world.registry.remove("c")
    world.put("c", started=9)
    assert world.chosen() == {"a", "b"}


def test_a_later_start_is_in_use_and_a_late_answer_of_the_earlier_one_changes_nothing(world):
    earlier = world.state("a")
    world.hear("a", LEAVING)
    world.put("a", started=6)
    world.intake.hear(earlier, LEAVING, world.now, "r2")
    assert world.chosen() == {"a", "b"}


def test_what_another_target_at_its_address_states_is_not_its_own(world):
    world.hear("a", TargetStatement(is_other_target=True, did_not_run=True, leaving=True))
    assert world.chosen() == {"a", "b"}


def test_peers_are_told_of_the_latest_last(world):
    for number in range(3):
        world.put(f"t{number}", started=1)
    for number in (2, 0, 1):
        world.hear(f"t{number}", LEAVING)
    told = [record.incarnation for record in world.registry.leaving()]
    assert told == ["t2", "t0", "t1"]
