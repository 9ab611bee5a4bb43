"""How long to wait for an answer of a store that is quick, slow, or turns slow."""

import pytest

from whinrack.store import AnswerTimes

_QUICK = 0.004
# A slow store of the days that were played.
_SLOW = 0.39
# Slower than any that was played.
_SLOWER = 0.7


def taught(seconds, count=50):
    times = AnswerTimes()
    for _ in range(count):
        times.answered(seconds)
    return times


def test_the_wait_is_short_while_answers_are_quick():
    assert AnswerTimes().patience == taught(_QUICK).patience == 0.5


def test_a_store_that_turns_slow_is_waited_for():
    times = taught(_QUICK)
    for _ in range(50):
        assert times.patience > _SLOW
        times.answered(_SLOW)


def test_a_store_slower_than_the_wait_is_reached_by_the_next_call_and_all_later_ones():
    times = taught(_QUICK)
    assert times.patience < _SLOWER
    times.lost()
    for _ in range(50):
        assert times.patience > _SLOWER
        times.answered(_SLOWER)


def test_the_wait_is_short_again_after_a_silence():
    times = taught(_QUICK)
    for _ in range(20):
        times.lost()
    assert times.patience == 1.2
    times.answered(_QUICK)
    assert times.patience == pytest.approx(0.5)


def test_an_answer_that_was_held_for_an_unknown_time_ends_the_longer_wait_only():
    times = taught(_SLOWER)
    usual = times.patience
    times.lost()
    times.answered_within(2 * _SLOWER)
    assert times.patience > usual
    times.answered_within(_QUICK)
    assert times.patience == usual
