"""Tests of which connections are closed when memory or connections run out."""

import pytest

from whinrack.clock import steady
from whinrack.exceptions import ReceivingOverloaded, RequestTimeout
from whinrack.http1 import CallerResources, ShedReason
from whinrack.http1._caller_resources import SheddableConnection

_LARGE_BYTES = 30_000
_MAX_BYTES = 100_000


class Connection(SheddableConnection):
    def __init__(self, can_free_memory=True, closing_rank=1, resting_since=0.0):
        super().__init__()
        self.can_free = can_free_memory
        self.rank = closing_rank
        self.resting_since = resting_since
        self.actions = []

    @property
    def can_free_memory(self):
        return self.can_free and not self.is_shed

    @property
    def closing_rank(self):
        return self.rank

    def free_memory(self):
        self.actions.append("freed")

    def close_for_room(self):
        self.actions.append("closed")


@pytest.fixture
def reasons():
    return []


@pytest.fixture
def resources(reasons):
    return CallerResources(_MAX_BYTES, max_connections=3, on_shed=reasons.append)


def admitted(resources, *args, **fields):
    connection = Connection(*args, **fields)
    assert resources.admit(connection)
    return connection


def test_connection_that_holds_most_is_freed_for_a_small_request(resources, reasons):
    large, larger, small = (admitted(resources) for _ in range(3))
    resources.hold(large, _LARGE_BYTES)
    resources.hold(larger, _MAX_BYTES - _LARGE_BYTES)
    resources.hold(small, 1)
    assert (large.actions, larger.actions, small.actions) == ([], ["freed"], [])
    assert resources.held_bytes == _LARGE_BYTES + 1
    assert reasons == [ShedReason.MEMORY]


def test_connection_that_holds_most_itself_is_refused(resources):
    other, growing = admitted(resources), admitted(resources)
    resources.hold(other, _MAX_BYTES // 3)
    with pytest.raises(ReceivingOverloaded) as refused:
        resources.hold(growing, _MAX_BYTES)
    assert refused.value.status == 503 and refused.value.retry_after > 0
    assert other.actions == []


def test_connection_without_progress_is_freed_before_one_that_holds_more(resources):
    resting, active, growing = (admitted(resources) for _ in range(3))
    resting.progressed_at -= 10.0
    resources.hold(resting, _LARGE_BYTES)
    resources.hold(active, _MAX_BYTES - _LARGE_BYTES)
    resources.hold(growing, 2 * _LARGE_BYTES // 3)
    assert (resting.actions, active.actions) == (["freed"], [])


def test_requests_being_handled_are_not_interrupted(resources):
    handled, growing = admitted(resources, can_free_memory=False), admitted(resources)
    resources.hold(handled, _MAX_BYTES)
    with pytest.raises(ReceivingOverloaded):
        resources.hold(growing, _LARGE_BYTES)
    assert handled.actions == []


def test_small_request_is_accepted_beside_requests_that_hold_all_memory(resources):
    handled, small = admitted(resources, can_free_memory=False), admitted(resources)
    resources.hold(handled, _MAX_BYTES)
    resources.hold(small, 1000)


def test_many_small_requests_do_not_exceed_the_memory_without_end(resources):
    handled, small = admitted(resources, can_free_memory=False), admitted(resources)
    resources.hold(handled, 2 * _MAX_BYTES, allowed=2 * _MAX_BYTES)
    with pytest.raises(ReceivingOverloaded):
        resources.hold(small, 1000)


def test_single_request_may_hold_the_largest_body_that_is_allowed(resources):
    connection = admitted(resources)
    resources.hold(connection, 2 * _MAX_BYTES, allowed=2 * _MAX_BYTES)


def test_freed_connection_gets_no_memory_anymore(resources):
    freed, other = admitted(resources), admitted(resources)
    resources.hold(freed, _MAX_BYTES)
    resources.hold(other, _LARGE_BYTES)
    with pytest.raises(ReceivingOverloaded):
        resources.hold(freed, 1)


def test_memory_of_a_closed_connection_is_free(resources):
    closed, other = admitted(resources), admitted(resources)
    resources.hold(closed, _MAX_BYTES)
    resources.discard(closed)
    resources.hold(other, _MAX_BYTES)
    assert resources.held_bytes == _MAX_BYTES


def test_trying_to_hold_frees_nothing(resources):
    holding, trying = admitted(resources), admitted(resources)
    resources.hold(holding, _MAX_BYTES - 10)
    assert not resources.try_hold(trying, 11)
    assert resources.try_hold(trying, 10)
    assert holding.actions == [] and trying.held_bytes == 10


def test_connection_that_has_rested_longest_is_closed_for_a_new_one(resources, reasons):
    late, early, used = (
        admitted(resources, closing_rank=rank, resting_since=since)
        for rank, since in ((1, 2.0), (1, 1.0), (2, 0.0))
    )
    assert resources.admit(Connection())
    assert (late.actions, early.actions, used.actions) == ([], ["closed"], [])
    assert reasons == [ShedReason.CONNECTIONS]


def test_connection_is_not_accepted_while_all_others_are_in_use(resources, reasons):
    for _ in range(3):
        admitted(resources, closing_rank=None)
    assert not resources.admit(Connection())
    assert reasons == [ShedReason.NOT_ACCEPTED]


def test_only_one_connection_decodes_small_chunks(resources):
    def decode(deadline):
        with resources.decoding_turn(deadline):
            return True

    with resources.decoding_turn(steady() + 1.0), pytest.raises(RequestTimeout):
        decode(steady())
    assert decode(steady() + 1.0)
