"""What a target handed out in a run whose caller left, learnt from its own end.

The sending side of its connection is closed; a target that notices stops and closes its
side. All that it handed out has arrived by then, so the run is billed by that. Without such
an end within a moment nothing is known, and the cover counts in full.
"""

from collections.abc import Callable

from whinrack.clock import steady
from whinrack.dispatch._events import event_blocks
from whinrack.dispatch._request_run import RequestRun
from whinrack.dispatch._statements import TargetStatement
from whinrack.dispatch._values import PoolRecord
from whinrack.dispatch.base import Dialect
from whinrack.exceptions import AnswerCut, AttemptTimeout
from whinrack.http1 import TargetConnection

__all__ = ["settle_abandoned_run"]

# A target has to have noticed that its caller left within half a second.
_END_WAIT_SECONDS = 0.3


def settle_abandoned_run(
    run: RequestRun,
    pool: PoolRecord,
    connection: TargetConnection,
    dialect: Dialect,
    on_statement: Callable[[TargetStatement], None],
    has_head: bool,
) -> None:
    """Bill a run whose caller left, if its target ends it; else leave it unsettled.

    Parameters
    ----------
    on_statement : callable
        Told what the target states, if the head of its answer comes now.
    has_head : bool
        The head of the answer has been read.
    """
    connection.finish_sending()
    deadline = steady() + _END_WAIT_SECONDS
    try:
        if not has_head:
            head = connection.read_head(
                deadline, lambda headers: dialect.is_response_to(run.request, headers)
            )
            statement = dialect.parse_statement(head)
            on_statement(statement)
            if statement.did_not_run:
                run.may_have_run = run.attempts > 1
                return
        for block in event_blocks(connection.pieces(deadline), run.last_id):
            run.events += block.count
    except AnswerCut:
        if not connection.ended:
            return
    except AttemptTimeout:
        return
    run.settle_partial(pool)
