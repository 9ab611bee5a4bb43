"""Tests that a quarantined request gets three trials with increasing pauses."""

from whinrack.quarantine import Case, TargetEnd
from whinrack.quarantine._trials import seconds_until_trial

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
