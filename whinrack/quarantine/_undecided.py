"""Requests of which it is undecided whether they are to blame.

An innocent request may have run beside the cause at each end of a target, or the evidence that
explains its ends may still be on its way. A decision takes a fraction of a second, so such a
request waits for it instead of being refused. If it has rivals, a trial run decides.
"""

from collections.abc import Callable, Iterable
from enum import StrEnum
from typing import Protocol

from returns.result import Success

from whinrack.observability import Event, log_event
from whinrack.quarantine._blame_times import BlameTimes
from whinrack.quarantine._case_store import CaseStore
from whinrack.quarantine._cases import Case
from whinrack.quarantine._host import QuarantineHost
from whinrack.quarantine._table import CaseTable
from whinrack.quarantine._trials import seconds_until_rival_trial, seconds_until_trial_has_run

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

    def record_trial(self, case: Case) -> None:
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

    def await_decision(self, fingerprint: str, deadline: float) -> bool:
        """Wait while it is undecided whether a blamed request is the cause.

        Returns
        -------
        bool
            Whether a trial run was claimed for the request.
        """
        if fingerprint not in self.quarantine.table.blamed_fingerprints():
            return False
        began = self.steady()
        outcome = self._poll(fingerprint, min(deadline, began + _MAX_WAIT_SECONDS))
        waited = self.steady() - began
        if waited >= _POLL_SECONDS or outcome is _Outcome.TRIAL:
            log_event(
                Event.QUARANTINE_AWAITED,
                fingerprint=fingerprint,
                outcome=outcome,
                waited=round(waited, 3),
            )
        return outcome is _Outcome.TRIAL

    def seconds_until_trial(self, case: Case) -> float | None:
        """Return the seconds until a trial of a request with rivals, None if it has no rivals."""
        rivals = self.quarantine.table.rivals(case.fingerprint)
        return self._seconds_until_trial(case, rivals) if rivals else None

    def _poll(self, fingerprint: str, until: float) -> _Outcome:
        table = self.quarantine.table
        while fingerprint in table.blamed_fingerprints():
            case, rivals = table.get(fingerprint), table.rivals(fingerprint)
            pause = _POLL_SECONDS
            if rivals and self._seconds_until_trial(case, rivals) == 0.0:
                if self._try_claim_trial(case, rivals):
                    return _Outcome.TRIAL
                pause = _CLAIM_RETRY_SECONDS
            left = self._seconds_until_decision(case, rivals)
            if left is None or self.steady() + max(left, pause) > until:
                return _Outcome.BLAMED
            self.sleep(pause)
        return _Outcome.RELEASED

    def _seconds_until_trial(self, case: Case, rivals: list[Case]) -> float | None:
        now = self.steady()
        return seconds_until_rival_trial(
            case.trials,
            self._times.tried_seconds(case, now),
            [self._times.tried_seconds(rival, now) for rival in rivals],
        )

    def _seconds_until_decision(self, case: Case, rivals: list[Case]) -> float | None:
        """Return the seconds until new evidence is expected, None if none is."""
        now = self.steady()
        settling = _SETTLE_SECONDS - self._times.blamed_seconds(case, now)
        expected = [settling if settling > 0.0 else None]
        if rivals:
            tried_seconds = self._times.tried_seconds(case, now)
            expected.append(self._seconds_until_trial(case, rivals))
            expected.append(seconds_until_trial_has_run(case.trials, tried_seconds))
        return min((seconds for seconds in expected if seconds is not None), default=None)

    def _try_claim_trial(self, case: Case, rivals: list[Case]) -> bool:
        """Try to claim the next trial run and announce it.

        While the store does not answer, only the announcement tells the other instances of it.
        It then takes a majority, so that no two parts of the fleet run the same trial.
        """
        is_claimed = self._claim_in_store(case, rivals)
        is_stored = is_claimed is not None
        if not is_stored:
            is_claimed = self.quarantine.host.is_hearing_majority()
        if is_claimed:
            self.quarantine.record_trial(case)
        if is_claimed and not is_stored:
            self.quarantine.host.schedule_save()
        log_event(
            Event.QUARANTINE_TRIAL,
            fingerprint=case.fingerprint,
            trial=case.trials + 1,
            taken=is_claimed,
            rivals=" ".join(rival.fingerprint for rival in rivals),
        )
        return is_claimed

    def _claim_in_store(self, case: Case, rivals: list[Case]) -> bool | None:
        """Claim a trial in the store, None if the store does not answer."""
        if not self.quarantine.host.is_store_reachable():
            return None
        claim = self.quarantine.case_store.claim_rival_trial(case, rivals)
        if not isinstance(claim, Success):
            return None
        self.quarantine.merge_cases(claim.unwrap().cases, "store")
        return claim.unwrap().is_claimed
