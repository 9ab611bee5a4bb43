"""Every failure of whinrack as a type.

A `WhinrackError` carries a stable `code`. Failures that a caller sees derive from
`Refusal`, which adds the HTTP status, the outcome and when to come back.
"""

from whinrack.base import Outcome

__all__ = [
    "AnswerCut",
    "AnswerNotKept",
    "BadRequest",
    "BodyTooLarge",
    "BudgetContended",
    "BudgetExhausted",
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
    "ReplyLost",
    "NoRoute",
    "Refusal",
    "RouterStopping",
    "RequestQuarantined",
    "RequestTimeout",
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
    """Base of every failure; `code` is stable, the message is for people."""

    code = "whinrack"

    def __init__(self, message: str = ""):
        super().__init__(message or self.code)
        self.message = message or self.code


class InvalidSettings(WhinrackError):
    """A settings key whose value isn't allowed."""

    code = "invalid_settings"


class InvalidObject(WhinrackError):
    """A declared object with a field whose value isn't allowed."""

    code = "invalid_object"


class PolicyFailure(WhinrackError):
    """A routing program that doesn't compile, fails or returns a wrong value."""

    code = "policy_failure"


class PeerUnavailable(WhinrackError):
    """A peer that didn't answer in time, or refused the call."""

    code = "peer_unavailable"


class CallerGone(WhinrackError):
    """The caller closed its connection, or doesn't read its answer."""

    code = "caller_gone"


# --- the platform's object API ---------------------------------------------------


class PlatformFailure(WhinrackError):
    """Base of what a call to the platform can fail with."""

    code = "platform_failure"


class PlatformUnavailable(PlatformFailure):
    """The call did not reach the platform, or it refused to serve."""

    code = "platform_unavailable"


class ReplyLost(PlatformUnavailable):
    """A read was sent and no reply came: the connection may be dead and the platform well."""

    code = "reply_lost"


class WriteUnknown(PlatformFailure):
    """A write was sent and its reply lost: it may have taken effect."""

    code = "write_unknown"


class RateExceeded(PlatformFailure):
    """The call was held back by this process's own rate limit."""

    code = "platform_rate"


class NotFound(PlatformFailure):
    """No such object."""

    code = "not_found"


class Conflict(PlatformFailure):
    """The object is not at the version that the write was conditional on.

    Attributes
    ----------
    current : object or None
        The stored object as the platform returned it, None if there is none.
    """

    code = "conflict"

    def __init__(self, message: str = "", current=None):
        super().__init__(message)
        self.current = current


# --- what callers are told -------------------------------------------------------


class Refusal(WhinrackError):
    """A request's final answer other than its target's.

    Parameters
    ----------
    message : str
        For people.
    param : str, optional
        The field of the request that is at fault.
    retry_after : float, optional
        Seconds after which coming back makes sense.
    outcome : Outcome, optional
        Overrides the type's usual outcome.

    Attributes
    ----------
    attempts : int
        Tries at targets before the request was given up.
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
    """No key, or one that isn't known."""

    code, status, error_type = "invalid_api_key", 401, "authentication_error"


class Forbidden(Refusal):
    """The key may not use what it asked for."""

    code, status, error_type = "forbidden", 403, "permission_error"


class BadRequest(Refusal):
    """The request is malformed; `param` names the field."""

    code, status, error_type = "bad_request", 400, "invalid_request_error"


class CoverUnbounded(BadRequest):
    """No provable bound on the tokens of the request exists."""

    code = "cover_unbounded"


class UnknownModel(Refusal):
    """No pool serves this model."""

    code, status, error_type = "model_not_found", 404, "invalid_request_error"


class UnknownPool(Refusal):
    """No plain service pool of this name."""

    code, status, error_type = "pool_not_found", 404, "invalid_request_error"


class RequestTimeout(Refusal):
    """The caller took too long to send its request."""

    code, status, error_type = "request_timeout", 408, "invalid_request_error"


class KeyReused(Refusal):
    """The Idempotency-Key was used before with another body."""

    code, status, error_type = "idempotency_key_reused", 409, "invalid_request_error"


class BodyTooLarge(Refusal):
    """The body is larger than allowed."""

    code, status, error_type = "body_too_large", 413, "invalid_request_error"


class HeadersTooLarge(Refusal):
    """The request's head is larger than allowed."""

    code, status, error_type = "headers_too_large", 431, "invalid_request_error"


class NoRoute(Refusal):
    """No route in force has this host and path."""

    code, status, error_type = "no_route", 404, "invalid_request_error"


class ConfigurationUnknown(Refusal):
    """This instance has not learnt any configuration yet."""

    code, status, error_type = "configuration_unknown", 503, "overloaded_error"


class RouterStopping(Refusal):
    """This instance is about to stop and takes no more requests."""

    code, status, error_type = "router_stopping", 503, "overloaded_error"


class BudgetExhausted(Refusal):
    """The prepaid budget can't cover the request."""

    code, status, error_type = "budget_exhausted", 402, "insufficient_quota"


class BudgetContended(Refusal):
    """The budget has tokens, but none that this instance can reach now."""

    code, status, error_type = "budget_contended", 429, "rate_limit_error"


class QueueFull(Refusal):
    """The pool's bounded queue is full."""

    code, status, error_type = "queue_full", 429, "rate_limit_error"


class DeadlineUnreachable(Refusal):
    """The request can't be started before its deadline."""

    code, status, error_type = "deadline_unreachable", 429, "rate_limit_error"


class TargetUnavailable(Refusal):
    """No target of the allowed pools takes work now."""

    code, status, error_type = "target_unavailable", 503, "overloaded_error"


class TargetsCold(Refusal):
    """All targets have just started, and bear no more requests now."""

    code, status, error_type = "targets_cold", 503, "overloaded_error"


class TargetsLimited(Refusal):
    """All targets say that they take few requests, and those are taken."""

    code, status, error_type = "targets_limited", 503, "overloaded_error"


class TargetsOverloaded(Refusal):
    """All targets have told this instance to back off."""

    code, status, error_type = "targets_overloaded", 503, "overloaded_error"


class RequestQuarantined(Refusal):
    """Targets ended under each run of this request; it goes to no more."""

    code, status, error_type = "request_quarantined", 503, "api_error"


class ClaimUnavailable(Refusal):
    """A request that must run at most once couldn't be claimed."""

    code, status, error_type = "claim_unavailable", 503, "overloaded_error"


class OutcomeUnknown(Refusal):
    """The request may have run; it is not run again."""

    code, status, error_type = "outcome_unknown", 503, "api_error"
    outcome = Outcome.UNKNOWN


class TargetFailed(Refusal):
    """The target failed after work was sent to it."""

    code, status, error_type = "target_failed", 502, "api_error"
    outcome = Outcome.UNKNOWN


class AttemptTimeout(TargetFailed):
    """The target gave no whole answer within the time that the request had."""

    code, status = "attempt_timeout", 504


class AnswerCut(TargetFailed):
    """The target's answer ended before it was whole."""

    code = "answer_cut"


class ForeignAnswer(TargetFailed):
    """The target answered with another request's id."""

    code = "foreign_answer"


class AnswerNotKept(Refusal):
    """The request ran and was billed, but its answer is no longer here."""

    code, status, error_type = "answer_not_kept", 409, "invalid_request_error"
    outcome = Outcome.RAN


class NoSuchPath(Refusal):
    """No endpoint has this path and method."""

    code, status, error_type = "no_such_path", 404, "invalid_request_error"


class InternalFailure(Refusal):
    """Whinrack itself failed."""

    code, status, error_type = "internal", 500, "api_error"
