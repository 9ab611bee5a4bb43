"""Keeps requests that end targets away from them, in the whole fleet.

Each end of a target is told to the three instances that a request's fingerprint falls to; from
the second end on to all. Heartbeats carry a checksum of what all should know, so that an instance
that was away, asleep or cut off is told within one of them. What all know is kept in the store.
"""

from collections.abc import Callable, Iterable

from returns.result import Failure, Success

from whinrack.clock import steady
from whinrack.exceptions import RequestQuarantined, WriteUnknown
from whinrack.observability import Event, log_event
from whinrack.quarantine._case_store import CaseStore
from whinrack.quarantine._cases import Case, TargetEnd
from whinrack.quarantine._table import SUSPECT_THRESHOLD, CaseTable
from whinrack.quarantine._trials import seconds_until_trial
from whinrack.quarantine.base import RequestSignature, RunGuard

__all__ = ["Quarantine", "QuarantineHost"]

_OWN_SOURCE = "here"
_STORE_SOURCE = "store"
# Told to callers whose request gets no trial any more: an operator has to lift it, seconds.
_NO_TRIAL_RETRY_SECONDS = 3600.0
# Least time that a caller is told to stay away, seconds.
_MIN_RETRY_SECONDS = 1.0


class QuarantineHost:
    """How the quarantine reaches the peers."""

    def send_to_owners(self, case: Case) -> None:
        """Tell the instances that a fingerprint falls to."""
        raise NotImplementedError

    def send_to_all(self, cases: list[Case]) -> None:
        """Tell all instances."""
        raise NotImplementedError

    def reaches_store(self) -> bool:
        """Whether the store answers calls from here."""
        raise NotImplementedError

    def schedule_save(self) -> None:
        """Have the suspects written to the store soon."""
        raise NotImplementedError


class Quarantine(RunGuard):
    """What this instance knows of requests under which targets ended, and what follows from it.

    Parameters
    ----------
    case_store : CaseArchive
    host : QuarantineHost
    wall_clock : callable
        Returns the Unix time, seconds.
    steady : callable, optional
        Returns the steady clock, seconds.
    """

    def __init__(
        self,
        case_store: CaseStore,
        host: QuarantineHost,
        wall_clock: Callable[[], float],
        steady: Callable[[], float] = steady,
    ):
        self.case_store = case_store
        self.host = host
        self.wall_clock = wall_clock
        self.steady = steady
        self.table = CaseTable()
        self._quarantined: frozenset[str] = frozenset()

    # --- what the pipeline asks and tells -------------------------------------------

    def admit(self, request: RequestSignature) -> None:
        """Let a request go to a target, or refuse it at once."""
        if request.fingerprint not in self.table.blamed_fingerprints():
            return
        case = self.table.get(request.fingerprint)
        wait = seconds_until_trial(case, self.wall_clock())
        if wait == 0.0 and self._try_claim_trial(case):
            return
        raise RequestQuarantined(
            f"{len(case.ends)} targets ended under requests with fingerprint {case.fingerprint}",
            retry_after=_NO_TRIAL_RETRY_SECONDS if wait is None else wait + _MIN_RETRY_SECONDS,
        )

    def _try_claim_trial(self, case: Case) -> bool:
        """Whether this instance may let one run through; all others learn that it did."""
        if not self.host.reaches_store():
            # Its caller would wait for the store in vain.
            return False
        claimed = self.case_store.claim_trial(case)
        if isinstance(claimed, Failure) and not isinstance(claimed.failure(), WriteUnknown):
            return False
        taken = isinstance(claimed, Success) and claimed.unwrap()
        # Another instance has it, or a write without an answer may have been done.
        self.table.merge(case.with_trial(self.wall_clock()))
        self.host.send_to_all([self.table.get(case.fingerprint)])
        log_event(
            Event.QUARANTINE_TRIAL,
            fingerprint=case.fingerprint,
            trial=case.trials + 1,
            taken=taken,
        )
        return taken

    def record_success(self, request: RequestSignature) -> None:
        """Clear a request: it doesn't end each target that runs it."""
        self.table.record_success(request.fingerprint, self.steady())
        self._clear(request.fingerprint, request.workspace, "ended well")

    def record_target_end(self, end: TargetEnd, runs: list[RequestSignature]) -> None:
        """Take in a target's end as evidence against those that it cut."""
        now = self.wall_clock()
        for request in runs:
            if self._has_recent_success(request.fingerprint):
                continue
            empty = Case(
                fingerprint=request.fingerprint,
                workspace=request.workspace,
                route=request.route,
            )
            case = self.table.record_end(empty, end, now)
            if len(case.ends) < SUSPECT_THRESHOLD:
                self.host.send_to_owners(case)
            else:
                self._announce(case, _OWN_SOURCE)
        self._log_changes()

    # --- what operators ask -----------------------------------------------------------

    def quarantined_cases(self) -> list[Case]:
        """Return the cases of requests that go to no target."""
        return [
            case
            for case in self.table.suspect_cases()
            if case.fingerprint in self.table.blamed_fingerprints()
        ]

    def lift(self, fingerprint: str) -> bool:
        """Clear a request by an operator's word; False if nothing is known of it."""
        return self._clear(fingerprint, "", "operator")

    # --- what peers and the store tell ------------------------------------------------

    def merge_cases(self, cases: Iterable[Case], source: str) -> list[Case]:
        """Take in what a peer or the store knows; returns what it lacks."""
        missing_at_source = []
        for reported in cases:
            before = self.table.get(reported.fingerprint, reported.workspace)
            known = self.table.merge(reported)
            if len(known.ends) >= SUSPECT_THRESHOLD and self._has_recent_success(known.fingerprint):
                self._clear(known.fingerprint, known.workspace, "ended well lately")
                continue
            if len(known.ends) < SUSPECT_THRESHOLD and not known.epoch:
                continue
            if known not in (reported, before):
                # Neither side knew all of it.
                self._announce(known, source)
            elif known != reported:
                missing_at_source.append(known)
        self._log_changes()
        return missing_at_source

    def merge_stored_cases(self, cases: Iterable[Case]) -> None:
        """Take in what the store holds; peers that lack some ask by their checksums."""
        stored = list(cases)
        self.merge_cases(stored, _STORE_SOURCE)
        log_event(
            Event.QUARANTINE_READ, cases=len(stored), kept_out=len(self.table.blamed_fingerprints())
        )

    def remove_expired(self) -> None:
        """Drop what is too old to count."""
        self.table.remove_expired(self.wall_clock())
        self._log_changes()

    # --- consequences -----------------------------------------------------------------

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
        """Tell which requests are kept out from now on, and which no longer are."""
        blamed = self.table.blamed_fingerprints()
        for fingerprint in blamed - self._quarantined:
            case = self.table.get(fingerprint)
            log_event(
                Event.REQUEST_QUARANTINED,
                fingerprint=fingerprint,
                workspace=case.workspace,
                route=case.route,
                targets=" ".join(case.target_names()),
            )
        for fingerprint in self._quarantined - blamed:
            log_event(
                Event.QUARANTINE_ENDED,
                fingerprint=fingerprint,
                why="cleared or explained by others",
            )
        self._quarantined = blamed
