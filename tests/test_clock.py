"""Whinrack reads one monotonic clock, which includes the time the machine was suspended."""

import pathlib
import re
import time

import pytest

from whinrack import clock

ROOT = pathlib.Path(__file__).resolve().parent.parent
DIRECT_CLOCK_READS = re.compile(r"\btime\.(monotonic|perf_counter|clock_gettime)|CLOCK_MONOTONIC")


def sources():
    folders = (ROOT / "whinrack", ROOT / "platform" / "adapter")
    files = [path for folder in folders for path in folder.rglob("*.py")]
    return [*files, ROOT / "platform" / "main.py"]


def test_only_the_clock_module_reads_a_monotonic_clock():
    own = pathlib.Path(clock.__file__)
    reading = [
        str(path)
        for path in sources()
        if path != own and "tests" not in path.parts and DIRECT_CLOCK_READS.search(path.read_text())
    ]
    assert reading == []


def test_the_clock_counts_suspended_time():
    assert abs(clock.steady() - time.clock_gettime(time.CLOCK_BOOTTIME)) < 0.1


@pytest.fixture
def suspended_seconds(monkeypatch):
    """Simulate a suspension of as many seconds as the first item of the list says."""
    seconds = [0.0]
    monkeypatch.setattr(
        clock, "steady", lambda: time.clock_gettime(time.CLOCK_MONOTONIC) + seconds[0]
    )
    return seconds


def test_a_suspension_is_reported_once(suspended_seconds):
    watch = clock.SuspendDetector()
    assert watch.take_suspended_seconds() == 0.0
    suspended_seconds[0] = 4.0
    assert 3.9 < watch.take_suspended_seconds() < 4.1
    assert watch.take_suspended_seconds() == 0.0
