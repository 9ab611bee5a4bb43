"""Ends and billing of runs whose caller has disconnected.

What the target has sent by then is read and counted. If its answer has not ended, the sending side
of its connection is closed. A target that notices this stops and closes its side; by then,
everything that it generated has arrived, and the run is billed by that. If the target does not
close the connection in time, the use is unknown and the whole reservation counts.
"""

from collections.abc import Callable

from whinrack.clock import steady
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
    answer = _RestOfAnswer(run, connection, dialect, on_statement, has_head)
    try:
        is_whole = connection.has_whole_response or answer.read_received()
        if not is_whole:
            connection.close_write()
            answer.read(steady() + _END_WAIT_SECONDS)
    except AnswerCut:
        if not connection.is_closed_by_target:
            return False
        is_whole = False
    except AttemptTimeout:
        return False
    if answer.did_not_run:
        run.may_have_run = run.attempts > 1
    elif is_whole and not run.parser.is_within_event:
        run.settle_complete(pool)
    else:
        run.settle_partial(pool)
    return True


class _RestOfAnswer:
    """The part of an answer that was not read before the caller disconnected.

    Attributes
    ----------
    did_not_run : bool
        Whether the target has stated that it did not run the request.
    """

    def __init__(
        self,
        run: RequestRun,
        connection: TargetConnection,
        dialect: Dialect,
        on_statement: Callable[[TargetStatement], None],
        has_head: bool,
    ):
        self.did_not_run = False
        self._run = run
        self._connection = connection
        self._dialect = dialect
        self._on_statement = on_statement
        self._has_head = has_head

    def read_received(self) -> bool:
        """Read what has been received; return whether that ends the answer."""
        try:
            self.read(steady())
        except AttemptTimeout:
            return False
        return True

    def read(self, deadline: float) -> None:
        """Read the answer to its end, and count the events of a stream.

        Raises
        ------
        AnswerCut, AttemptTimeout
            If the answer does not end properly, or not until the steady clock reaches `deadline`.
        """
        if not self._has_head:
            self._read_head(deadline)
        if self.did_not_run:
            return
        is_stream = self._run.route.kind is RouteKind.STREAM
        for piece in self._connection.iter_data(deadline):
            if is_stream:
                self._run.parser.feed(piece)

    def _read_head(self, deadline: float) -> None:
        head = self._connection.read_head(
            deadline, lambda headers: self._dialect.is_response_to(self._run.request, headers)
        )
        self._has_head = True
        statement = self._dialect.parse_statement(head)
        self._on_statement(statement)
        self.did_not_run = statement.did_not_run
