"""How long a run may last that was given up before its end was known."""

from whinrack.dispatch import TargetRecord
from whinrack.dispatch._run_times import RunTimes
from whinrack.dispatch._target_state import TargetState

NOW = 100.0


def test_run_may_last_until_its_deadline_if_no_run_is_known():
    assert RunTimes().latest_end("p", NOW, NOW + 5.0) == NOW + 5.0


def test_run_may_last_twice_as_long_as_the_longest_recent_one():
    times = RunTimes()
    for seconds in (0.1, 0.4, 0.2):
        times.observe("p", seconds, NOW)
    assert times.latest_end("p", NOW, NOW + 5.0) == NOW + 0.8
    assert times.latest_end("p", NOW, NOW + 0.5) == NOW + 0.5
    assert times.latest_end("q", NOW, NOW + 5.0) == NOW + 5.0


def test_long_runs_of_earlier_periods_are_forgotten():
    times = RunTimes()
    times.observe("p", 4.0, NOW)
    times.observe("p", 0.1, NOW + 31.0)
    assert times.latest_end("p", NOW, NOW + 50.0) == NOW + 8.0
    times.observe("p", 0.1, NOW + 62.0)
    assert times.latest_end("p", NOW, NOW + 50.0) == NOW + 0.2


def test_slots_are_held_until_their_times():
    state = TargetState(TargetRecord("t", "p", "h", 1))
    for until in (NOW + 2.0, NOW + 1.0):
        state.hold_slot(until, NOW)
    assert state.held_slots(NOW) == 2
    assert state.held_slots(NOW + 1.0) == 1
    assert state.held_slots(NOW + 2.0) == 0
