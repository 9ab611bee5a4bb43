"""Requests end early enough for their answers to cross a congested link in time."""

from types import SimpleNamespace

import pytest

from whinrack.dispatch import IncomingRequest, Route, RouteKind, WeightedPool
from whinrack.dispatch._request_run import RequestRun
from whinrack.http1 import ConnectionPool, TargetConnection

TIMEOUT = 2.0
ROUTE = Route(
    name="r",
    host="h",
    path_prefix="/",
    kind=RouteKind.REPEATABLE,
    timeout=TIMEOUT,
    weighted_pools=(WeightedPool("p"),),
)


def make_run(link_delay, received_at=0.0, deadline_seconds=None):
    request = IncomingRequest(
        request_id=b"1",
        method=b"GET",
        target=b"/x",
        host="h",
        path="/x",
        headers=[],
        body=b"",
        deadline_seconds=deadline_seconds,
    )
    exchange = SimpleNamespace(received_at=received_at)
    return RequestRun(exchange, request, None, ROUTE, None, link_delay=link_delay)


@pytest.mark.parametrize("delay", [0.0, 0.1, 0.5])
def test_answers_reach_callers_before_the_timeout(delay):
    """The request takes half of the delay to arrive, its answer the other half."""
    run = make_run(delay, received_at=delay / 2)
    assert run.deadline + delay / 2 == pytest.approx(TIMEOUT)


@pytest.mark.parametrize(("deadline_seconds", "left"), [(None, 1.5), (1.0, 0.75)])
def test_most_of_the_time_is_left_however_slow_connections_are(deadline_seconds, left):
    assert make_run(10.0, deadline_seconds=deadline_seconds).deadline == left


def test_delay_is_learned_from_connections_and_forgotten(monkeypatch):
    clock = SimpleNamespace(now=0.0, took=0.4)

    def connect(address, timeout):
        clock.now += clock.took
        return SimpleNamespace(opened_at=0.0)

    monkeypatch.setattr("whinrack.http1._client.steady", lambda: clock.now)
    monkeypatch.setattr(TargetConnection, "connect", connect)
    pool = ConnectionPool()
    for _ in range(20):
        pool.acquire(("127.0.0.1", 1), clock.now + 10.0)
    assert 0.3 < pool.average_connect_seconds <= 0.4
    clock.took = 0.001
    for _ in range(40):
        pool.acquire(("127.0.0.1", 1), clock.now + 10.0)
    assert pool.average_connect_seconds < 0.01
