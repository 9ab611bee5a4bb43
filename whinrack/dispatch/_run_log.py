"""Log lines about requests."""

from whinrack.budgets import GrantManager
from whinrack.clock import steady
from whinrack.dispatch._forwarding_mark import ForwardingMark
from whinrack.dispatch._request_run import RequestRun
from whinrack.exceptions import Refusal
from whinrack.http1 import Exchange
from whinrack.observability import Event, log_event

__all__ = [
    "log_attempt",
    "log_early_answer",
    "log_forwarded",
    "log_refusal",
    "log_reservation_refused",
    "log_reserve_held",
    "log_run",
    "placement_fields",
]

# Callers choose the names of the parts of their prompts.
_MAX_PARTS_LENGTH = 200


def log_run(event: Event, run: RequestRun, **fields) -> None:
    """Log an event with the state of a request."""
    log_event(
        event,
        request=run.request_id,
        fingerprint=run.fingerprint,
        parts=_shared_parts(run),
        route=run.route.name,
        workspace=run.workspace_name,
        target=run.target,
        software=run.software_version,
        resumes=run.resumed_id,
        last_event=run.request.resume_after,
        targets=run.targets_view,
        attempts=run.attempts,
        events=run.events,
        received=run.received_events,
        first=round(run.first_event_seconds, 4),
        pause=round(run.max_pause_seconds, 4),
        waited=_waited(run.exchange),
        configuration=run.configuration.version,
        **fields,
    )


def placement_fields(run: RequestRun) -> dict[str, object]:
    """Return how the target was chosen and what was expected, nothing if not by cost."""
    placed = run.placement
    if placed is None:
        return {}
    return {
        "placed": placed.reason,
        "expected": round(placed.expected_seconds, 4),
        "first_at_target": round(run.first_at_target, 4),
        "work_left": round(placed.work_seconds, 4),
        "unread": placed.unread_tokens,
    }


def log_attempt(run: RequestRun, refusal: Refusal, reason: str) -> None:
    """Log that an attempt failed before the caller received an answer, and why."""
    log_run(
        Event.ATTEMPT_FAILED,
        run,
        code=refusal.code,
        outcome=refusal.outcome,
        why=reason,
        at_target=round(steady() - run.sent_at, 4) if run.sent_at else 0.0,
        beside=run.concurrent_requests,
    )


def log_early_answer(run: RequestRun, status: int, sent_bytes: int) -> None:
    """Log that a target answered before it was sent the whole request."""
    size = len(run.request.body)
    log_run(Event.TARGET_ANSWERED_EARLY, run, status=status, sent=sent_bytes, size=size)


def log_forwarded(run: RequestRun, mark: ForwardingMark) -> None:
    """Log that a peer has forwarded a request to this instance."""
    log_run(
        Event.FORWARDED_RECEIVED,
        run,
        left=round(mark.seconds_left, 3),
        checked_with=mark.configuration,
    )


def log_reservation_refused(
    run: RequestRun, tokens: int, urgency: int, grant_manager: GrantManager
) -> None:
    """Log that tokens could not be reserved, with the last known state of the budget."""
    last_result = grant_manager.last_result(run.workspace_name)
    log_event(
        Event.COVER_REFUSED,
        request=run.request_id,
        workspace=run.workspace_name,
        tokens=tokens,
        urgency=urgency,
        reserve=grant_manager.reserve(run.workspace_name, urgency),
        free=last_result.free if last_result is not None else "unknown",
        outstanding=last_result.outstanding if last_result is not None else "unknown",
        supplier=grant_manager.supplier(run.workspace_name) or "here",
        store_silent=round(steady() - grant_manager.last_answer_at, 3),
    )


def log_reserve_held(run: RequestRun, urgency: int, grant_manager: GrantManager) -> None:
    """Log that a short budget begins to keep tokens for more urgent requests."""
    last_result = grant_manager.last_result(run.workspace_name)
    log_event(
        Event.RESERVE_HELD,
        workspace=run.workspace_name,
        urgency=urgency,
        reserve=grant_manager.reserve(run.workspace_name, urgency),
        unspent=last_result.unspent if last_result is not None else "unknown",
    )


def log_refusal(exchange: Exchange, request_id: str, refusal: Refusal, configuration: int) -> None:
    """Log that a request was refused or that its answer was broken off."""
    event = Event.ANSWER_BROKEN_OFF if exchange.is_started else Event.REQUEST_REFUSED
    log_event(
        event,
        request=request_id,
        code=refusal.code,
        attempts=refusal.attempts,
        waited=_waited(exchange),
        why=refusal.message,
        configuration=configuration,
    )


def _shared_parts(run: RequestRun) -> str:
    """Return the names of the parts of the prompt that other requests may share."""
    names = [part.name.decode("latin-1") for part in run.request.prompt_parts[:-1]]
    return " ".join(names)[:_MAX_PARTS_LENGTH]


def _waited(exchange: Exchange) -> float:
    return round(steady() - exchange.received_at, 4)
