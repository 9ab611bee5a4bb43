"""Members that share the rate limits of targets, as seen by one instance."""

import msgspec
import pytest

from whinrack.edge import _rate_sharers as module
from whinrack.edge._rate_sharers import RateSharers
from whinrack.edge.tests.fake_peers import OPTIONS, FakePeers


class Harness(FakePeers):
    def __init__(self, monkeypatch, options=OPTIONS):
        super().__init__(monkeypatch, module)
        self.sharers = RateSharers(options, self.table)

    def members(self):
        self.now += 0.11
        return self.sharers.members()


@pytest.fixture
def harness(monkeypatch):
    return Harness(monkeypatch)


def test_members_are_empty_during_peer_discovery(harness):
    harness.hear(1)
    assert harness.members() == set()
    harness.now += 2.0
    assert harness.members() == {"a", "p1"}


def test_an_instance_with_unheard_seeds_waits_before_it_counts_itself(harness):
    harness.now += 5.0
    assert harness.members() == set()
    harness.now += 12.0
    assert harness.members() == {"a"}


def test_an_instance_without_seeds_counts_itself_at_once(monkeypatch):
    single = Harness(monkeypatch, msgspec.structs.replace(OPTIONS, seeds=(OPTIONS.gossip,)))
    assert single.members() == {"a"}


def test_a_silent_peer_keeps_its_share_for_fifteen_seconds(harness):
    harness.hear(1, 2)
    harness.now += 10.0
    harness.hear(2)
    assert harness.members() == {"a", "p1", "p2"}
    harness.now += 6.0
    harness.hear(2)
    assert harness.members() == {"a", "p2"}


def test_a_peer_that_shut_down_gracefully_loses_its_share(harness):
    harness.hear(1, 2)
    harness.now += 3.0
    harness.hear(1, ready=False)
    assert "p1" in harness.members()
    harness.now += 4.0
    assert "p1" not in harness.members()


def test_a_large_fleet_counts_only_instances_that_serve_callers(harness):
    harness.hear(*range(1, 21))
    harness.hear(21, 22, serving=True)
    harness.now += 3.0
    assert len(harness.members()) == 23
    harness.now += 3.0
    harness.hear(*range(1, 21))
    harness.hear(21, 22, serving=True)
    assert harness.members() == {"a", "p21", "p22"}
