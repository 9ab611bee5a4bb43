"""Sixteen instances that reach the store again at the same moment and write the same account."""

import eventlet
from eventlet.semaphore import Semaphore
from returns.result import Failure, Success

from standins.memory_store import MemoryStore
from whinrack.budgets import AccountWriter, DrawOrder
from whinrack.clock import steady
from whinrack.exceptions import Conflict
from whinrack.gossip import (
    DrawAccepted,
    DrawCoordinator,
    DrawReply,
    Heartbeat,
    PeerAddress,
    PeerState,
    PeerTable,
)
from whinrack.store import ObjectStore

_INSTANCES = 16
_CALL_SECONDS = 0.01
_HEARTBEATS_AFTER_SECONDS = 0.015


class SlowStore(ObjectStore):
    """Store whose calls take some time; counts conflicts."""

    def __init__(self):
        self.store = MemoryStore()
        self.conflicts = 0

    @property
    def era(self):
        return self.store.era

    def get(self, kind, name):
        eventlet.sleep(_CALL_SECONDS)
        return self.store.get(kind, name)

    def put(self, kind, name, value, version):
        eventlet.sleep(_CALL_SECONDS)
        result = self.store.put(kind, name, value, version)
        self.conflicts += isinstance(result, Failure) and isinstance(result.failure(), Conflict)
        return result


def state(name):
    fields = {"callers": "", "data_hall": "", "ready": True, "store_answers": True, "load": 0}
    fields |= {"configuration": 1, "store_confirmed": True}
    return PeerState(
        incarnation=f"{name}.1", sequence=1, sender=PeerAddress(name, name, 1), **fields
    )


class Link:
    """Delivers messages between the coordinators of the fleet."""

    def __init__(self, fleet, name):
        self.fleet = fleet
        self.name = name

    def send(self, message, address):
        receiver = self.fleet[address[0]]
        if isinstance(message, DrawAccepted):
            handle = receiver.handle_acceptance
        elif isinstance(message, DrawReply):
            handle = receiver.handle_reply
        else:
            eventlet.spawn_n(receiver.handle_draw_request, message, (self.name, 1))
            return
        eventlet.spawn_n(handle, message)


def make_instance(fleet, store, name):
    writer = AccountWriter(
        store,
        Semaphore,
        is_superseded=lambda account: coordinator.is_superseded(account),
        sleep=eventlet.sleep,
        seed=1,
    )
    table = PeerTable(name, 1.0, 10.0)
    coordinator = DrawCoordinator(
        name, lambda: state(name), writer, Link(fleet, name), table, accept_timeout=0.15
    )
    fleet[name] = coordinator


def test_all_are_written_with_few_conflicts_when_all_return_at_once():
    fleet, store = {}, SlowStore()
    names = [f"m{number}" for number in range(_INSTANCES)]
    for name in names:
        make_instance(fleet, store, name)

    def draw(name):
        order = DrawOrder(
            account="a",
            budget="b",
            holder=f"{name}.1",
            sequence=1,
            need=5,
            limit=1000,
            limit_version=1,
            opening=True,
        )
        return fleet[name].draw_for_holder([order])

    rounds = [eventlet.spawn(draw, name) for name in names]
    eventlet.sleep(_HEARTBEATS_AFTER_SECONDS)
    for name in names:
        for other in names:
            if other != name:
                fleet[name].peers.record_heartbeat(Heartbeat(state=state(other)), steady())
    results = [round_.wait() for round_ in rounds]
    assert all(isinstance(result, Success) for result in results)
    assert [result.unwrap()["b"].drawn for result in results] == [5] * _INSTANCES
    assert store.conflicts <= 1.5 * _INSTANCES
