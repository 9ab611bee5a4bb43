"""Silence timeouts of targets, and pacing of many streams."""

import pytest

from whinrack.dispatch import EngineCapacity, PoolRecord
from whinrack.dispatch._answer_times import AnswerTimes
from whinrack.dispatch._pacing import StreamPacing

SERVICE = PoolRecord("app", 100)
ENGINES = PoolRecord(
    "lm", 100, EngineCapacity(slots=12, token_capacity=100_000, max_event_tokens=5)
)


def test_the_timeout_is_the_maximum_before_the_first_answer():
    times = AnswerTimes()
    assert times.silence_timeout(SERVICE) == 1.5
    assert times.silence_timeout(ENGINES) == 3.0


@pytest.mark.parametrize(
    ("usual", "pool", "seconds"),
    [(0.005, SERVICE, 0.15), (0.05, SERVICE, 0.3), (9.0, SERVICE, 1.5), (0.05, ENGINES, 1.0)],
)
def test_the_timeout_follows_the_usual_answer_time_of_the_pool(usual, pool, seconds):
    times = AnswerTimes()
    for _ in range(10):
        times.observe(pool.name, usual)
    assert times.silence_timeout(pool) == pytest.approx(seconds)


def test_one_slow_answer_has_little_effect():
    times = AnswerTimes()
    for _ in range(50):
        times.observe("app", 0.05)
    times.observe("app", 1.0)
    assert times.silence_timeout(SERVICE) < 0.6


def test_a_few_streams_are_not_delayed():
    pacing = StreamPacing(cores=2.0, max_pause=0.06)
    pacing.open_streams = 20
    assert pacing.pause() == 0.0


def test_the_pause_grows_with_the_streams_per_core():
    pacing = StreamPacing(cores=0.5, max_pause=0.06)
    pacing.open_streams = 20
    assert pacing.pause() == pytest.approx(0.032)
    pacing.open_streams = 200
    assert pacing.pause() == 0.06


def test_there_is_no_pause_without_a_maximum():
    pacing = StreamPacing(cores=0.5, max_pause=0.0)
    pacing.open_streams = 200
    assert pacing.pause() == 0.0


def test_ended_streams_no_longer_count():
    pacing = StreamPacing(cores=0.5, max_pause=0.0)
    assert list(pacing.paced([b"a", b"b"])) == [b"a", b"b"]
    assert pacing.open_streams == 0
