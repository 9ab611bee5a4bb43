"""Parts of a partitioned fleet stay within the retry budget of the whole fleet.

When each instance divided the budget by the live instances only, each half of eight instances
used all of it after a partition: 80 retries in 10 s where 60 are allowed, and 312 by eight
isolated instances.
"""

import pytest

from whinrack.dispatch import CurrentConfiguration, RetryBudget, TargetRegistry
from whinrack.edge import EdgeOptions, _membership, _missing_peers
from whinrack.edge._membership import Membership
from whinrack.edge.tests.fake_peers import ready_state
from whinrack.edge.tests.test_membership import Host
from whinrack.gossip import Heartbeat, PeerAddress

_RATIO, _SLACK, _WINDOW = 0.2, 56.0, 10.0
_INSTANCES = 8
# First attempts at each instance in a window; few, so that the slack dominates.
_REQUESTS = 3


class Fleet:
    """Eight instances that hear each other, or a part of each other."""

    def __init__(self, monkeypatch):
        self.now = 100.0
        for module in (_membership, _missing_peers):
            monkeypatch.setattr(module, "steady", lambda: self.now)
        self.members = [self.start(number) for number in range(_INSTANCES)]

    def start(self, number):
        options = EdgeOptions(
            name=f"m{number}",
            data_hall="h",
            callers=(f"10.0.0.{number}", 80),
            directory=None,
            ready=None,
            gossip=(f"10.0.0.{number}", 7340),
        )
        configuration = CurrentConfiguration(lambda configuration: None)
        return Membership(
            options, f"m{number}.1", configuration, TargetRegistry(), Host(), _nothing
        )

    def advance(self, seconds, can_reach=lambda sender, receiver: True):
        end = self.now + seconds
        while self.now < end:
            self.now += 0.25
            for receiver, member in enumerate(self.members):
                for sender in range(_INSTANCES):
                    if sender != receiver and can_reach(sender, receiver):
                        member.table.record_heartbeat(self.heartbeat(sender), self.now)
                member.table.next_receivers(self.now)
                member.count_sharing_instances()

    def heartbeat(self, number):
        state = ready_state(PeerAddress(f"m{number}", f"10.0.0.{number}", 7340))
        return Heartbeat(state=state, number=int(self.now * 100))

    def retry_count(self):
        """Return the retries of all instances together if each uses its full share."""
        taken = 0
        for member in self.members:
            budget = RetryBudget(_RATIO, _SLACK, _WINDOW)
            for _ in range(_REQUESTS):
                budget.record_request(self.now)
            while budget.try_acquire(self.now, member.count_sharing_instances()):
                taken += 1
        return taken


def _nothing(*_):
    """Ignore the bytes counted."""


@pytest.fixture
def fleet(monkeypatch):
    fleet = Fleet(monkeypatch)
    fleet.advance(3.0)
    return fleet


def is_same_half(sender, receiver):
    return (sender < _INSTANCES // 2) == (receiver < _INSTANCES // 2)


@pytest.mark.parametrize("seconds", [2.0, 20.0, 90.0])
def test_two_halves_stay_within_the_fleets_retry_budget(fleet, seconds):
    fleet.advance(seconds, is_same_half)
    assert fleet.retry_count() <= _RATIO * _REQUESTS * _INSTANCES + _SLACK


def test_isolated_instances_stay_within_the_fleets_retry_budget(fleet):
    fleet.advance(20.0, lambda sender, receiver: False)
    assert fleet.retry_count() <= _RATIO * _REQUESTS * _INSTANCES + _SLACK


def test_a_connected_fleet_can_use_most_of_the_retry_budget(fleet):
    assert fleet.retry_count() >= 0.55 * _SLACK
