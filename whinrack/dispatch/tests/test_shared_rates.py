"""Requests that may reach a cold target within a second, summed over all instances."""

import random

import pytest

from whinrack.dispatch import SharedRatePermits, WarmUpLimits
from whinrack.dispatch._rate_bounds import compute_share

LIMITS = WarmUpLimits(1.5, 5.0)
RATES = (1.0, 4.0, 9.9, 30.0, 100.0)
SECONDS = 8.0
# Time between two attempts to get a permit, as a fraction of the time between permits. An instance
# gains nothing by waiting longer.
STEP_FRACTION = 0.02
# Interval at which the holders are determined again, for views that change.
HOLDER_UPDATE_SECONDS = 0.1
NAMES = [f"m{number}" for number in range(87)]


def send_all(views, rate, target="t"):
    """Let each instance send whenever it has a permit.

    Parameters
    ----------
    views : dict of str to callable
        For each instance, a function that returns its known members at a time.

    Returns
    -------
    list of float
        The times of all sent requests.
    """
    now, holders_updated_at = 0.0, -1.0
    bound = LIMITS.rate_bound(rate)
    permits = [SharedRatePermits(name, lambda view=view: view(now)) for name, view in views.items()]
    sends = []
    while now < SECONDS:
        if now - holders_updated_at >= HOLDER_UPDATE_SECONDS:
            holders_updated_at = now
            holders = [holder for holder in permits if holder.held_shares({target: bound})]
        for holder in holders:
            while holder.has_permit(target, bound, now):
                holder.take_permit(target, bound, now)
                sends.append(now)
        now += STEP_FRACTION / rate
    return sends


def most_in_a_second(sends):
    return max((sum(0.0 <= at - first < 1.0 for at in sends) for first in sends), default=0)


def equal_views(count):
    members = NAMES[:count]
    return {name: lambda now: members for name in members}


@pytest.mark.parametrize("rate", RATES)
@pytest.mark.parametrize("count", [1, 2, 3, 6, 20, 87])
def test_instances_with_equal_views_use_the_rate_within_the_bound(rate, count):
    sends = send_all(equal_views(count), rate)
    assert most_in_a_second(sends) <= LIMITS.rate_bound(rate).max_requests
    assert len(sends) >= 0.75 * rate * SECONDS - 1


@pytest.mark.parametrize("rate", RATES)
def test_a_partitioned_fleet_stays_within_the_bound(rate):
    halves = (NAMES[:40], NAMES[40:])
    views = {name: lambda now, half=half: half for half in halves for name in half}
    assert most_in_a_second(send_all(views, rate)) <= LIMITS.rate_bound(rate).max_requests


@pytest.mark.parametrize("seed", range(8))
def test_instances_with_outdated_views_stay_within_the_bound(seed):
    """Each view lacks some new members and includes some former ones."""
    random_source = random.Random(seed)
    serving = NAMES[:8]
    views = {}
    for name in serving:
        known = {name, *random_source.sample(serving, 6), *random_source.sample(NAMES[8:], 3)}
        views[name] = lambda now, known=known: known
    assert most_in_a_second(send_all(views, 9.9)) <= LIMITS.rate_bound(9.9).max_requests


def test_changing_members_stay_within_the_bound():
    """A fleet is repeatedly partitioned and reunited."""

    def view_of(half):
        return lambda now: NAMES[:6] if int(now / 1.3) % 2 else half

    halves = (NAMES[:3], NAMES[3:6])
    views = {name: view_of(half) for half in halves for name in half}
    assert most_in_a_second(send_all(views, 9.9)) <= LIMITS.rate_bound(9.9).max_requests


def test_instances_without_known_members_send_nothing():
    assert send_all({name: lambda now: () for name in NAMES}, 9.9) == []


def test_a_restart_adds_one_request_at_most():
    """The bucket of a restarted instance is full; all holders restart at once."""
    views = equal_views(6)
    before = send_all(views, 9.9)
    again = [SECONDS + at for at in send_all(views, 9.9)]
    assert most_in_a_second(before + again) <= LIMITS.rate_bound(9.9).max_requests


@pytest.mark.parametrize(
    ("limits", "rate"), [(WarmUpLimits(1.0, 0.0), 10.0), (WarmUpLimits(), 0.5)]
)
def test_a_bound_without_slack_leaves_one_holder(limits, rate):
    share = compute_share(limits.rate_bound(rate), 10)
    assert share.holders == 1
    assert 2 * (share.rate + 1) <= max(limits.rate_bound(rate).max_requests, 2.0)
