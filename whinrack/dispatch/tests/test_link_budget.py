"""Admission at an instance with a narrow link that gets the traffic of a whole workspace."""

import random

import pytest

from whinrack.dispatch import Dispatcher, Route, RouteKind, TargetRegistry, WeightedPool
from whinrack.dispatch._forwarding_mark import ForwardingMark
from whinrack.dispatch._link_budget import LinkBudget
from whinrack.dispatch.tests.pipeline import Pipeline
from whinrack.exceptions import LinkSaturated, TargetUnavailable

BANDWIDTH = 5.0
BYTES_PER_SECOND = 625_000
URGENT, LARGE = "urgent", "large"
BODIES = {URGENT: 800, LARGE: 12_000}
ANSWERS = {URGENT: 2_200, LARGE: 2_900}
# Seconds within which an answer is in time.
AIM_SECONDS = 0.25
ROUTE = Route(
    name="r",
    host="h",
    path_prefix="/",
    kind=RouteKind.REPEATABLE,
    timeout=5.0,
    weighted_pools=(WeightedPool("p"),),
    is_public=True,
)


def play(load, admits, seconds=30.0):
    """Return the share of urgent requests in time and of all requests answered within 4 s.

    Parameters
    ----------
    load : float
        Offered traffic as a multiple of the bandwidth; half of the requests are urgent.
    admits : bool
        Whether requests that do not fit are refused.
    """
    rng, budget = random.Random(5), LinkBudget(BANDWIDTH)
    for route, size in ANSWERS.items():
        budget.observe_answer(route, size)
    size = sum(BODIES[route] + ANSWERS[route] + 1000 for route in BODIES) / 2
    now, free_at, in_time, answered, urgent, total = 0.0, 0.0, 0, 0, 0, 0
    while now < seconds:
        now += rng.expovariate(load * BYTES_PER_SECOND / size)
        route = rng.choice((URGENT, LARGE))
        total += 1
        urgent += route == URGENT
        # The body queues at the link in any case.
        free_at = max(free_at, now) + BODIES[route] / 2 / BYTES_PER_SECOND
        if admits and budget.take(route, BODIES[route], route == URGENT, now) is not None:
            continue
        free_at += (BODIES[route] / 2 + ANSWERS[route] + 1000) / BYTES_PER_SECOND
        in_time += route == URGENT and free_at - now <= AIM_SECONDS
        answered += free_at - now <= 4.0
    return in_time / urgent, answered / total


def test_everything_is_admitted_below_the_bandwidth():
    urgent_in_time, answered = play(0.6, admits=True)
    assert urgent_in_time > 0.95
    assert answered > 0.99


def test_urgent_requests_stay_in_time_beyond_the_bandwidth():
    before, answered_before = play(1.5, admits=False)
    after, answered_after = play(1.5, admits=True)
    assert before < 0.2 and after > 0.85
    assert answered_after > answered_before


def test_a_refused_caller_returns_when_there_is_room():
    budget, waits = LinkBudget(BANDWIDTH), []
    while not waits:
        wait = budget.take(LARGE, 12_000, False, 0.0)
        waits += [wait] if wait is not None else []
    assert 0.5 <= waits[0] <= 4.0
    assert budget.take(LARGE, 12_000, False, waits[0]) is None


@pytest.mark.parametrize("bandwidth", [0.0, 100.0])
def test_no_request_is_refused_without_a_narrow_link(bandwidth):
    budget = LinkBudget(bandwidth)
    for number in range(200):
        assert budget.take(LARGE, 12_000, False, number * 0.01) is None


def test_a_request_larger_than_the_burst_is_admitted_on_an_idle_link():
    assert LinkBudget(BANDWIDTH).take(LARGE, 2_000_000, False, 0.0) is None


def test_a_refused_request_leaves_the_debt_of_a_larger_one():
    budget = LinkBudget(BANDWIDTH)
    budget.take(LARGE, 2_000_000, False, 0.0)
    debt_seconds = 2_000_000 / BYTES_PER_SECOND - 0.5
    assert budget.take(URGENT, 800, True, 0.0) is not None
    assert budget.take(URGENT, 800, True, 0.9 * debt_seconds) is not None
    assert budget.take(URGENT, 800, True, 1.5 * debt_seconds) is None


@pytest.mark.parametrize("mark", [None, ForwardingMark(5.0, attempts=1, configuration=1)])
def test_requests_that_no_target_takes_leave_room_for_others(mark):
    """They are answered by a refusal, so the expected answer does not cross the link."""
    pipeline = Pipeline(ROUTE, TargetRegistry(seed=1), connections=None, bandwidth=BANDWIDTH)
    codes = {pipeline.handle(mark=mark).code for _ in range(1000)}
    assert codes | {pipeline.handle().code} == {TargetUnavailable.code}


def test_requests_that_a_peer_has_forwarded_are_sent_but_leave_less_room(monkeypatch):
    def send(dispatcher, run, pool):
        run.sent_at = 1.0

    monkeypatch.setattr(Dispatcher, "_attempt_all", send)
    pipeline = Pipeline(ROUTE, TargetRegistry(seed=1), connections=None, bandwidth=BANDWIDTH)
    mark = ForwardingMark(5.0, attempts=0, configuration=1)
    assert [pipeline.handle(bytes(12_000), mark) for _ in range(100)] == [None] * 100
    assert isinstance(pipeline.handle(bytes(12_000)), LinkSaturated)


class Forwarder:
    """Stand-in for peers that take every request."""

    def has_peer(self, pool, needs_version=False):
        return True

    def forward(self, run, *args):
        run.may_have_run = True
        return True


def test_requests_that_are_forwarded_from_here_need_room(monkeypatch):
    """They cross the link like those that are sent to a target."""
    registry = TargetRegistry(seed=1)
    monkeypatch.setattr(registry.reachability, "is_lost", lambda pool: True)
    pipeline = Pipeline(ROUTE, registry, None, bandwidth=BANDWIDTH, forwarder=Forwarder())
    refusals = [pipeline.handle(bytes(12_000)) for _ in range(40)]
    assert refusals[0] is None
    assert isinstance(refusals[-1], LinkSaturated)


def test_requests_that_are_not_refused_leave_less_room():
    budget = LinkBudget(BANDWIDTH)
    for _ in range(100):
        budget.charge(LARGE, 12_000, 0.0)
    assert budget.take(URGENT, 800, True, 0.0) is not None
    assert budget.take(URGENT, 800, True, 0.5) is None


def test_answers_of_routes_that_no_longer_exist_are_forgotten():
    budget = LinkBudget(BANDWIDTH)
    budget.observe_answer("old", 50_000)
    for number in range(2000):
        budget.observe_answer(f"r{number}", 2000)
    assert budget.expected_bytes("old", 0) == budget.expected_bytes("unknown", 0)
