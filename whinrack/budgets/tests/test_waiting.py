"""Requests that wait for the same budget at the same time."""

import eventlet
import pytest
from eventlet.semaphore import Semaphore
from returns.result import Failure, Success

from standins.memory_store import MemoryStore
from whinrack.budgets import (
    AccountBackend,
    AccountWriter,
    DrawOrder,
    GrantManager,
    GrantOptions,
    OrderBatch,
    SpareTokenSource,
)
from whinrack.clock import steady

BUDGET = "b"


class SlowBackend(AccountBackend):
    """Backend with a delay that counts its calls."""

    def __init__(self):
        self.writer = AccountWriter(MemoryStore(), Semaphore, sleep=eventlet.sleep, seed=1)
        self.calls = 0
        self.seconds = 0.02

    def draw_for_holder(self, orders):
        self.calls += 1
        eventlet.sleep(self.seconds)
        return self.writer.draw_for_holder(orders)


class NoPeers(SpareTokenSource):
    def request_from_peers(self, budget, need, wish, received):
        return []

    def peer_count(self):
        return 0


@pytest.fixture
def backend():
    return SlowBackend()


@pytest.fixture
def manager(backend):
    manager = GrantManager("m.1", "a", backend, NoPeers(), GrantOptions(), make_lock=Semaphore)
    manager.set_limits(1, {BUDGET: 10_000_000})
    return manager


def test_waiting_requests_share_draws(manager, backend):
    waiters = [eventlet.spawn(manager.cover, BUDGET, 1000 + number) for number in range(10)]
    covers = [waiter.wait() for waiter in waiters]
    assert all(isinstance(cover, Success) for cover in covers)
    assert backend.calls <= 3


def isolate(function, seconds):
    with eventlet.Timeout(seconds, False):
        return eventlet.spawn(function).wait()
    return None


def test_request_does_not_wait_for_a_silent_store(backend):
    options = GrantOptions(draw_timeout=0.05)
    manager = GrantManager(
        "m.1", "a", backend, NoPeers(), options, make_lock=Semaphore, isolate=isolate
    )
    manager.set_limits(1, {BUDGET: 10_000_000})
    manager.renew()
    backend.seconds = 3.0
    with eventlet.Timeout(1.0):
        assert isinstance(manager.cover(BUDGET, 5_000), Failure)


def test_result_of_an_order_given_up_by_its_request_is_applied_on_arrival(backend):
    options = GrantOptions(draw_timeout=0.05)
    manager = GrantManager(
        "m.1", "a", backend, NoPeers(), options, make_lock=Semaphore, isolate=isolate
    )
    manager.set_limits(1, {BUDGET: 10_000_000})
    backend.seconds = 0.2
    assert isinstance(manager.cover(BUDGET, 5_000), Failure)
    eventlet.sleep(0.3)
    assert manager.spendable()[BUDGET] >= 5_000
    assert isinstance(manager.cover(BUDGET, 5_000), Success)


def test_request_cancelled_while_waiting_is_no_longer_counted(manager, backend):
    backend.seconds = 0.2
    first = eventlet.spawn(manager.cover, BUDGET, 1_000)
    second = eventlet.spawn(manager.cover, BUDGET, 700_000)
    eventlet.sleep(0.05)
    second.kill()
    assert isinstance(first.wait(), Success)
    assert manager._grants[BUDGET].waiting_tokens == 0


def test_orders_in_quick_succession_share_a_write():
    class Counting(MemoryStore):
        writes = 0

        def put(self, kind, name, value, version):
            self.writes += 1
            return super().put(kind, name, value, version)

    store = Counting()
    writer = AccountWriter(
        store, Semaphore, lambda batch: eventlet.sleep(0.05), sleep=eventlet.sleep
    )

    def draw(number):
        eventlet.sleep(0.005 * number)
        order = DrawOrder(
            account="a",
            budget=BUDGET,
            holder=f"m{number}.1",
            sequence=1,
            opening=True,
            need=1,
            limit=100,
            limit_version=1,
        )
        return writer.draw(order)

    results = [thread.wait() for thread in [eventlet.spawn(draw, n) for n in range(5)]]
    assert [result.unwrap().drawn for result in results] == [1] * 5
    assert store.writes == 1


def test_order_that_a_request_waits_for_is_urgent():
    def batch(**fields):
        made = OrderBatch()
        made.orders = [
            DrawOrder(account="a", budget=BUDGET, holder="m.1", sequence=1),
            DrawOrder(account="a", budget=BUDGET, holder="m.2", sequence=1, **fields),
        ]
        return made

    assert batch(need=5).is_urgent
    assert batch(final=True).is_urgent
    assert not batch(want=5).is_urgent


class SilentPeers(NoPeers):
    """One peer that never replies."""

    def request_from_peers(self, budget, need, wish, received):
        eventlet.sleep(0.05)
        return []

    def peer_count(self):
        return 1


def test_waiting_requests_are_refused_together_after_a_failed_refill(backend):
    """Each refill takes a while; one after the other they would outlast their callers."""
    manager = GrantManager("m.1", "a", backend, SilentPeers(), GrantOptions(), make_lock=Semaphore)
    manager.set_limits(1, {BUDGET: 1_000})
    began = steady()
    waiters = [eventlet.spawn(manager.cover, BUDGET, 5_000) for _ in range(30)]
    assert all(isinstance(waiter.wait(), Failure) for waiter in waiters)
    assert steady() - began < 1.0
