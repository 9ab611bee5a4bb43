"""What targets state of themselves in the heads of their answers, taken in at one place."""

import msgspec

from whinrack.dispatch._registry import TargetRegistry
from whinrack.dispatch._stated_limits import NO_LIMIT
from whinrack.dispatch._target_state import TargetState
from whinrack.observability import Event, Metrics, log_event

__all__ = ["StatementHandler", "TargetStatement"]

# Fields that are counted by their names, and logged once each; the others are counted together.
_MAX_UNKNOWN_FIELDS = 20
_MAX_FIELD_LENGTH = 60
_OTHER_FIELDS = "others"


class TargetStatement(msgspec.Struct, frozen=True, kw_only=True):
    """What one answer states of the target that gave it.

    Attributes
    ----------
    did_not_run : bool
        The target did not run the request, and won't.
    is_other_target : bool
        Another target listens at this address; the statement is of that one.
    leaving : bool
        The target takes no new work from anybody.
    retry_after : float
        Seconds for which the target takes nothing from this instance; 0 if it doesn't say so.
    limit : float or None
        Requests a second that the target takes from all instances, `NO_LIMIT` if it states none,
        None if what it states can't be read.
    unreadable : tuple of str
        Names of the fields whose values can't be read.
    unknown : tuple of str
        Names of fields by which targets state something, and that the dialect doesn't know.
    """

    did_not_run: bool = False
    is_misdirected: bool = False
    is_leaving: bool = False
    retry_after: float = 0.0
    rate_limit: float | None = NO_LIMIT
    unreadable_fields: tuple[str, ...] = ()
    unknown_fields: tuple[str, ...] = ()


class StatementHandler:
    """Takes in what targets state of themselves.

    Parameters
    ----------
    registry : TargetRegistry
    metrics : Metrics
    """

    def __init__(self, registry: TargetRegistry, metrics: Metrics):
        self.registry = registry
        self.metrics = metrics
        self._unknown: set[str] = set()

    def handle(
        self, state: TargetState, statement: TargetStatement, sent_at: float, request: str
    ) -> None:
        """Take in the statement of an answer.

        Parameters
        ----------
        state : TargetState
            The target that was asked.
        sent_at : float
            When it was sent the request, steady clock.
        request : str
            The request's id, for the log.
        """
        for field in statement.unreadable_fields:
            self.metrics.unreadable_statements.labels(field).inc()
        for field in statement.unknown_fields:
            self._count_unknown(field, state, request)
        if statement.is_misdirected:
            return
        if statement.rate_limit is not None:
            self.registry.stated_limits.record_answer(
                state.record.identity, statement.rate_limit, sent_at, request
            )
        if statement.is_leaving:
            self._handle_leaving(state, request)
        if statement.retry_after > 0.0:
            self._handle_backoff(state, statement.retry_after, request)

    def _count_unknown(self, field: str, state: TargetState, request: str) -> None:
        """Show that targets state something that nothing here heeds."""
        shown = field[:_MAX_FIELD_LENGTH]
        if shown not in self._unknown:
            if len(self._unknown) >= _MAX_UNKNOWN_FIELDS:
                self.metrics.unknown_statements.labels(_OTHER_FIELDS).inc()
                return
            self._unknown.add(shown)
            log_event(
                Event.FIELD_UNKNOWN, field=shown, target=state.record.incarnation, request=request
            )
        self.metrics.unknown_statements.labels(shown).inc()

    def _handle_leaving(self, state: TargetState, request: str) -> None:
        record = state.record
        if not self.registry.mark_leaving(record.incarnation, record.started):
            return
        log_event(Event.TARGET_LEAVING, target=record.incarnation, source="answer", request=request)
        for heard in self.registry.on_target_leaving:
            heard()

    def _handle_backoff(self, state: TargetState, seconds: float, request: str) -> None:
        record, now = state.record, self.registry.clock()
        self.registry.backoffs.start(record.identity, seconds, now)
        log_event(
            Event.TARGET_BACKOFF,
            target=record.incarnation,
            seconds=seconds,
            left=round(self.registry.backoff_seconds_left(state, now), 3),
            request=request,
            in_flight=state.in_flight,
        )
