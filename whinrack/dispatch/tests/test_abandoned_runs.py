"""Billing of streams whose caller has disconnected."""

from types import SimpleNamespace

import pytest

from whinrack.dispatch import (
    DeclaredTokens,
    EngineCapacity,
    PoolRecord,
    RouteKind,
    TargetStatement,
)
from whinrack.dispatch._abandoned_runs import settle_abandoned_run
from whinrack.dispatch._request_run import RequestRun
from whinrack.exceptions import AnswerCut, AttemptTimeout
from whinrack.http1 import ResponseHead

POOL = PoolRecord("p", 8, EngineCapacity(slots=8, token_capacity=10_000, max_event_tokens=5))
EVENTS = b"id: 4\ndata: x\n\nid: 5\ndata: y\n\n"


class Reservation:
    tokens = 300

    def __init__(self):
        self.billed = None

    def settle(self, billed, unproven=0):
        self.billed = billed


class Connection:
    """Stand-in for a connection after the half-close: the remaining data and how it ends."""

    def __init__(self, head=None, data=b"", failure=None, is_closed_by_target=True):
        self.head, self.data, self.failure, self.is_closed_by_target = (
            head,
            data,
            failure,
            is_closed_by_target,
        )
        self.is_write_closed = False

    def close_write(self):
        self.is_write_closed = True

    def read_head(self, deadline, is_own_response):
        if self.head is None:
            raise self.failure
        return self.head

    def iter_data(self, deadline):
        yield self.data
        if self.failure is not None:
            raise self.failure


class Dialect:
    def is_response_to(self, request, headers):
        return True

    def parse_statement(self, head):
        return TargetStatement(did_not_run=head.status == 503)


@pytest.fixture
def run():
    request = SimpleNamespace(
        declared_tokens=DeclaredTokens(prompt=100, output=200),
        deadline_seconds=1.0,
        resume_after=None,
    )
    route = SimpleNamespace(timeout=1.0, kind=RouteKind.STREAM)
    run = RequestRun(SimpleNamespace(received_at=0.0), request, None, route, None)
    run.reservation = Reservation()
    run.attempts, run.may_have_run, run.events, run.last_id = 1, True, 3, 3
    return run


def settle(run, connection, answered=True, statements=None):
    on_statement = [].append if statements is None else statements.append
    settle_abandoned_run(run, POOL, connection, Dialect(), on_statement, answered)
    assert connection.is_write_closed
    return run.reservation.billed


def test_received_events_and_one_more_are_billed_if_the_target_closes(run):
    cut = Connection(data=EVENTS, failure=AnswerCut("ended"), is_closed_by_target=True)
    assert settle(run, cut) == 100 + 5 * (3 + 2 + 1)


def test_a_stream_that_ends_regularly_is_billed_the_same_way(run):
    assert settle(run, Connection(data=EVENTS)) == 100 + 5 * (3 + 2 + 1)


def test_the_prompt_and_one_event_are_billed_if_the_target_closes_before_the_head(run):
    run.events, run.last_id = 0, None
    gone = Connection(failure=AnswerCut("ended"), is_closed_by_target=True)
    assert settle(run, gone, answered=False) == 100 + 5


@pytest.mark.parametrize(
    ("failure", "ended"), [(AnswerCut("reset"), False), (AttemptTimeout("silent"), False)]
)
def test_a_reset_or_silence_leaves_the_run_unsettled(run, failure, ended):
    assert settle(run, Connection(failure=failure, is_closed_by_target=ended)) is None


def test_a_request_that_the_target_did_not_run_is_not_billed(run):
    refused = Connection(head=ResponseHead(503, []))
    statements = []
    assert settle(run, refused, answered=False, statements=statements) is None
    assert not run.may_have_run
    assert statements == [TargetStatement(did_not_run=True)]


def test_no_more_than_the_reservation_is_billed(run):
    run.events = 1000
    assert settle(run, Connection(failure=AnswerCut("ended"), is_closed_by_target=True)) == 300
