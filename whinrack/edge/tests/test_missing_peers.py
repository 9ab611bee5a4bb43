"""Missing instances: a peer that is not heard may still run in another partition."""

import msgspec
import pytest

from whinrack.edge import _missing_peers as module
from whinrack.edge._missing_peers import MissingPeers
from whinrack.edge.tests.fake_peers import OPTIONS, FakePeers


class Harness(FakePeers):
    def __init__(self, monkeypatch, options=OPTIONS):
        super().__init__(monkeypatch, module)
        self.missing_peers = MissingPeers(options, self.table)

    def advance(self, seconds, *heard):
        """Advance the clock while some peers are heard."""
        end = self.now + seconds
        while self.now < end:
            self.now += 0.5
            self.hear(*heard)
            self.table.next_receivers(self.now)
            _ = self.missing_peers.has_missing


@pytest.fixture
def harness(monkeypatch):
    return Harness(monkeypatch)


def test_a_fleet_that_is_heard_is_complete(harness):
    harness.advance(2.0, 1, 2)
    assert harness.missing_peers.is_fleet_complete


def test_a_silent_peer_is_missing_longer_than_it_is_in_the_table(harness):
    harness.advance(2.0, 1, 2)
    harness.advance(100.0, 1)
    assert {view.state.sender.name for view in harness.table.live_peers(harness.now)} == {"p1"}
    assert harness.table.silent_peers(harness.now) == []
    assert not harness.missing_peers.is_fleet_complete
    harness.advance(1.0, 1, 2)
    assert harness.missing_peers.is_fleet_complete


def test_a_peer_that_never_returns_is_dropped_after_ten_minutes(harness):
    harness.advance(2.0, 1, 2)
    harness.advance(610.0, 1)
    assert harness.missing_peers.is_fleet_complete


def test_a_peer_that_shuts_down_gracefully_is_not_missing(harness):
    harness.advance(2.0, 1, 2)
    harness.now += 0.2
    harness.hear(2, ready=False)
    harness.advance(3.0, 1)
    assert harness.missing_peers.is_fleet_complete


def test_a_new_instance_relies_on_the_reports_of_its_peers(harness):
    harness.advance(2.0, 1)
    harness.missing_peers.report(True)
    assert not harness.missing_peers.is_fleet_complete
    # Reports of peers are not repeated: two instances could confirm each other for ever.
    assert not harness.missing_peers.has_missing
    harness.advance(6.0, 1)
    assert harness.missing_peers.is_fleet_complete


def test_an_unheard_seed_makes_the_fleet_incomplete(harness):
    harness.advance(3.0, 2)
    assert not harness.missing_peers.is_fleet_complete
    harness.advance(1.0, 1, 2)
    assert harness.missing_peers.is_fleet_complete


def test_an_instance_without_seeds_is_a_complete_fleet(monkeypatch):
    options = msgspec.structs.replace(OPTIONS, seeds=())
    assert Harness(monkeypatch, options).missing_peers.is_fleet_complete
