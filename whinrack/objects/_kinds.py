"""The system's own kinds of object, as typed structs.

Amounts are whole tokens, durations seconds. Every struct refuses unknown fields,
so that a misspelt one is found at apply and not at run time.
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
    """How long a request can wait; the order is the order of service."""

    ALERT = "alert"
    INTERACTIVE = "interactive"
    DEFERRABLE = "deferrable"


class Weighting(StrEnum):
    """Which measure a workspace weighs more at the end of a budget."""

    FALSE_REFUSALS = "false_refusals"
    OVERSPEND = "overspend"


class Protocol(StrEnum):
    """What a pool's targets speak."""

    CHAT = "chat"
    SERVICE = "service"


class TargetState(StrEnum):
    """Whether a target takes new work."""

    ACTIVE = "active"
    LEAVING = "leaving"


class Spec(msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """Base of the declared kinds' fields."""


class Workspace(Spec):
    """A customer: who pays, under which routing policy."""

    policy: str = ""
    weighting: Weighting = Weighting.OVERSPEND
    default_class: RequestClass = RequestClass.INTERACTIVE


class TopUp(Spec):
    """One payment into a budget, counted once by its id."""

    id: str
    tokens: int


class Budget(Spec):
    """A prepaid amount of tokens of a workspace.

    `account` is assigned when the budget is first applied and never changes.
    """

    workspace: str
    topups: tuple[TopUp, ...] = ()
    account: str = ""


class TargetPool(Spec):
    """Targets that serve the same thing, with the limits they share."""

    protocol: Protocol = Protocol.CHAT
    models: tuple[str, ...] = ()
    max_output_tokens: int = 1024
    prompt_overhead_tokens: int = 16
    repeatable: bool = True
    queue_limit: int = 64
    request_timeout: float = 120.0


class Target(Spec):
    """One model runner or plain service process."""

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
    """A bearer key's salted hash, with what it may draw on."""

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
