"""Late answers of targets whose silence made a request go elsewhere."""

import types

import pytest

from whinrack.clock import steady
from whinrack.dispatch import Dialect, TargetRecord, TargetRegistry
from whinrack.dispatch._attempts import AttemptRunner
from whinrack.dispatch._silent_attempts import SilentAttempt
from whinrack.dispatch._statements import TargetStatement
from whinrack.exceptions import AnswerCut, AnswerUnbounded, AttemptTimeout
from whinrack.http1 import ResponseHead
from whinrack.observability import Metrics

_PATIENCE_SECONDS = 0.2
_DEADLINE_SECONDS = 5.0


class Connection:
    """Stand-in that answers with a status, or fails."""

    def __init__(self, late_answer):
        self.late_answer = late_answer
        self.received_bytes = 0
        self.opened_at = 1.0
        self.waited_until = 0.0

    def read_head(self, deadline, is_own_response):
        self.waited_until = deadline
        if isinstance(self.late_answer, Exception):
            raise self.late_answer
        self.received_bytes = 100
        return ResponseHead(self.late_answer, [])


class Connections:
    """Stand-in that records which connections are released."""

    def __init__(self):
        self.released = []

    def release(self, connection):
        self.released.append(connection)


class StatusDialect(Dialect):
    def parse_statement(self, head):
        return TargetStatement(did_not_run=head.status == 503, retry_after=4.0)


@pytest.fixture
def registry():
    registry = TargetRegistry(seed=1)
    registry.put(TargetRecord("t1", "p", "h", 1))
    return registry


@pytest.fixture
def traffic():
    return []


@pytest.fixture
def runner(registry, traffic):
    return AttemptRunner(
        StatusDialect(),
        registry,
        Connections(),
        None,
        None,
        Metrics(),
        lambda: 1,
        None,
        lambda *moved: traffic.append(moved),
        None,
    )


def silent_run(registry, late_answer, seconds_left=_DEADLINE_SECONDS):
    """Return a run whose only attempt was silent, and its connection."""
    (state,) = registry.targets_in_pool("p")
    connection = Connection(late_answer)
    attempt = SilentAttempt(state, connection, steady(), _PATIENCE_SECONDS)
    run = types.SimpleNamespace(
        request=None,
        request_id="1",
        may_have_run=True,
        silent_attempt=attempt,
        deadline=steady() + seconds_left,
    )
    return run, connection


def test_a_late_refusal_proves_that_the_request_did_not_run(runner, registry, traffic):
    run, connection = silent_run(registry, 503)
    assert runner.read_late_refusal(run)
    assert not run.may_have_run
    assert runner.connections.released == [connection]
    (state,) = registry.targets_in_pool("p")
    assert registry.backoff_seconds_left(state, steady()) > 3.0
    assert [moved[-1] for moved in traffic] == [100]


@pytest.mark.parametrize(
    "late_answer", [200, 500, AnswerCut("cut"), AnswerUnbounded("long"), AttemptTimeout("silent")]
)
def test_other_late_answers_leave_the_outcome_unknown(runner, registry, late_answer):
    run, connection = silent_run(registry, late_answer)
    assert not runner.read_late_refusal(run)
    assert run.may_have_run
    assert run.silent_attempt is None
    assert runner.connections.released == [connection]


@pytest.mark.parametrize("seconds_left", [0.1, _DEADLINE_SECONDS])
def test_a_late_refusal_is_awaited_as_long_as_the_first_time(runner, registry, seconds_left):
    run, connection = silent_run(registry, AttemptTimeout("silent"), seconds_left)
    latest = min(run.deadline, steady() + _PATIENCE_SECONDS)
    runner.read_late_refusal(run)
    assert latest - 0.1 < connection.waited_until < latest + 0.1


def test_nothing_is_awaited_without_a_silent_attempt(runner):
    run = types.SimpleNamespace(may_have_run=True, silent_attempt=None)
    assert not runner.read_late_refusal(run)
    assert run.may_have_run
