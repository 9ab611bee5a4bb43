"""Tests that a quarantined request gets three trials, the first at once if it has rivals."""

from whinrack.quarantine import Case, TargetEnd
from whinrack.quarantine._trials import (
    seconds_until_rival_trial,
    seconds_until_trial,
    seconds_until_trial_has_run,
)

NOW = 1_000_000.0
CASE = Case(fingerprint="f").with_end(TargetEnd("t"), NOW)


def test_first_trial_is_due_half_a_minute_after_the_last_end():
    assert seconds_until_trial(CASE, NOW + 10.0) == 20.0
    assert seconds_until_trial(CASE, NOW + 31.0) == 0.0


def test_second_trial_is_due_after_a_longer_pause():
    assert seconds_until_trial(CASE.with_trial(NOW), NOW) == 300.0


def test_no_trial_follows_the_third():
    tried = CASE.with_trial(NOW).with_trial(NOW).with_trial(NOW)
    assert seconds_until_trial(tried, NOW + 1e9) is None


def test_clock_that_was_set_back_does_not_extend_the_pause():
    assert seconds_until_trial(CASE, NOW - 500.0) == 30.0


NEVER = float("inf")


def test_first_trial_of_a_request_with_rivals_is_due_at_once():
    assert seconds_until_rival_trial(0, NEVER, [NEVER]) == 0.0


def test_rivals_are_tried_one_after_the_other():
    assert seconds_until_rival_trial(0, NEVER, [0.25, NEVER]) == 0.25
    assert seconds_until_rival_trial(0, NEVER, [0.5]) == 0.0


def test_later_trials_of_a_request_with_rivals_follow_after_longer_pauses():
    assert seconds_until_rival_trial(1, 0.5, [NEVER]) == 1.5
    assert seconds_until_rival_trial(2, 0.5, [NEVER]) == 299.5
    assert seconds_until_rival_trial(3, 1e9, [NEVER]) is None


def test_trial_is_expected_to_decide_for_two_seconds():
    assert seconds_until_trial_has_run(1, 0.5) == 1.5
    assert seconds_until_trial_has_run(1, 2.0) is None
    assert seconds_until_trial_has_run(0, NEVER) is None
