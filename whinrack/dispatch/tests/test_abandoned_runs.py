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
from whinrack.dispatch._answers import AnswerRelay
from whinrack.dispatch._events import EventParser
from whinrack.dispatch._pacing import StreamPacing
from whinrack.dispatch._request_run import RequestRun
from whinrack.exceptions import AnswerCut, AttemptTimeout, CallerGone
from whinrack.http1 import ResponseHead

POOL = PoolRecord("p", 8, EngineCapacity(slots=8, token_capacity=10_000, max_event_tokens=5))
FIRST_EVENTS = b"id: 1\ndata: u\n\nid: 2\ndata: v\n\nid: 3\ndata: w\n\n"
EVENTS = b"id: 4\ndata: x\n\nid: 5\ndata: y\n\n"


class Reservation:
    tokens = 300

    def __init__(self):
        self.billed = None

    def settle(self, billed, unproven=0):
        self.billed = billed


class Connection:
    """Stand-in for a connection: what is received before and after the half-close, and its end."""

    has_whole_response = False

    def __init__(self, head=None, data=b"", failure=None, is_closed_by_target=True, received=b""):
        self.head, self.data, self.failure, self.is_closed_by_target = (
            head,
            data,
            failure,
            is_closed_by_target,
        )
        self.received = received
        self.is_write_closed = False

    def close_write(self):
        self.is_write_closed = True

    def read_head(self, deadline, is_own_response):
        if not self.is_write_closed:
            raise AttemptTimeout("not received yet")
        if self.head is None:
            raise self.failure
        return self.head

    def iter_data(self, deadline):
        if not self.is_write_closed:
            yield self.received
            raise AttemptTimeout("not received yet")
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
    run.start_attempt()
    run.may_have_run = True
    run.parser.feed(FIRST_EVENTS)
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
    run.parser = EventParser()
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
    run.parser.feed(b"data: x\n\n" * 1000)
    assert settle(run, Connection(failure=AnswerCut("ended"), is_closed_by_target=True)) == 300


class WholeConnection(Connection):
    """Stand-in for a connection whose answer has been received to its end."""

    def read_head(self, deadline, is_own_response):
        return self.head

    def iter_data(self, deadline):
        yield self.data


def test_an_answer_that_has_ended_is_billed_exactly(run):
    """Guards against bills for an event that the target never generated."""
    connection = WholeConnection(data=EVENTS)
    settle_abandoned_run(run, POOL, connection, Dialect(), [].append, True)
    assert not connection.is_write_closed
    assert run.reservation.billed == 100 + 5 * (3 + 2)


def test_an_answer_that_was_read_to_its_end_is_billed_exactly(run):
    connection = Connection(failure=AnswerCut("nothing is left to read"))
    connection.has_whole_response = True
    assert settle_abandoned_run(run, POOL, connection, Dialect(), [].append, True)
    assert run.reservation.billed == 100 + 5 * 3


def test_an_event_received_in_two_parts_is_billed(run):
    """Guards against events that are lost between two parsers of one answer."""
    run.parser.feed(EVENTS[:16])
    connection = WholeConnection(data=EVENTS[16:])
    settle_abandoned_run(run, POOL, connection, Dialect(), [].append, True)
    assert run.reservation.billed == 100 + 5 * (3 + 2)


def test_an_answer_that_ends_within_an_event_is_billed_one_more(run):
    connection = WholeConnection(data=EVENTS + b"id: 6\nda")
    settle_abandoned_run(run, POOL, connection, Dialect(), [].append, True)
    assert run.reservation.billed == 100 + 5 * (3 + 2 + 1)


def test_events_received_before_and_after_the_half_close_are_billed(run):
    cut = Connection(received=EVENTS, data=b"id: 6\ndata: z\n\n", failure=AnswerCut("ended"))
    assert settle(run, cut) == 100 + 5 * (3 + 3 + 1)


class LostCaller:
    """Stand-in for the exchange of a caller whose connection fails when it is written to."""

    received_at = 0.0
    is_started = True

    def write(self, data):
        raise CallerGone("the connection was reset")


def relay(run, events):
    """Relay events to a caller that is gone, and settle the run as its target ends."""
    run.exchange = LostCaller()
    answers = AnswerRelay(None, StreamPacing(1.0, 0.0), None, None)
    with pytest.raises(CallerGone):
        answers.relay_stream(run, POOL, ResponseHead(200, []), [events])
    return settle(run, Connection(failure=AnswerCut("ended")))


def test_events_that_the_caller_did_not_take_are_billed(run):
    """Guards against tokens that no budget counts since their caller left during a pause."""
    assert relay(run, EVENTS) == 100 + 5 * (3 + 2 + 1)


def test_events_that_are_not_relayed_again_are_billed(run):
    """Guards against tokens that no budget counts since the caller has their events already."""
    run.last_id = 5
    run.start_attempt()
    assert relay(run, EVENTS + b"id: 6\ndata: z\n\n") == 100 + 5 * (3 + 3 + 1)
