"""Who is missed, by whose word and for how long: the other part of a fleet may go on unheard."""

import msgspec
import pytest

from whinrack.edge import _missing_peers as module
from whinrack.edge._missing_peers import MissingPeers
from whinrack.edge.tests.peer_world import OPTIONS, PeerWorld


class World(PeerWorld):
    def __init__(self, monkeypatch, options=OPTIONS):
        super().__init__(monkeypatch, module)
        self.peers = MissingPeers(options, self.table)

    def pass_time(self, seconds, *heard):
        """Let some time pass in which some peers are heard."""
        end = self.now + seconds
        while self.now < end:
            self.now += 0.5
            self.hear(*heard)
            self.table.next_receivers(self.now)
            _ = self.peers.misses


@pytest.fixture
def world(monkeypatch):
    return World(monkeypatch)


def test_a_fleet_that_is_heard_is_whole(world):
    world.pass_time(2.0, 1, 2)
    assert world.peers.is_whole


def test_one_that_falls_silent_is_missed_longer_than_the_table_knows_it(world):
    world.pass_time(2.0, 1, 2)
    world.pass_time(100.0, 1)
    assert {view.state.sender.name for view in world.table.live_peers(world.now)} == {"p1"}
    assert world.table.silent_peers(world.now) == []
    assert not world.peers.is_whole
    world.pass_time(1.0, 1, 2)
    assert world.peers.is_whole


def test_one_that_never_comes_back_is_not_missed_for_ever(world):
    world.pass_time(2.0, 1, 2)
    world.pass_time(610.0, 1)
    assert world.peers.is_whole


def test_one_that_stops_as_planned_is_not_missed(world):
    world.pass_time(2.0, 1, 2)
    world.now += 0.2
    world.hear(2, ready=False)
    world.pass_time(3.0, 1)
    assert world.peers.is_whole


def test_a_peer_that_misses_somebody_is_believed_by_one_that_has_just_started(world):
    world.pass_time(2.0, 1)
    world.peers.tell(True)
    assert not world.peers.is_whole
    # Its own word goes by its own memory: two could keep each other in doubt for ever.
    assert not world.peers.misses
    world.pass_time(6.0, 1)
    assert world.peers.is_whole


def test_one_that_has_not_heard_whom_its_settings_name_is_not_whole(world):
    world.pass_time(3.0, 2)
    assert not world.peers.is_whole
    world.pass_time(1.0, 1, 2)
    assert world.peers.is_whole


def test_an_instance_without_peers_is_whole(monkeypatch):
    options = msgspec.structs.replace(OPTIONS, seeds=())
    assert World(monkeypatch, options).peers.is_whole
