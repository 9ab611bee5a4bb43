"""Status of a daemon, as returned by ``GET /v1/status``."""

import msgspec

__all__ = ["FLEET_KEY_HEADER", "GrantStatus", "RouterStatus"]

FLEET_KEY_HEADER = "Whinrack-Fleet-Key"


class GrantStatus(msgspec.Struct, frozen=True):
    """Tokens of one budget held by this incarnation."""

    budget: str
    spendable: int
    open_cover: int
    closed: bool
    unreported: bool


class RouterStatus(msgspec.Struct, frozen=True):
    """Status of one daemon, shown by `whinrack status`."""

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
