"""Attempts that were given up because their target stayed silent."""

from whinrack.dispatch._statements import TargetStatement
from whinrack.dispatch._target_state import TargetState
from whinrack.dispatch._values import IncomingRequest
from whinrack.dispatch.base import Dialect
from whinrack.exceptions import AnswerCut, AttemptTimeout
from whinrack.http1 import TargetConnection

__all__ = ["SilentAttempt"]


class SilentAttempt:
    """An attempt that was given up in silence, and its connection, which is still open.

    If no other target runs the request, a late refusal proves that this one did not run it either.

    Parameters
    ----------
    state : TargetState
    connection : TargetConnection
    sent_at : float
        Steady clock time at which the request was sent.
    patience : float
        Seconds of silence after which the attempt was given up.
    """

    def __init__(
        self, state: TargetState, connection: TargetConnection, sent_at: float, patience: float
    ):
        self.state = state
        self.connection = connection
        self.sent_at = sent_at
        self.patience = patience

    def read_statement(
        self, request: IncomingRequest, dialect: Dialect, deadline: float
    ) -> TargetStatement | None:
        """Return what a late answer states, None if there is none in time."""
        try:
            head = self.connection.read_head(
                deadline, lambda headers: dialect.is_response_to(request, headers)
            )
        except (AnswerCut, AttemptTimeout):
            return None
        return dialect.parse_statement(head)
