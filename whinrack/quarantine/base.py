"""What the pipeline asks before a run, and tells after it."""

import msgspec

from whinrack.quarantine._cases import TargetEnd

__all__ = ["AdmitAll", "RequestSignature", "RunGuard"]


class RequestSignature(msgspec.Struct, frozen=True):
    """All requests with one fingerprint, whose they are and the route that they came on."""

    fingerprint: str
    workspace: str
    route: str


class RunGuard:
    """Keeps requests from targets, and learns how runs end."""

    def admit(self, run: RequestSignature) -> None:
        """Let a request go to a target.

        Raises
        ------
        RequestQuarantined
        """
        raise NotImplementedError

    def record_success(self, run: RequestSignature) -> None:
        """Learn that a target ran a request to its end, and lives."""
        raise NotImplementedError

    def record_target_end(self, end: TargetEnd, runs: list[RequestSignature]) -> None:
        """Learn that a target ended by itself, and which requests from here it cut."""
        raise NotImplementedError


class AdmitAll(RunGuard):
    """Keeps nothing away."""

    def admit(self, run: RequestSignature) -> None:
        """Let it go."""

    def record_success(self, run: RequestSignature) -> None:
        """Learn nothing."""

    def record_target_end(self, end: TargetEnd, runs: list[RequestSignature]) -> None:
        """Learn nothing."""
