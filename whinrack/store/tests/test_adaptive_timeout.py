"""How long to wait for an answer of a store that is quick, slow, or turns slow."""

import pytest

from whinrack.store import AdaptiveTimeout

_QUICK = 0.004
# A slow store of the days that were played.
_SLOW = 0.39
# Slower than any that was played.
_SLOWER = 0.7


def taught(seconds, count=50):
    timeout = AdaptiveTimeout()
    for _ in range(count):
        timeout.record_response(seconds)
    return timeout


def test_the_wait_is_short_while_answers_are_quick():
    assert AdaptiveTimeout().seconds == taught(_QUICK).seconds == 0.5


def test_a_store_that_turns_slow_is_waited_for():
    timeout = taught(_QUICK)
    for _ in range(50):
        assert timeout.seconds > _SLOW
        timeout.record_response(_SLOW)


def test_a_store_slower_than_the_wait_is_reached_by_the_next_call_and_all_later_ones():
    timeout = taught(_QUICK)
    assert timeout.seconds < _SLOWER
    timeout.record_timeout()
    for _ in range(50):
        assert timeout.seconds > _SLOWER
        timeout.record_response(_SLOWER)


def test_the_wait_is_short_again_after_a_silence():
    timeout = taught(_QUICK)
    for _ in range(5000):
        timeout.record_timeout()
    assert timeout.seconds == 0.8
    timeout.record_response(_QUICK)
    assert timeout.seconds == pytest.approx(0.5)


def test_an_answer_that_was_held_for_an_unknown_time_ends_the_longer_wait_only():
    timeout = taught(_SLOWER)
    usual = timeout.seconds
    timeout.record_timeout()
    timeout.record_response_within(2 * _SLOWER)
    assert timeout.seconds > usual
    timeout.record_response_within(_QUICK)
    assert timeout.seconds == usual
