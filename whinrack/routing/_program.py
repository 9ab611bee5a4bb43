"""Routing programs: one CEL expression, evaluated once for each request.

CEL has no loops beyond macros over given lists, so every program terminates. The size of
the facts depends on the number of pools, never on the number of targets.
"""

import math
from enum import StrEnum

import cel
import msgspec
from returns.result import Failure, Result, Success

from whinrack.exceptions import PolicyFailure
from whinrack.objects import RequestClass

__all__ = [
    "PoolFacts",
    "RequestFacts",
    "RouteDecision",
    "RoutingProgram",
    "Spread",
    "default_decision",
]

_MAX_PROGRAM_LENGTH = 8192
_MAX_ATTEMPTS = 5
_MAX_WAIT_SECONDS = 3600.0
_DECISION_FIELDS = {"pools", "class", "attempts", "wait", "spread", "repeatable"}


class Spread(StrEnum):
    """Strategy for choosing a target inside a pool."""

    TWO_CHOICES = "two_choices"
    AFFINITY = "affinity"


class RequestFacts(msgspec.Struct, frozen=True, kw_only=True):
    """Facts about a request, which a program sees as `request`."""

    workspace: str
    request_class: RequestClass
    model: str = ""
    stream: bool = False
    prompt_bytes: int = 0
    max_tokens: int = 0
    repeatable: bool = True


class PoolFacts(msgspec.Struct, frozen=True, kw_only=True):
    """Facts about one pool that serves the request, which a program sees in `pools`.

    Attributes
    ----------
    targets : int
        Targets that accept work.
    queued : int
        Requests in the pool's queue.
    busy : float
        Estimated load as a share of the targets' concurrency limits; 1 without targets.
    """

    targets: int = 0
    queued: int = 0
    busy: float = 0.0


class RouteDecision(msgspec.Struct, frozen=True, kw_only=True):
    """The result of a routing program.

    Attributes
    ----------
    pools : tuple of str
        Pools in the order they are tried.
    attempts : int
        Maximum number of attempts at targets, including the first.
    wait : float
        Maximum number of seconds in the queue.
    repeatable : bool
        False makes the request not repeatable; True leaves it as it is.
    """

    pools: tuple[str, ...]
    request_class: RequestClass = RequestClass.INTERACTIVE
    attempts: int = 2
    wait: float = 10.0
    spread: Spread = Spread.TWO_CHOICES
    repeatable: bool = True


class RoutingProgram:
    """A compiled routing program.

    Parameters
    ----------
    source : str
        A CEL expression over `request` and `pools` that evaluates to a map with any of
        `pools`, `class`, `attempts`, `wait`, `spread` and `repeatable`.

    Raises
    ------
    PolicyFailure
        If the program is too long or doesn't compile.

    Examples
    --------
    >>> program = RoutingProgram('{"attempts": request.stream ? 1 : 3}')
    >>> facts = RequestFacts(workspace="w", request_class=RequestClass.INTERACTIVE)
    >>> program.decide(facts, {"small": PoolFacts()}).unwrap().attempts
    3
    """

    def __init__(self, source: str):
        self.source = source
        if len(source) > _MAX_PROGRAM_LENGTH:
            raise PolicyFailure(
                f"the program: allowed are {_MAX_PROGRAM_LENGTH} characters, got {len(source)}"
            )
        try:
            self._program = cel.compile(source)
        except ValueError as error:
            raise PolicyFailure(str(error)) from error

    def decide(
        self, request: RequestFacts, pools: dict[str, PoolFacts]
    ) -> Result[RouteDecision, PolicyFailure]:
        """Evaluate the program for one request."""
        facts = {
            "request": _to_cel_facts(request),
            "pools": {name: msgspec.to_builtins(pool) for name, pool in pools.items()},
        }
        try:
            value = self._program.execute(facts)
            return Success(_parse_decision(value, request, tuple(pools)))
        except PolicyFailure as error:
            return Failure(error)
        # The CEL library raises exceptions of many types, depending on the fault.
        except Exception as error:
            return Failure(PolicyFailure(f"{type(error).__name__}: {error}"))


def default_decision(request: RequestFacts, pools: tuple[str, ...]) -> RouteDecision:
    """Return the documented default: all serving pools sorted by name, two attempts."""
    return RouteDecision(pools=tuple(sorted(pools)), request_class=request.request_class)


def _to_cel_facts(request: RequestFacts) -> dict[str, object]:
    """Return a request's facts as a map, with its class under the name that programs use."""
    facts = msgspec.to_builtins(request)
    facts["class"] = facts.pop("request_class")
    return facts


def _parse_decision(value, request: RequestFacts, serving: tuple[str, ...]) -> RouteDecision:
    """Validate the value of a program and convert it to a decision."""
    if not isinstance(value, dict):
        raise PolicyFailure(f"the result: allowed is a map, got {type(value).__name__}")
    unknown = set(value) - _DECISION_FIELDS
    if unknown:
        raise PolicyFailure(
            f"the result: allowed keys are {sorted(_DECISION_FIELDS)}, got {sorted(unknown)}"
        )
    default = default_decision(request, serving)
    requested = value.get("pools", list(default.pools))
    _require(isinstance(requested, list), "pools", "a list of names", requested)
    pools = tuple(name for name in requested if name in serving)
    _require(bool(pools), "pools", f"one or more of {list(serving)}", requested)
    attempts = value.get("attempts", default.attempts)
    is_valid = isinstance(attempts, int) and 1 <= attempts <= _MAX_ATTEMPTS
    _require(is_valid, "attempts", f"1 to {_MAX_ATTEMPTS}", attempts)
    wait = value.get("wait", default.wait)
    is_valid = (
        isinstance(wait, int | float) and math.isfinite(wait) and 0 <= wait <= _MAX_WAIT_SECONDS
    )
    _require(is_valid, "wait", f"0 to {_MAX_WAIT_SECONDS:g} s", wait)
    repeatable = value.get("repeatable", True)
    _require(isinstance(repeatable, bool), "repeatable", "true or false", repeatable)
    return RouteDecision(
        repeatable=repeatable,
        pools=pools,
        request_class=_parse_enum(RequestClass, "class", value, default.request_class),
        attempts=attempts,
        wait=float(wait),
        spread=_parse_enum(Spread, "spread", value, default.spread),
    )


def _parse_enum(kind: type[StrEnum], field: str, value: dict, default):
    got = value.get(field, default)
    allowed = [str(member) for member in kind]
    _require(got in allowed, field, f"one of {allowed}", got)
    return kind(got)


def _require(is_valid: bool, field: str, allowed: str, got: object) -> None:
    if not is_valid:
        raise PolicyFailure(f"{field}: allowed is {allowed}, got {got!r}")
