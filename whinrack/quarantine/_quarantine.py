"""Fleet-wide quarantine of requests, and of parts of their prompts, that end targets.

The first end of a target under a request is sent to the three instances that own the request's
fingerprint, later ones to all instances. Heartbeats carry a checksum of the cases that all
instances should have, so that an instance that was down, suspended or cut off gets them after one
heartbeat. These cases are also kept in the store.
"""

import time
from collections.abc import Callable, Iterable, Sequence

from returns.result import Failure, Success

from whinrack.clock import steady
from whinrack.exceptions import RequestQuarantined, WriteUnknown
from whinrack.observability import Event, log_event
from whinrack.quarantine._case_store import CaseStore
from whinrack.quarantine._cases import Case, TargetEnd
from whinrack.quarantine._host import QuarantineHost
from whinrack.quarantine._table import SUSPECT_THRESHOLD, CaseTable
from whinrack.quarantine._trials import seconds_until_trials
from whinrack.quarantine._undecided import UndecidedBlames
from whinrack.quarantine.base import RequestSignature, RunGuard

__all__ = ["Quarantine"]

_OWN_SOURCE = "here"
_STORE_SOURCE = "store"
# Seconds after which callers may retry once no trial is left and an operator has to lift the
# quarantine.
_NO_TRIAL_RETRY_SECONDS = 3600.0
# Minimum of the time after which callers may retry, seconds.
_MIN_RETRY_SECONDS = 1.0


class Quarantine(RunGuard):
    """Quarantine of one instance, with its knowledge of requests during whose runs targets ended.

    Parameters
    ----------
    case_store : CaseStore
    host : QuarantineHost
    wall_clock : callable
        Returns the Unix time in seconds.
    steady : callable, optional
        Returns the steady clock in seconds.
    sleep : callable, optional
        Replaced in tests.
    """

    def __init__(
        self,
        case_store: CaseStore,
        host: QuarantineHost,
        wall_clock: Callable[[], float],
        steady: Callable[[], float] = steady,
        sleep: Callable[[float], None] = time.sleep,
    ):
        self.case_store = case_store
        self.host = host
        self.wall_clock = wall_clock
        self.steady = steady
        self.table = CaseTable()
        self._undecided = UndecidedBlames(self, steady, sleep)
        # Trials claimed here whose requests did not run, by the blamed names: for each name its
        # epoch and number of trials.
        self._unused_trials: dict[tuple[str, ...], tuple[tuple[int, int], ...]] = {}
        self._quarantined: frozenset[str] = frozenset()

    # --- request pipeline -----------------------------------------------------------

    def admit(self, request: RequestSignature, deadline: float | None = None) -> bool:
        """Check that a request may run on a target.

        While it is undecided whether a request, or a part of its prompt, is to blame, it waits for
        a decision or for a trial run, if either is expected in time.

        Parameters
        ----------
        request : RequestSignature
        deadline : float, optional
            Steady clock time up to which the request may wait; by default it does not wait.

        Returns
        -------
        bool
            Whether the run is a trial run.

        Raises
        ------
        RequestQuarantined
            If the request or a part of its prompt is in quarantine, and no trial run is due here.
        """
        if self._take_unused_trial(request):
            return True
        if deadline is not None and self._undecided.await_decision(request, deadline):
            return True
        blamed = self.table.blamed_cases(request.names)
        if not blamed:
            return False
        wait = self._undecided.seconds_until_trial(blamed) if deadline is not None else None
        if wait is None:
            wait = seconds_until_trials(blamed, self.wall_clock())
            if wait == 0.0 and self._try_claim_trial(blamed):
                return True
        raise RequestQuarantined(
            f"{len(blamed[0].ends)} targets ended while running requests with "
            f"{_describe_names(blamed)}",
            retry_after=_NO_TRIAL_RETRY_SECONDS if wait is None else wait + _MIN_RETRY_SECONDS,
        )

    def return_trial(self, request: RequestSignature) -> None:
        """Keep a trial for the next request with these names, as no target ran this one."""
        blamed = self.table.blamed_cases(request.names)
        if blamed:
            self._unused_trials[_names_of(blamed)] = _trials_of(blamed)

    def _take_unused_trial(self, request: RequestSignature) -> bool:
        if not self._unused_trials:
            return False
        blamed = self.table.blamed_cases(request.names)
        trials = self._unused_trials.pop(_names_of(blamed), None)
        # A later trial of another instance takes its place.
        return trials is not None and trials == _trials_of(blamed)

    def _try_claim_trial(self, blamed: Sequence[Case]) -> bool:
        """Try to claim the next trial run, and announce it to all instances.

        Returns
        -------
        bool
            Whether this instance has claimed the trial.
        """
        if not self.host.is_store_reachable():
            # The caller would only wait for a call to the store that fails.
            return False
        claimed = self.case_store.claim_trial(blamed)
        if isinstance(claimed, Failure) and not isinstance(claimed.failure(), WriteUnknown):
            return False
        taken = isinstance(claimed, Success) and claimed.unwrap()
        # Recorded in any case: another instance has claimed the trial, or a write without a reply
        # may have been applied.
        self.record_trial(blamed)
        log_event(
            Event.QUARANTINE_TRIAL,
            fingerprint=" ".join(_names_of(blamed)),
            trial=max(case.trials for case in blamed) + 1,
            taken=taken,
        )
        return taken

    def record_trial(self, cases: Sequence[Case]) -> None:
        """Record a trial run and announce it to all instances."""
        for case in cases:
            self.table.merge(case.with_trial(self.wall_clock()))
        self._log_changes()
        self.host.send_to_all([self.table.get(case.fingerprint) for case in cases])

    def record_success(self, request: RequestSignature) -> None:
        """Clear a request that ran successfully, as it does not end every target that runs it.

        The same holds for the parts of its prompt.
        """
        now = self.steady()
        for suspect in request.suspects():
            self.table.record_success(suspect.fingerprint, now)
            self._clear(suspect.fingerprint, suspect.workspace, "run succeeded")

    def record_target_end(self, end: TargetEnd, runs: list[RequestSignature]) -> None:
        """Record the end of a target as evidence against the requests that it interrupted."""
        now = self.wall_clock()
        suspects = {case.fingerprint: case for request in runs for case in request.suspects()}
        for suspect in suspects.values():
            if self._has_recent_success(suspect.fingerprint):
                continue
            case = self.table.record_end(suspect, end, now)
            if len(case.ends) < SUSPECT_THRESHOLD:
                self.host.send_to_owners(case)
            else:
                self._announce(case, _OWN_SOURCE)
        self._log_changes()

    # --- operators --------------------------------------------------------------------

    def quarantined_cases(self) -> list[Case]:
        """Return the cases of the requests in quarantine."""
        return [
            case
            for case in self.table.suspect_cases()
            if case.fingerprint in self.table.blamed_fingerprints()
        ]

    def lift(self, fingerprint: str) -> bool:
        """Clear a request on behalf of an operator; return False if there is no evidence."""
        return self._clear(fingerprint, "", "operator")

    # --- peers and the store ----------------------------------------------------------

    def merge_cases(self, cases: Iterable[Case], source: str) -> list[Case]:
        """Merge cases from a peer or the store.

        Returns
        -------
        list of Case
            Cases that the source does not have or has with less evidence.
        """
        missing_at_source = []
        for reported in cases:
            before = self.table.get(reported.fingerprint, reported.workspace)
            known = self.table.merge(reported)
            if len(known.ends) >= SUSPECT_THRESHOLD and self._has_recent_success(known.fingerprint):
                self._clear(known.fingerprint, known.workspace, "run succeeded recently")
                continue
            if len(known.ends) < SUSPECT_THRESHOLD and not known.epoch:
                continue
            if known not in (reported, before):
                # Each side had evidence that the other one lacked.
                self._announce(known, source)
            elif known != reported:
                missing_at_source.append(known)
        self._log_changes()
        return missing_at_source

    def merge_stored_cases(self, cases: Iterable[Case]) -> None:
        """Merge the stored cases; peers that lack some notice it by the checksum."""
        stored = list(cases)
        self.merge_cases(stored, _STORE_SOURCE)
        log_event(
            Event.QUARANTINE_READ, cases=len(stored), kept_out=len(self.table.blamed_fingerprints())
        )

    def remove_expired(self) -> None:
        """Remove expired cases."""
        self.table.remove_expired(self.wall_clock())
        self._log_changes()

    # --- clearing, announcing and logging ---------------------------------------------

    def _has_recent_success(self, fingerprint: str) -> bool:
        return self.table.has_recent_success(fingerprint, self.steady())

    def _clear(self, fingerprint: str, workspace: str, why: str) -> bool:
        before = self.table.get(fingerprint, workspace)
        case = self.table.clear(fingerprint, workspace)
        if case is None:
            return False
        log_event(Event.QUARANTINE_ENDED, fingerprint=fingerprint, why=why, ends=len(before.ends))
        if len(before.ends) < SUSPECT_THRESHOLD:
            self.host.send_to_owners(case)
        else:
            self.host.send_to_all([case])
            self.host.schedule_save()
        self._quarantined -= {fingerprint}
        return True

    def _announce(self, case: Case, source: str) -> None:
        log_event(
            Event.REQUEST_SUSPECTED,
            fingerprint=case.fingerprint,
            workspace=case.workspace,
            route=case.route,
            targets=" ".join(case.target_names()),
            source=source,
        )
        self.host.send_to_all([case])
        self.host.schedule_save()

    def _log_changes(self) -> None:
        """Log the requests that entered or left the quarantine."""
        blamed = self.table.blamed_fingerprints()
        self._undecided.update_times(self.table.get(fingerprint) for fingerprint in blamed)
        for names in [names for names in self._unused_trials if not blamed.issuperset(names)]:
            del self._unused_trials[names]
        for fingerprint in blamed - self._quarantined:
            case = self.table.get(fingerprint)
            log_event(
                Event.REQUEST_QUARANTINED,
                fingerprint=fingerprint,
                workspace=case.workspace,
                route=case.route,
                targets=" ".join(case.target_names()),
                rivals=" ".join(rival.fingerprint for rival in self.table.rivals(fingerprint)),
            )
        for fingerprint in self._quarantined - blamed:
            log_event(
                Event.QUARANTINE_ENDED,
                fingerprint=fingerprint,
                why="cleared, or the ends are explained by other requests",
            )
        self._quarantined = blamed


def _names_of(cases: Iterable[Case]) -> tuple[str, ...]:
    return tuple(case.fingerprint for case in cases)


def _trials_of(cases: Iterable[Case]) -> tuple[tuple[int, int], ...]:
    return tuple((case.epoch, case.trials) for case in cases)


def _describe_names(cases: Iterable[Case]) -> str:
    return "fingerprint " + " ".join(_names_of(cases))
