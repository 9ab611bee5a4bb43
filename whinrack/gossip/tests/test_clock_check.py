"""Tests of the comparison of the wall clock with the clocks of peers."""

import pytest

from whinrack.gossip import ClockCheck

TRUE_TIME = 1e9


def check_after_heartbeats(offsets, beats=4, delay=0.0):
    """Return a check that got heartbeats of peers whose clocks are off by the given seconds."""
    check = ClockCheck()
    for beat in range(beats):
        for number, offset in enumerate(offsets):
            steady = beat * 0.25
            check.record_peer_time(f"p{number}", TRUE_TIME + steady - delay + offset, steady)
    return check


@pytest.mark.parametrize(
    ("offsets", "own", "trusted"),
    [
        ([0.0, 0.1], 0.0, True),
        ([0.0], 0.0, False),
        ([0.0, 0.0, 2.4], 0.0, True),
        ([0.0, 0.0, 2.4], 2.4, False),
        ([0.0, 0.0, 2.4, 2.4, 2.4], 0.0, False),
        ([0.0, 0.0, 0.0], -2.4, False),
        ([], 0.0, False),
    ],
)
def test_most_peers_and_at_least_two_must_agree(offsets, own, trusted):
    assert (
        check_after_heartbeats(offsets).is_confirmed_by_peers(TRUE_TIME + 1.0 + own, 1.0) is trusted
    )


def test_jump_of_the_local_clock_is_detected_before_the_next_heartbeat():
    check = check_after_heartbeats([0.0, 0.0, 0.0])
    assert check.is_confirmed_by_peers(TRUE_TIME + 1.0, 1.0)
    assert not check.is_confirmed_by_peers(TRUE_TIME + 1.01 + 2.4, 1.01)


def test_least_delayed_of_the_last_heartbeats_is_used():
    check = check_after_heartbeats([0.0, 0.0])
    for peer in ("p0", "p1"):
        check.record_peer_time(peer, TRUE_TIME + 0.2, 1.2)
    assert check.is_confirmed_by_peers(TRUE_TIME + 1.2, 1.2)


def test_clock_is_not_confirmed_by_delayed_or_old_heartbeats():
    delayed = check_after_heartbeats([0.0, 0.0], delay=1.0)
    assert not delayed.is_confirmed_by_peers(TRUE_TIME + 1.0, 1.0)
    assert not check_after_heartbeats([0.0, 0.0]).is_confirmed_by_peers(TRUE_TIME + 9.0, 9.0)
