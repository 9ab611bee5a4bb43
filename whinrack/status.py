"""What a daemon tells operators about itself, at ``GET /v1/status``."""

import msgspec

__all__ = ["FLEET_KEY_HEADER", "GrantStatus", "RouterStatus"]

FLEET_KEY_HEADER = "Whinrack-Fleet-Key"


class GrantStatus(msgspec.Struct, frozen=True):
    """What this incarnation holds of one budget."""

    budget: str
    spendable: int
    open_cover: int
    closed: bool
    unreported: bool


class RouterStatus(msgspec.Struct, frozen=True):
    """What `whinrack status` shows of one daemon."""

    incarnation: str
    leaving: bool
    newest: int
    requests_in_progress: int
    members: list[str]
    watching: bool
    leaving_targets: list[str]
    ejected_targets: list[str]
    grants: list[GrantStatus]
    versions: dict[str, int]
