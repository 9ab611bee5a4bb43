"""The product has one steady clock, and it counts the time for which the machine was suspended."""

import pathlib
import re
import time

import pytest

from whinrack import clock

ROOT = pathlib.Path(__file__).resolve().parent.parent
OTHER_CLOCKS = re.compile(r"\btime\.(monotonic|perf_counter|clock_gettime)|CLOCK_MONOTONIC")


def sources():
    folders = (ROOT / "whinrack", ROOT / "platform" / "adapter")
    files = [path for folder in folders for path in folder.rglob("*.py")]
    return [*files, ROOT / "platform" / "main.py"]


def test_nothing_else_reads_a_steady_clock():
    own = pathlib.Path(clock.__file__)
    reading = [
        str(path)
        for path in sources()
        if path != own and "tests" not in path.parts and OTHER_CLOCKS.search(path.read_text())
    ]
    assert reading == []


def test_it_is_the_clock_that_counts_a_sleep():
    assert abs(clock.steady() - time.clock_gettime(time.CLOCK_BOOTTIME)) < 0.1


@pytest.fixture
def offset(monkeypatch):
    """Let the machine be suspended for the seconds that are put into the list."""
    seconds = [0.0]
    monkeypatch.setattr(
        clock, "steady", lambda: time.clock_gettime(time.CLOCK_MONOTONIC) + seconds[0]
    )
    return seconds


def test_a_sleep_is_noticed_once(offset):
    watch = clock.SuspendDetector()
    assert watch.take_suspended_seconds() == 0.0
    offset[0] = 4.0
    assert 3.9 < watch.take_suspended_seconds() < 4.1
    assert watch.take_suspended_seconds() == 0.0
