"""Requests that no engine can begin before their deadline, from the caller to the targets."""

import pytest

from whinrack.clock import steady
from whinrack.dispatch import (
    DeclaredTokens,
    EngineCapacity,
    Route,
    RouteKind,
    TargetRecord,
    TargetRegistry,
    WeightedPool,
)
from whinrack.dispatch.tests.pipeline import Pipeline
from whinrack.exceptions import AnswerCut, DeadlineUnreachable

ROUTE = Route(
    name="r",
    host="h",
    path_prefix="/",
    kind=RouteKind.STREAM,
    timeout=60.0,
    weighted_pools=(WeightedPool("p"),),
    goal=0.4,
    is_public=True,
)
SLOTS, ENGINES = 8, 6
TOKENS = 8_000
# Seconds of work that each engine has left, at the speed that is expected before any answer.
WORK_SECONDS = 10.0


class Connections:
    """Stand-in for connections to targets that end after each request."""

    sent_bytes = received_bytes = 0
    is_reused, is_closed_by_target = False, True
    average_connect_seconds = 0.0

    def __init__(self):
        self.opened_at = steady()
        self.acquired, self.sent = [], []

    def acquire(self, address, deadline):
        self.acquired.append(address)
        return self

    def send(self, head, body):
        self.sent.append(head)

    def read_head(self, deadline, is_own_response):
        raise AnswerCut("the target has closed the connection")

    def release(self, connection):
        """Ignore the connection."""


def learn_uneven_speeds(registry, states):
    """Let every third engine be three times as slow as the others."""
    for number, state in enumerate(states):
        for _ in range(10):
            seconds = (0.01 + TOKENS / 50_000) * (3.0 if number % 3 == 0 else 1.0)
            registry.placement.speeds.observe_first_event(
                "p", state.digest, TOKENS, seconds, steady()
            )


@pytest.fixture
def engines():
    """A registry with busy engines of unequal speed."""
    registry = TargetRegistry(seed=1)
    for number in range(1, ENGINES + 1):
        registry.put(TargetRecord(f"t{number}", "p", "h", number, slots=SLOTS))
    states = registry.targets_in_pool("p")
    learn_uneven_speeds(registry, states)
    for state in states:
        state.unread_tokens = round(WORK_SECONDS * 50_000)
    return registry


@pytest.mark.parametrize(("deadline_seconds", "is_refused"), [(2.0, True), (30.0, False)])
def test_a_request_is_sent_unless_no_engine_can_begin_in_time(
    engines, deadline_seconds, is_refused
):
    connections = Connections()
    pipeline = Pipeline(ROUTE, engines, connections, engine=EngineCapacity(SLOTS, 500_000, 10))
    began_at = steady()
    refusal = pipeline.handle(
        deadline_seconds=deadline_seconds, declared_tokens=DeclaredTokens(TOKENS, 100)
    )
    assert steady() - began_at < 1.0
    assert type(refusal) is (DeadlineUnreachable if is_refused else AnswerCut)
    count = 0 if is_refused else 1
    assert (len(connections.acquired), len(connections.sent)) == (count, count)
    if is_refused:
        assert refusal.outcome == "not_run"
        assert refusal.retry_after > deadline_seconds
