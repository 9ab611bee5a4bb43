"""What a check of a configuration reports."""

from enum import StrEnum

import msgspec

__all__ = ["Finding", "FindingCode", "Severity"]


class Severity(StrEnum):
    """An error breaks requests or drops entries; a warning may be intended."""

    ERROR = "error"
    WARNING = "warning"


class FindingCode(StrEnum):
    """Stable codes, documented in docs/operators.md."""

    UNDECODABLE = "undecodable"
    VERSION_NOT_HIGHER = "version_not_higher"
    IGNORED_FIELD = "ignored_field"
    DUPLICATE_ROUTE = "duplicate_route"
    EQUIVALENT_ROUTE = "equivalent_route"
    MALFORMED_PREFIX = "malformed_prefix"
    UNMATCHABLE_HOST = "unmatchable_host"
    UNKNOWN_POOL = "unknown_pool"
    NEGATIVE_WEIGHT = "negative_weight"
    NO_POSITIVE_WEIGHT = "no_positive_weight"
    ZERO_TIMEOUT = "zero_timeout"
    GOAL_ABOVE_TIMEOUT = "goal_above_timeout"
    UNUSED_ATTEMPTS = "unused_attempts"
    REPEATED_AT_MOST_ONCE = "repeated_at_most_once"
    DUPLICATE_NAME = "duplicate_name"
    UNUSED_POOL = "unused_pool"
    NEGATIVE_LIMIT = "negative_limit"
    SLOTS_ABOVE_CONNECTIONS = "slots_above_connections"
    NO_EVENT_TOKENS = "no_event_tokens"
    PARTIAL_COLD_START = "partial_cold_start"
    ZERO_LIMIT = "zero_limit"
    NO_BODIES = "no_bodies"
    DUPLICATE_KEY = "duplicate_key"
    EMPTY_KEY = "empty_key"
    UNMATCHABLE_KEY = "unmatchable_key"
    NO_KEYS = "no_keys"
    TOKEN_LIMIT_BELOW_REQUEST = "token_limit_below_request"
    LOWERED_TOKEN_LIMIT = "lowered_token_limit"

    @property
    def severity(self) -> Severity:
        """Severity of all findings with this code."""
        return Severity.WARNING if self in _WARNINGS else Severity.ERROR


_WARNINGS = {
    FindingCode.IGNORED_FIELD,
    FindingCode.EQUIVALENT_ROUTE,
    FindingCode.GOAL_ABOVE_TIMEOUT,
    FindingCode.UNUSED_ATTEMPTS,
    FindingCode.UNUSED_POOL,
    FindingCode.SLOTS_ABOVE_CONNECTIONS,
    FindingCode.PARTIAL_COLD_START,
    FindingCode.NO_BODIES,
    FindingCode.NO_KEYS,
    FindingCode.TOKEN_LIMIT_BELOW_REQUEST,
    FindingCode.LOWERED_TOKEN_LIMIT,
}


class Finding(msgspec.Struct, frozen=True):
    """One fault or doubt.

    Attributes
    ----------
    where : str
        The entry or file.
    message : str
        Human-readable; contains no keys.
    """

    severity: Severity
    code: FindingCode
    where: str
    message: str

    @classmethod
    def make(cls, code: FindingCode, where: str, message: str) -> "Finding":
        """Return a finding with the severity of its code."""
        return cls(code.severity, code, where, message)
