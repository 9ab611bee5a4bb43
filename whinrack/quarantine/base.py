"""Interface between the request pipeline and the quarantine."""

import msgspec

from whinrack.quarantine._cases import TargetEnd

__all__ = ["AdmitAll", "RequestSignature", "RunGuard"]


class RequestSignature(msgspec.Struct, frozen=True):
    """Fingerprint, workspace and route that identify equal requests."""

    fingerprint: str
    workspace: str
    route: str


class RunGuard:
    """Decides whether requests may run on targets and is notified how their runs end."""

    def admit(self, run: RequestSignature, deadline: float | None = None) -> bool:
        """Check that a request may run on a target.

        Parameters
        ----------
        run : RequestSignature
        deadline : float, optional
            Steady clock time up to which the call may wait for a decision.

        Returns
        -------
        bool
            Whether the run is a trial run of a quarantined request.

        Raises
        ------
        RequestQuarantined
            If the request is in quarantine.
        """
        raise NotImplementedError

    def return_trial(self, run: RequestSignature) -> None:
        """Record that no target ran a request that was admitted as a trial run."""
        raise NotImplementedError

    def record_success(self, run: RequestSignature) -> None:
        """Record that a target has completed a request and is still running."""
        raise NotImplementedError

    def record_target_end(self, end: TargetEnd, runs: list[RequestSignature]) -> None:
        """Record the unplanned end of a target, and the requests from here that it interrupted."""
        raise NotImplementedError


class AdmitAll(RunGuard):
    """Guard without a quarantine."""

    def admit(self, run: RequestSignature, deadline: float | None = None) -> bool:
        """Admit every request."""
        return False

    def return_trial(self, run: RequestSignature) -> None:
        """Ignore the trial."""

    def record_success(self, run: RequestSignature) -> None:
        """Ignore the success."""

    def record_target_end(self, end: TargetEnd, runs: list[RequestSignature]) -> None:
        """Ignore the end."""
