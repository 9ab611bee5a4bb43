"""Interface between the request pipeline and the quarantine."""

import msgspec

from whinrack.quarantine._cases import Case, TargetEnd

__all__ = ["AdmitAll", "RequestSignature", "RunGuard"]


class RequestSignature(msgspec.Struct, frozen=True):
    """What a request is identified by as the possible cause of the end of a target.

    Attributes
    ----------
    fingerprint, workspace, route : str
        Identify equal requests.
    pool : str
        Pool of the target.
    parts : tuple of str
        Names of the parts of its prompt that other requests may share, from `compute_part_name`.
    """

    fingerprint: str
    workspace: str
    route: str
    pool: str = ""
    parts: tuple[str, ...] = ()

    @property
    def names(self) -> tuple[str, ...]:
        """Names of the possible causes: the request as a whole, and each part of its prompt."""
        return (self.fingerprint, *self.parts)

    def without_parts(self) -> "RequestSignature":
        """Return the signature of the request as a whole only."""
        return msgspec.structs.replace(self, parts=())

    def suspects(self) -> list[Case]:
        """Return a case without evidence for each possible cause.

        A part may end targets whoever sends it, so its case belongs to no workspace.
        """
        request = Case(fingerprint=self.fingerprint, workspace=self.workspace, route=self.route)
        return [request, *(Case(fingerprint=part, route=self.pool) for part in self.parts)]


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
