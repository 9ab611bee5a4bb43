"""Processing of what targets state about themselves in the heads of their answers."""

import msgspec

from whinrack.dispatch._registry import TargetRegistry
from whinrack.dispatch._stated_limits import NO_LIMIT
from whinrack.dispatch._target_state import TargetState
from whinrack.observability import Event, Metrics, log_event

__all__ = ["StatementHandler", "TargetStatement"]

# Unknown fields that are counted by name and logged once each; further ones are counted together.
_MAX_UNKNOWN_FIELDS = 20
_MAX_FIELD_LENGTH = 60
_OTHER_FIELDS = "others"


class TargetStatement(msgspec.Struct, frozen=True, kw_only=True):
    """What one answer states about its target.

    Attributes
    ----------
    did_not_run : bool
        Whether the target did not run the request and will not run it.
    is_misdirected : bool
        Whether another target listens at this address; the statement is about that one.
    is_leaving : bool
        Whether the target accepts no new requests from any instance.
    retry_after : float
        Seconds for which the target accepts no requests from this instance, 0 if not stated.
    rate_limit : float or None
        Requests per second that the target accepts from all instances, `NO_LIMIT` if not stated,
        None if the value cannot be parsed.
    max_refusals : float or None
        Refusals for lack of room within a second, from all instances, beyond which the target falls
        over; `NO_LIMIT` if not stated, None if the value cannot be parsed.
    unreadable_fields : tuple of str
        Names of the fields whose values cannot be parsed.
    unknown_fields : tuple of str
        Names of statement fields that the dialect does not know.
    """

    did_not_run: bool = False
    is_misdirected: bool = False
    is_leaving: bool = False
    retry_after: float = 0.0
    rate_limit: float | None = NO_LIMIT
    max_refusals: float | None = NO_LIMIT
    unreadable_fields: tuple[str, ...] = ()
    unknown_fields: tuple[str, ...] = ()


class StatementHandler:
    """Applies the statements of targets to the registry.

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
        """Apply the statement of an answer.

        Parameters
        ----------
        state : TargetState
            The target that the request was sent to.
        sent_at : float
            Steady clock time at which the request was sent.
        request : str
            Id of the request, for the log.
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
        if statement.max_refusals is not None:
            self.registry.brittle_targets.record_statement(
                state, statement.max_refusals, sent_at, request
            )
        if statement.is_leaving:
            self._handle_leaving(state, request)
        if statement.retry_after > 0.0:
            self._handle_backoff(state, statement.retry_after, request)

    def _count_unknown(self, field: str, state: TargetState, request: str) -> None:
        """Count and log a field that targets send and this instance ignores."""
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
        for callback in self.registry.on_target_leaving:
            callback()

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
