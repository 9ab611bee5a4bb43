"""Requests that are kept out, as operators see them."""

import msgspec

from whinrack.quarantine._cases import Case

__all__ = ["QuarantinedRequest", "describe_case"]


class QuarantinedRequest(msgspec.Struct, frozen=True):
    """A request that goes to no target.

    Attributes
    ----------
    targets : tuple of str
        Those that ended under it, as name@start.
    ended_at : float
        Unix time of the last end, seconds.
    trials : int
        Runs that were let through since.
    """

    fingerprint: str
    workspace: str
    route: str
    targets: tuple[str, ...]
    ended_at: float
    trials: int


def describe_case(case: Case) -> QuarantinedRequest:
    """Return a case as operators see it."""
    return QuarantinedRequest(
        fingerprint=case.fingerprint,
        workspace=case.workspace,
        route=case.route,
        targets=case.target_names(),
        ended_at=case.ended_at,
        trials=case.trials,
    )
