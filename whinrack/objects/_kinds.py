"""Declared object kinds as typed structs.

Amounts are in tokens, durations in seconds. Every struct rejects unknown fields, so that
a misspelt field is found when a declaration is applied and not at run time.
"""

from enum import StrEnum

import msgspec

__all__ = [
    "DECLARED_KINDS",
    "ApiKey",
    "Budget",
    "Protocol",
    "RequestClass",
    "RoutingPolicy",
    "Spec",
    "Target",
    "TargetPool",
    "TargetState",
    "TopUp",
    "Weighting",
    "Workspace",
]


class RequestClass(StrEnum):
    """Urgency of a request; classes are listed in the order in which they are served."""

    ALERT = "alert"
    INTERACTIVE = "interactive"
    DEFERRABLE = "deferrable"


class Weighting(StrEnum):
    """Which of two errors a workspace prefers to avoid when a budget is nearly used up."""

    FALSE_REFUSALS = "false_refusals"
    OVERSPEND = "overspend"


class Protocol(StrEnum):
    """Protocol of a pool's targets."""

    CHAT = "chat"
    SERVICE = "service"


class TargetState(StrEnum):
    """Whether a target accepts new requests."""

    ACTIVE = "active"
    LEAVING = "leaving"


class Spec(msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """Base class of the specs of all declared kinds."""


class Workspace(Spec):
    """A customer that pays for requests, with its routing policy."""

    policy: str = ""
    weighting: Weighting = Weighting.OVERSPEND
    default_class: RequestClass = RequestClass.INTERACTIVE


class TopUp(Spec):
    """A payment into a budget; its id ensures that it is counted once."""

    id: str
    tokens: int


class Budget(Spec):
    """A prepaid budget of a workspace, in tokens.

    `account` is assigned when the budget is first applied and never changes.
    """

    workspace: str
    topups: tuple[TopUp, ...] = ()
    account: str = ""


class TargetPool(Spec):
    """A group of interchangeable targets and the limits that apply to them."""

    protocol: Protocol = Protocol.CHAT
    models: tuple[str, ...] = ()
    max_output_tokens: int = 1024
    prompt_overhead_tokens: int = 16
    repeatable: bool = True
    queue_limit: int = 64
    request_timeout: float = 120.0


class Target(Spec):
    """A single model runner or plain service process."""

    pool: str
    address: str
    instance: str = ""
    data_hall: str = ""
    state: TargetState = TargetState.ACTIVE
    max_concurrency: int = 8
    checks_orders: bool = False


class RoutingPolicy(Spec):
    """A routing program in CEL; see `whinrack.routing`."""

    program: str


class ApiKey(Spec):
    """Salted hash of a bearer key, with the workspace and budget that it may use."""

    workspace: str
    budget: str
    salt: str
    digest: str


DECLARED_KINDS: dict[str, type[Spec]] = {
    "Workspace": Workspace,
    "Budget": Budget,
    "TargetPool": TargetPool,
    "Target": Target,
    "RoutingPolicy": RoutingPolicy,
    "ApiKey": ApiKey,
}
