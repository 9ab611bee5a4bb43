"""Validation of declared objects; all of it happens here."""

import math
import re
from collections.abc import Iterator, Mapping

import msgspec

from whinrack.exceptions import InvalidObject
from whinrack.objects._kinds import (
    DECLARED_KINDS,
    ApiKey,
    Budget,
    Protocol,
    Spec,
    Target,
    TargetPool,
    Workspace,
)

__all__ = ["check_name", "check_references", "check_spec", "decode_spec"]

_NAME_PATTERN = re.compile(r"[a-z0-9]([a-z0-9.-]{0,61}[a-z0-9])?")
_ADDRESS_PATTERN = re.compile(r"\d{1,3}(\.\d{1,3}){3}:\d{1,5}")
_MAX_TOKENS = 10**15
_MAX_COUNT = 100_000
_MAX_SECONDS = 86_400.0


def decode_spec(kind: str, name: str, value) -> Spec:
    """Build a spec from decoded data and validate it.

    Raises
    ------
    InvalidObject
        With the field, the allowed values and the actual one in its message.
    """
    if kind not in DECLARED_KINDS:
        raise InvalidObject(f"kind: allowed are {', '.join(DECLARED_KINDS)}, got {kind!r}")
    check_name(name)
    try:
        spec = msgspec.convert(value, DECLARED_KINDS[kind])
    except msgspec.ValidationError as error:
        raise InvalidObject(f"{kind}/{name}: {error}") from error
    check_spec(kind, name, spec)
    return spec


def check_name(name: str) -> None:
    """Check that an object name matches the allowed pattern.

    Raises
    ------
    InvalidObject
        If the name is too long, or has other characters than allowed.
    """
    if not isinstance(name, str) or not _NAME_PATTERN.fullmatch(name):
        raise InvalidObject(
            f"name: allowed are 1 to 63 of a-z, 0-9, '.' and '-', starting and ending "
            f"with a letter or digit, got {name!r}"
        )


def check_spec(kind: str, name: str, spec: Spec) -> None:
    """Check that all field values of a spec are in range.

    Raises
    ------
    InvalidObject
        For the first field that is not.
    """
    for field, expected, actual, is_valid in _iter_checks(spec):
        if not is_valid:
            raise InvalidObject(f"{kind}/{name}: {field}: allowed is {expected}, got {actual!r}")


def _iter_checks(spec: Spec) -> Iterator[tuple[str, str, object, bool]]:
    """Yield each checked field, its allowed values, the actual one and whether it is valid."""
    match spec:
        case Budget():
            ids = [topup.id for topup in spec.topups]
            yield "topups", "one entry for each id", ids, len(set(ids)) == len(ids)
            for topup in spec.topups:
                is_valid = 0 < topup.tokens <= _MAX_TOKENS
                yield "topups.tokens", f"1 to {_MAX_TOKENS}", topup.tokens, is_valid
                yield "topups.id", "1 to 63 characters", topup.id, 0 < len(topup.id) < 64
        case TargetPool():
            yield from _iter_pool_checks(spec)
        case Target():
            is_valid = bool(_ADDRESS_PATTERN.fullmatch(spec.address))
            yield "address", "an IPv4 address and port, as 127.0.0.1:8000", spec.address, is_valid
            count = spec.max_concurrency
            yield "max_concurrency", f"1 to {_MAX_COUNT}", count, 0 < count <= _MAX_COUNT
        case _:
            return


def _iter_pool_checks(spec: TargetPool) -> Iterator[tuple[str, str, object, bool]]:
    is_chat = spec.protocol is Protocol.CHAT
    yield "models", "one or more for a chat pool", spec.models, bool(spec.models) or not is_chat
    for field in ("max_output_tokens", "queue_limit"):
        count = getattr(spec, field)
        yield field, f"1 to {_MAX_COUNT}", count, 0 < count <= _MAX_COUNT
    overhead = spec.prompt_overhead_tokens
    yield "prompt_overhead_tokens", f"0 to {_MAX_COUNT}", overhead, 0 <= overhead <= _MAX_COUNT
    seconds = spec.request_timeout
    is_valid = math.isfinite(seconds) and 0 < seconds <= _MAX_SECONDS
    yield "request_timeout", f"above 0 to {_MAX_SECONDS:g} s", seconds, is_valid


def check_references(objects: Mapping[tuple[str, str], Spec]) -> None:
    """Check that every reference to another object can be resolved.

    Parameters
    ----------
    objects : mapping of (kind, name) to Spec
        All objects as they would be after the change.

    Raises
    ------
    InvalidObject
        For the first reference to an object that is not among them.
    """
    for (kind, name), spec in objects.items():
        for field, referenced_kind, referenced_name in _iter_references(spec):
            if referenced_name and (referenced_kind, referenced_name) not in objects:
                raise InvalidObject(
                    f"{kind}/{name}: {field}: allowed is the name of a {referenced_kind}, "
                    f"got {referenced_name!r}"
                )


def _iter_references(spec: Spec) -> Iterator[tuple[str, str, str]]:
    """Yield each reference's field, the kind it refers to and the name it holds."""
    match spec:
        case Workspace():
            yield "policy", "RoutingPolicy", spec.policy
        case Budget():
            yield "workspace", "Workspace", spec.workspace
        case Target():
            yield "pool", "TargetPool", spec.pool
        case ApiKey():
            yield "workspace", "Workspace", spec.workspace
            yield "budget", "Budget", spec.budget
        case _:
            return
