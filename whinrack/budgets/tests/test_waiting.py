"""Requests that wait for the same budget at the same time."""

import eventlet
import pytest
from eventlet.semaphore import Semaphore
from returns.result import Success

from standins.memory_store import MemoryStore
from whinrack.budgets import AccountDrawer, BookSource, GrantKeeper, GrantOptions, SpareSource

BUDGET = "b"


class SlowBooks(BookSource):
    """Books that take a while and count the calls."""

    def __init__(self):
        self.drawer = AccountDrawer(MemoryStore(), Semaphore, sleep=eventlet.sleep, seed=1)
        self.calls = 0

    def draw_books(self, orders):
        self.calls += 1
        eventlet.sleep(0.02)
        return self.drawer.draw_books(orders)


class NoPeers(SpareSource):
    def gather(self, budget, need, wish, received):
        return []

    def peers_asked(self):
        return 0


@pytest.fixture
def books():
    return SlowBooks()


@pytest.fixture
def keeper(books):
    keeper = GrantKeeper(
        "m.1", "a", books.drawer, books, NoPeers(), GrantOptions(), make_lock=Semaphore
    )
    keeper.declare(1, {BUDGET: 10_000_000})
    return keeper


def test_requests_that_wait_together_are_drawn_for_together(keeper, books):
    waiters = [eventlet.spawn(keeper.cover, BUDGET, 1000 + number) for number in range(10)]
    covers = [waiter.wait() for waiter in waiters]
    assert all(isinstance(cover, Success) for cover in covers)
    assert books.calls <= 3
