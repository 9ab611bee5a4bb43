"""Ends and billing of runs whose caller has disconnected.

The sending side of the target's connection is closed. A target that notices this stops and closes
its side; by then, everything that it generated has arrived, and the run is billed by that. If the
target does not close the connection in time, the use is unknown and the whole reservation counts.
"""

from collections.abc import Callable

from whinrack.clock import steady
from whinrack.dispatch._events import event_blocks
from whinrack.dispatch._request_run import RequestRun
from whinrack.dispatch._statements import TargetStatement
from whinrack.dispatch._values import PoolRecord, RouteKind
from whinrack.dispatch.base import Dialect
from whinrack.exceptions import AnswerCut, AttemptTimeout
from whinrack.http1 import TargetConnection

__all__ = ["settle_abandoned_run"]

# Targets are required to notice within half a second that the caller has disconnected.
_END_WAIT_SECONDS = 0.3


def settle_abandoned_run(
    run: RequestRun,
    pool: PoolRecord,
    connection: TargetConnection,
    dialect: Dialect,
    on_statement: Callable[[TargetStatement], None],
    has_head: bool,
) -> bool:
    """Bill a run whose caller has disconnected if its target ends it, else leave it unsettled.

    Parameters
    ----------
    on_statement : callable
        Called with the target's statement if the head of the answer arrives now.
    has_head : bool
        Whether the head of the answer has been read already.

    Returns
    -------
    bool
        Whether the target has certainly ended the run.
    """
    connection.close_write()
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
                return True
        pieces = connection.iter_data(deadline)
        if run.route.kind is RouteKind.STREAM:
            for block in event_blocks(pieces, run.last_id):
                run.events += block.count
        else:
            for _ in pieces:
                pass
    except AnswerCut:
        if not connection.is_closed_by_target:
            return False
    except AttemptTimeout:
        return False
    run.settle_partial(pool)
    return True
