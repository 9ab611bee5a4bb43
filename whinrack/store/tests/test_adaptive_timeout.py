"""Tests of the adaptive timeout with fast and slow stores."""

import pytest

from whinrack.store import AdaptiveTimeout

_FAST = 0.004
# Response time of the slow store in the simulated days.
_SLOW = 0.39
# Longer than any response time in the simulated days.
_SLOWER = 0.7
_WATCH_SECONDS = 1.0
# Longest time for which a call on a silent connection may wait.
_MAX_SILENT_SECONDS = 1.5


def timeout_after(seconds, count=50):
    timeout = AdaptiveTimeout()
    for _ in range(count):
        timeout.record_response(seconds)
    return timeout


def test_timeout_is_minimal_while_answers_are_fast():
    assert AdaptiveTimeout().seconds == timeout_after(_FAST).seconds == 0.5


def test_timeout_covers_a_store_that_becomes_slow():
    timeout = timeout_after(_FAST)
    for _ in range(50):
        assert timeout.seconds > _SLOW
        timeout.record_response(_SLOW)


def test_timeout_covers_a_slower_store_after_the_first_lost_answer():
    timeout = timeout_after(_FAST)
    assert timeout.seconds < _SLOWER
    timeout.record_timeout()
    for _ in range(50):
        assert timeout.seconds > _SLOWER
        timeout.record_response(_SLOWER)


def test_timeout_returns_to_the_minimum_after_an_outage():
    timeout = timeout_after(_FAST)
    for _ in range(5000):
        timeout.record_timeout()
    assert timeout.seconds == 0.8
    timeout.record_response(_FAST)
    assert timeout.seconds == pytest.approx(0.5)


def test_answer_of_unknown_response_time_only_ends_the_backoff():
    timeout = timeout_after(_SLOWER)
    usual = timeout.seconds
    timeout.record_timeout()
    timeout.record_response_within(2 * _SLOWER)
    assert timeout.seconds > usual
    timeout.record_response_within(_FAST)
    assert timeout.seconds == usual


def test_a_silent_call_takes_no_longer_whatever_the_answer_times_were():
    timeouts = [
        timeout_after(seconds, count) for seconds in (_FAST, 0.3, _SLOWER) for count in (1, 9)
    ]
    after_silence = timeout_after(_FAST)
    after_silence.record_timeout()
    for timeout in [AdaptiveTimeout(), after_silence, *timeouts]:
        held = timeout.shorten(_WATCH_SECONDS)
        assert 0.5 < held <= _WATCH_SECONDS
        assert held + timeout.seconds == pytest.approx(_MAX_SILENT_SECONDS)


def test_a_short_call_is_not_held_at_a_slow_store():
    assert timeout_after(_SLOWER).shorten(0.05) == 0.0
