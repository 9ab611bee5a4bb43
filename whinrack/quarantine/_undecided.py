"""Requests of which it is undecided whether they, or a part of their prompt, are to blame.

An innocent request may have run beside the cause at each end of a target, or the evidence that
explains its ends may still be on its way. A decision takes a fraction of a second, so such a
request waits for it instead of being refused. If it has rivals, a trial run decides.
"""

from collections.abc import Callable, Iterable, Sequence
from enum import StrEnum
from typing import Protocol

from returns.result import Success

from whinrack.observability import Event, log_event
from whinrack.quarantine._attribution import find_outside_rivals
from whinrack.quarantine._blame_times import BlameTimes
from whinrack.quarantine._case_store import CaseStore
from whinrack.quarantine._cases import Case
from whinrack.quarantine._host import QuarantineHost
from whinrack.quarantine._table import CaseTable
from whinrack.quarantine._trials import seconds_until_rival_trial, seconds_until_trial_has_run
from whinrack.quarantine.base import RequestSignature

__all__ = ["UndecidedBlames"]

# Time after a blame within which other instances report what they saw at the same ends.
_SETTLE_SECONDS = 0.5
# Maximum time for which a request waits.
_MAX_WAIT_SECONDS = 2.5
# Interval at which a waiting request looks at the evidence, and the one after a failed claim.
_POLL_SECONDS = 0.05
_CLAIM_RETRY_SECONDS = 0.25


class _Outcome(StrEnum):
    """What a request was told after its blame was undecided."""

    RELEASED = "released"
    TRIAL = "trial"
    BLAMED = "blamed"


class EvidenceHolder(Protocol):
    """What the decisions need of the quarantine."""

    table: CaseTable
    case_store: CaseStore
    host: QuarantineHost

    def merge_cases(self, cases: Iterable[Case], source: str) -> list[Case]:
        """Merge cases from the store."""

    def record_trial(self, cases: Sequence[Case]) -> None:
        """Record a trial run and announce it to all instances."""


class UndecidedBlames:
    """Waits for decisions on blamed requests and claims the trials of those with rivals.

    Parameters
    ----------
    quarantine : EvidenceHolder
    steady : callable
        Returns the steady clock in seconds.
    sleep : callable
    """

    def __init__(
        self,
        quarantine: EvidenceHolder,
        steady: Callable[[], float],
        sleep: Callable[[float], None],
    ):
        self.quarantine = quarantine
        self.steady = steady
        self.sleep = sleep
        self._times = BlameTimes()

    def update_times(self, blamed: Iterable[Case]) -> None:
        """Record when blames and trials become known."""
        self._times.update(blamed, self.steady())

    def await_decision(self, request: RequestSignature, deadline: float) -> bool:
        """Wait while it is undecided whether a request with blamed names is the cause.

        Returns
        -------
        bool
            Whether a trial run was claimed for the request.
        """
        if not self.quarantine.table.blamed_cases(request.names):
            return False
        began = self.steady()
        outcome = self._poll(request, min(deadline, began + _MAX_WAIT_SECONDS))
        waited = self.steady() - began
        if waited >= _POLL_SECONDS or outcome is _Outcome.TRIAL:
            log_event(
                Event.QUARANTINE_AWAITED,
                fingerprint=request.fingerprint,
                outcome=outcome,
                waited=round(waited, 3),
            )
        return outcome is _Outcome.TRIAL

    def seconds_until_trial(self, blamed: Sequence[Case]) -> float | None:
        """Return the seconds until a trial of names with rivals, None if they have no rivals."""
        rivals = self._outside_rivals(blamed)
        return self._seconds_until_trial(blamed, rivals) if rivals else None

    def _outside_rivals(self, blamed: Sequence[Case]) -> list[Case]:
        table = self.quarantine.table
        return find_outside_rivals(
            blamed, {case.fingerprint: table.rivals(case.fingerprint) for case in blamed}
        )

    def _poll(self, request: RequestSignature, until: float) -> _Outcome:
        table = self.quarantine.table
        while blamed := table.blamed_cases(request.names):
            rivals = self._outside_rivals(blamed)
            pause = _POLL_SECONDS
            if rivals and self._seconds_until_trial(blamed, rivals) == 0.0:
                if self._try_claim_trial(blamed, rivals):
                    return _Outcome.TRIAL
                pause = _CLAIM_RETRY_SECONDS
            left = self._seconds_until_decision(blamed, rivals)
            if left is None or self.steady() + max(left, pause) > until:
                return _Outcome.BLAMED
            self.sleep(pause)
        return _Outcome.RELEASED

    def _seconds_until_trial(self, blamed: Sequence[Case], rivals: list[Case]) -> float | None:
        now = self.steady()
        rivals_tried_seconds = [self._times.tried_seconds(rival, now) for rival in rivals]
        waits = [
            seconds_until_rival_trial(
                case.trials, self._times.tried_seconds(case, now), rivals_tried_seconds
            )
            for case in blamed
        ]
        return None if None in waits else max(waits)

    def _seconds_until_decision(self, blamed: Sequence[Case], rivals: list[Case]) -> float | None:
        """Return the seconds until new evidence is expected, None if none is."""
        now = self.steady()
        settling = max(_SETTLE_SECONDS - self._times.blamed_seconds(case, now) for case in blamed)
        expected = [settling if settling > 0.0 else None]
        if rivals:
            expected.append(self._seconds_until_trial(blamed, rivals))
            expected += [
                seconds_until_trial_has_run(case.trials, self._times.tried_seconds(case, now))
                for case in blamed
            ]
        return min((seconds for seconds in expected if seconds is not None), default=None)

    def _try_claim_trial(self, blamed: Sequence[Case], rivals: list[Case]) -> bool:
        """Try to claim the next trial run and announce it.

        While the store does not answer, only the announcement tells the other instances of it.
        It then takes a majority, so that no two parts of the fleet run the same trial.
        """
        is_claimed = self._claim_in_store(blamed, rivals)
        is_stored = is_claimed is not None
        if not is_stored:
            is_claimed = self.quarantine.host.is_hearing_majority()
        if is_claimed:
            self.quarantine.record_trial(blamed)
        if is_claimed and not is_stored:
            self.quarantine.host.schedule_save()
        log_event(
            Event.QUARANTINE_TRIAL,
            fingerprint=" ".join(case.fingerprint for case in blamed),
            trial=max(case.trials for case in blamed) + 1,
            taken=is_claimed,
            rivals=" ".join(rival.fingerprint for rival in rivals),
        )
        return is_claimed

    def _claim_in_store(self, blamed: Sequence[Case], rivals: list[Case]) -> bool | None:
        """Claim a trial in the store, None if the store does not answer."""
        if not self.quarantine.host.is_store_reachable():
            return None
        claim = self.quarantine.case_store.claim_rival_trial(blamed, rivals)
        if not isinstance(claim, Success):
            return None
        self.quarantine.merge_cases(claim.unwrap().cases, "store")
        return claim.unwrap().is_claimed
