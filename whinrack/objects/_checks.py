"""The one place where declared objects are validated."""

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

_NAME = re.compile(r"[a-z0-9]([a-z0-9.-]{0,61}[a-z0-9])?")
_ADDRESS = re.compile(r"\d{1,3}(\.\d{1,3}){3}:\d{1,5}")
_MAX_TOKENS = 10**15
_MAX_COUNT = 100_000
_MAX_SECONDS = 86_400.0


def decode_spec(kind: str, name: str, value) -> Spec:
    """Build and check a spec from plain data.

    Raises
    ------
    InvalidObject
        Naming the field, what is allowed and what was got.
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
    """Refuse names other than short lower-case ones."""
    if not isinstance(name, str) or not _NAME.fullmatch(name):
        raise InvalidObject(
            f"name: allowed are 1 to 63 of a-z, 0-9, '.' and '-', starting and ending "
            f"with a letter or digit, got {name!r}"
        )


def check_spec(kind: str, name: str, spec: Spec) -> None:
    """Refuse field values out of range."""
    for field, allowed, got, good in _rules(spec):
        if not good:
            raise InvalidObject(f"{kind}/{name}: {field}: allowed is {allowed}, got {got!r}")


def _rules(spec: Spec) -> Iterator[tuple[str, str, object, bool]]:
    match spec:
        case Budget():
            ids = [topup.id for topup in spec.topups]
            yield "topups", "one entry for each id", ids, len(set(ids)) == len(ids)
            for topup in spec.topups:
                good = 0 < topup.tokens <= _MAX_TOKENS
                yield "topups.tokens", f"1 to {_MAX_TOKENS}", topup.tokens, good
                yield "topups.id", "1 to 63 characters", topup.id, 0 < len(topup.id) < 64
        case TargetPool():
            yield from _pool_rules(spec)
        case Target():
            good = bool(_ADDRESS.fullmatch(spec.address))
            yield "address", "an IPv4 address and port, as 127.0.0.1:8000", spec.address, good
            count = spec.max_concurrency
            yield "max_concurrency", f"1 to {_MAX_COUNT}", count, 0 < count <= _MAX_COUNT
        case _:
            return


def _pool_rules(spec: TargetPool) -> Iterator[tuple[str, str, object, bool]]:
    chat = spec.protocol is Protocol.CHAT
    yield "models", "one or more for a chat pool", spec.models, bool(spec.models) or not chat
    for field in ("max_output_tokens", "queue_limit"):
        count = getattr(spec, field)
        yield field, f"1 to {_MAX_COUNT}", count, 0 < count <= _MAX_COUNT
    overhead = spec.prompt_overhead_tokens
    yield "prompt_overhead_tokens", f"0 to {_MAX_COUNT}", overhead, 0 <= overhead <= _MAX_COUNT
    seconds = spec.request_timeout
    good = math.isfinite(seconds) and 0 < seconds <= _MAX_SECONDS
    yield "request_timeout", f"above 0 to {_MAX_SECONDS:g} s", seconds, good


def check_references(objects: Mapping[tuple[str, str], Spec]) -> None:
    """Refuse an object that names another one that isn't there.

    Parameters
    ----------
    objects : mapping of (kind, name) to Spec
        All objects as they would be in force.
    """
    for (kind, name), spec in objects.items():
        for field, wanted, target in _references(spec):
            if target and (wanted, target) not in objects:
                raise InvalidObject(
                    f"{kind}/{name}: {field}: allowed is the name of a {wanted}, got {target!r}"
                )


def _references(spec: Spec) -> Iterator[tuple[str, str, str]]:
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
