"""Exception types of whinrack.

Each `WhinrackError` has a stable `code`. Errors that are sent to callers derive from `Refusal`,
which adds the HTTP status, the error type, the outcome and when to retry.
"""

from whinrack.base import Outcome

__all__ = [
    "AnswerCut",
    "AnswerUnbounded",
    "AnswerNotKept",
    "AnsweredByLaterStart",
    "BadRequest",
    "BodyTooLarge",
    "BudgetContended",
    "BudgetExhausted",
    "BudgetReserved",
    "CallerGone",
    "ClaimUnavailable",
    "ConfigurationUnknown",
    "Conflict",
    "CoverUnbounded",
    "DeadlineUnreachable",
    "AttemptTimeout",
    "Forbidden",
    "ForeignAnswer",
    "HeadersTooLarge",
    "InternalFailure",
    "InvalidObject",
    "InvalidSettings",
    "KeyReused",
    "NoSuchPath",
    "NotFound",
    "OutcomeUnknown",
    "PeerUnavailable",
    "PlatformFailure",
    "PlatformUnavailable",
    "PolicyFailure",
    "QueueFull",
    "RateExceeded",
    "ReceivingOverloaded",
    "ReplyLost",
    "NoRoute",
    "Refusal",
    "RouterStopping",
    "RequestQuarantined",
    "RequestTimeout",
    "StreamOriginUnknown",
    "StreamVersionUnavailable",
    "TargetFailed",
    "TargetUnavailable",
    "TargetsCold",
    "TargetsLimited",
    "Unauthorized",
    "UnknownModel",
    "UnknownPool",
    "WhinrackError",
    "WriteUnknown",
]


class WhinrackError(Exception):
    """Base of all errors; `code` is stable, `message` is human-readable and may change."""

    code = "whinrack"

    def __init__(self, message: str = ""):
        super().__init__(message or self.code)
        self.message = message or self.code


class InvalidSettings(WhinrackError):
    """A settings file, section, key or value is invalid."""

    code = "invalid_settings"


class InvalidObject(WhinrackError):
    """A declared object is malformed or has a field with an invalid value."""

    code = "invalid_object"


class PolicyFailure(WhinrackError):
    """A routing program does not compile, fails or returns an invalid value."""

    code = "policy_failure"


class PeerUnavailable(WhinrackError):
    """A peer did not respond in time or rejected the call."""

    code = "peer_unavailable"


class CallerGone(WhinrackError):
    """The caller closed its connection or does not read its response."""

    code = "caller_gone"


# --- errors of the platform's object API -----------------------------------------


class PlatformFailure(WhinrackError):
    """Base of all errors of calls to the platform."""

    code = "platform_failure"


class PlatformUnavailable(PlatformFailure):
    """The platform was not reached or refused to serve the call."""

    code = "platform_unavailable"


class ReplyLost(PlatformUnavailable):
    """No reply to a read was received; the connection may be dead while the platform is healthy."""

    code = "reply_lost"


class WriteUnknown(PlatformFailure):
    """No reply to a write was received; the write may have taken effect."""

    code = "write_unknown"


class RateExceeded(PlatformFailure):
    """The client-side rate limit of this process rejected the call."""

    code = "platform_rate"


class NotFound(PlatformFailure):
    """The object does not exist."""

    code = "not_found"


class Conflict(PlatformFailure):
    """The object is not at the version that a conditional write expected.

    Attributes
    ----------
    current : object or None
        The stored object as returned by the platform, None if there is none.
    """

    code = "conflict"

    def __init__(self, message: str = "", current=None):
        super().__init__(message)
        self.current = current


# --- errors sent to callers ------------------------------------------------------


class Refusal(WhinrackError):
    """Error response that a request gets from whinrack instead of a target's response.

    Parameters
    ----------
    message : str
        Human-readable description.
    param : str, optional
        The request field that caused the error.
    retry_after : float, optional
        Seconds after which the caller should retry.
    outcome : Outcome, optional
        Overrides the default outcome of the class.

    Attributes
    ----------
    attempts : int
        Number of attempts at targets that were made.
    """

    code = "refused"
    status = 500
    error_type = "api_error"
    outcome = Outcome.NOT_RUN

    def __init__(
        self,
        message: str = "",
        param: str | None = None,
        retry_after: float | None = None,
        outcome: Outcome | None = None,
    ):
        super().__init__(message)
        self.param = param
        self.retry_after = retry_after
        self.attempts = 0
        if outcome is not None:
            self.outcome = outcome


class Unauthorized(Refusal):
    """The API key is missing or unknown."""

    code, status, error_type = "invalid_api_key", 401, "authentication_error"


class Forbidden(Refusal):
    """The API key is not permitted to use the requested resource."""

    code, status, error_type = "forbidden", 403, "permission_error"


class BadRequest(Refusal):
    """The request is malformed; `param` names the invalid field."""

    code, status, error_type = "bad_request", 400, "invalid_request_error"


class CoverUnbounded(BadRequest):
    """The tokens of the request have no provable upper bound."""

    code = "cover_unbounded"


class UnknownModel(Refusal):
    """No pool serves this model."""

    code, status, error_type = "model_not_found", 404, "invalid_request_error"


class UnknownPool(Refusal):
    """No service pool has this name."""

    code, status, error_type = "pool_not_found", 404, "invalid_request_error"


class RequestTimeout(Refusal):
    """The caller took too long to send its request."""

    code, status, error_type = "request_timeout", 408, "invalid_request_error"


class KeyReused(Refusal):
    """The Idempotency-Key was already used with a different body."""

    code, status, error_type = "idempotency_key_reused", 409, "invalid_request_error"


class BodyTooLarge(Refusal):
    """The request body exceeds the size limit."""

    code, status, error_type = "body_too_large", 413, "invalid_request_error"


class HeadersTooLarge(Refusal):
    """The request head exceeds the size limit."""

    code, status, error_type = "headers_too_large", 431, "invalid_request_error"


class ReceivingOverloaded(Refusal):
    """Other callers' requests and responses take up what this instance has for receiving."""

    code, status, error_type = "receiving_overloaded", 503, "overloaded_error"


class NoRoute(Refusal):
    """No configured route matches the host and path."""

    code, status, error_type = "no_route", 404, "invalid_request_error"


class ConfigurationUnknown(Refusal):
    """This instance has not received any configuration yet."""

    code, status, error_type = "configuration_unknown", 503, "overloaded_error"


class RouterStopping(Refusal):
    """This instance is shutting down and accepts no more requests."""

    code, status, error_type = "router_stopping", 503, "overloaded_error"


class BudgetExhausted(Refusal):
    """The prepaid budget has too few tokens for the request."""

    code, status, error_type = "budget_exhausted", 402, "insufficient_quota"


class BudgetContended(Refusal):
    """The budget has tokens, but this instance cannot obtain enough of them now."""

    code, status, error_type = "budget_contended", 429, "rate_limit_error"


class BudgetReserved(Refusal):
    """The rest of the budget is kept for requests of more urgent routes."""

    code, status, error_type = "budget_reserved", 429, "rate_limit_error"


class QueueFull(Refusal):
    """The request queue of the pool is full."""

    code, status, error_type = "queue_full", 429, "rate_limit_error"


class DeadlineUnreachable(Refusal):
    """The request cannot be started before its deadline."""

    code, status, error_type = "deadline_unreachable", 429, "rate_limit_error"


class TargetUnavailable(Refusal):
    """No target of the allowed pools accepts requests now."""

    code, status, error_type = "target_unavailable", 503, "overloaded_error"


class TargetsCold(Refusal):
    """All targets have just started and cannot accept more requests while they warm up."""

    code, status, error_type = "targets_cold", 503, "overloaded_error"


class TargetsLimited(Refusal):
    """All targets have stated a request limit, and all these limits are reached."""

    code, status, error_type = "targets_limited", 503, "overloaded_error"


class TargetsOverloaded(Refusal):
    """All targets have asked this instance to back off."""

    code, status, error_type = "targets_overloaded", 503, "overloaded_error"


class StreamOriginUnknown(Refusal):
    """The software version at which a stream began is unknown, so it is not continued."""

    code, status, error_type = "stream_origin_unknown", 503, "api_error"


class StreamVersionUnavailable(Refusal):
    """No target has the software version at which a stream began."""

    code, status, error_type = "stream_version_unavailable", 503, "overloaded_error"


class RequestQuarantined(Refusal):
    """The request is quarantined, since targets terminated while running it."""

    code, status, error_type = "request_quarantined", 503, "api_error"


class ClaimUnavailable(Refusal):
    """A request that must run at most once could not be claimed."""

    code, status, error_type = "claim_unavailable", 503, "overloaded_error"


class OutcomeUnknown(Refusal):
    """The request may have run and is not retried."""

    code, status, error_type = "outcome_unknown", 503, "api_error"
    outcome = Outcome.UNKNOWN


class TargetFailed(Refusal):
    """The target failed after the request was sent to it."""

    code, status, error_type = "target_failed", 502, "api_error"
    outcome = Outcome.UNKNOWN


class AttemptTimeout(TargetFailed):
    """The target did not complete its response within the time limit of the request."""

    code, status = "attempt_timeout", 504


class AnswerCut(TargetFailed):
    """The response of the target ended early."""

    code = "answer_cut"


class AnswerUnbounded(AnswerCut):
    """The target sent more than any sound response holds."""

    code = "answer_unbounded"


class AnsweredByLaterStart(TargetFailed):
    """A later start of the target answers, which may have other software than the stream's."""

    code = "answered_by_later_start"


class ForeignAnswer(TargetFailed):
    """The target responded with the id of another request."""

    code = "foreign_answer"


class AnswerNotKept(Refusal):
    """The request ran and was billed, but its response is no longer stored."""

    code, status, error_type = "answer_not_kept", 409, "invalid_request_error"
    outcome = Outcome.RAN


class NoSuchPath(Refusal):
    """No endpoint matches the path and method."""

    code, status, error_type = "no_such_path", 404, "invalid_request_error"


class InternalFailure(Refusal):
    """An internal error of whinrack."""

    code, status, error_type = "internal", 500, "api_error"
