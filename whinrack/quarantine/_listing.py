"""Quarantined requests as they are shown to operators."""

import msgspec

from whinrack.quarantine._cases import Case

__all__ = ["QuarantinedRequest", "describe_case"]


class QuarantinedRequest(msgspec.Struct, frozen=True):
    """A request in quarantine.

    Attributes
    ----------
    fingerprint, workspace, route : str
        What is quarantined; see `Case`.
    targets : tuple of str
        Targets that ended while they ran the request, as `name@started`.
    ended_at : float
        Unix time of the last end, seconds.
    trials : int
        Trial runs that have been admitted since.
    """

    fingerprint: str
    workspace: str
    route: str
    targets: tuple[str, ...]
    ended_at: float
    trials: int


def describe_case(case: Case) -> QuarantinedRequest:
    """Return a case in the form that operators see."""
    return QuarantinedRequest(
        fingerprint=case.fingerprint,
        workspace=case.workspace,
        route=case.route,
        targets=case.target_names(),
        ended_at=case.ended_at,
        trials=case.trials,
    )
