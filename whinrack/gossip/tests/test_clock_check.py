"""When the time of day is trusted."""

import pytest

from whinrack.gossip import ClockCheck

TRUE_TIME = 1e9


def heard(differences, beats=4, delay=0.0):
    """Heartbeats of peers whose clocks differ from the true time."""
    check = ClockCheck()
    for beat in range(beats):
        for number, difference in enumerate(differences):
            steady = beat * 0.25
            check.record_peer_time(f"p{number}", TRUE_TIME + steady - delay + difference, steady)
    return check


@pytest.mark.parametrize(
    ("differences", "own", "trusted"),
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
def test_most_peers_and_two_at_least_have_to_agree(differences, own, trusted):
    assert heard(differences).is_confirmed_by_peers(TRUE_TIME + 1.0 + own, 1.0) is trusted


def test_an_own_jump_is_seen_before_the_next_heartbeat():
    check = heard([0.0, 0.0, 0.0])
    assert check.is_confirmed_by_peers(TRUE_TIME + 1.0, 1.0)
    assert not check.is_confirmed_by_peers(TRUE_TIME + 1.01 + 2.4, 1.01)


def test_the_least_delayed_of_the_last_heartbeats_counts():
    check = heard([0.0, 0.0])
    for peer in ("p0", "p1"):
        check.record_peer_time(peer, TRUE_TIME + 0.2, 1.2)
    assert check.is_confirmed_by_peers(TRUE_TIME + 1.2, 1.2)


def test_late_heartbeats_and_silence_only_make_it_doubt():
    assert not heard([0.0, 0.0], delay=1.0).is_confirmed_by_peers(TRUE_TIME + 1.0, 1.0)
    assert not heard([0.0, 0.0]).is_confirmed_by_peers(TRUE_TIME + 9.0, 9.0)
