"""Whom an instance counts among those that share what cold targets bear."""

import msgspec
import pytest

from whinrack.edge import _rate_sharers as module
from whinrack.edge._rate_sharers import RateSharers
from whinrack.edge.tests.peer_world import OPTIONS, PeerWorld


class World(PeerWorld):
    def __init__(self, monkeypatch, options=OPTIONS):
        super().__init__(monkeypatch, module)
        self.view = RateSharers(options, self.table)

    def members(self):
        self.now += 0.11
        return self.view.members()


@pytest.fixture
def world(monkeypatch):
    return World(monkeypatch)


def test_nothing_is_sent_until_peers_had_time_to_make_themselves_known(world):
    world.hear(1)
    assert world.members() == set()
    world.now += 2.0
    assert world.members() == {"a", "p1"}


def test_one_that_expects_others_and_hears_none_sends_nothing_for_long(world):
    world.now += 5.0
    assert world.members() == set()
    world.now += 12.0
    assert world.members() == {"a"}


def test_one_that_is_alone_by_its_settings_sends_at_once(monkeypatch):
    alone = World(monkeypatch, msgspec.structs.replace(OPTIONS, seeds=(OPTIONS.gossip,)))
    assert alone.members() == {"a"}


def test_a_silent_peer_keeps_its_share_for_the_length_of_a_cut(world):
    world.hear(1, 2)
    world.now += 10.0
    world.hear(2)
    assert world.members() == {"a", "p1", "p2"}
    world.now += 6.0
    world.hear(2)
    assert world.members() == {"a", "p2"}


def test_a_peer_that_stopped_as_planned_keeps_none(world):
    world.hear(1, 2)
    world.now += 3.0
    world.hear(1, ready=False)
    assert "p1" in world.members()
    world.now += 4.0
    assert "p1" not in world.members()


def test_in_a_large_fleet_those_count_that_serve_callers(world):
    world.hear(*range(1, 21))
    world.hear(21, 22, serving=True)
    world.now += 3.0
    assert len(world.members()) == 23
    world.now += 3.0
    world.hear(*range(1, 21))
    world.hear(21, 22, serving=True)
    assert world.members() == {"a", "p21", "p22"}
