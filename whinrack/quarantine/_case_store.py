"""Storage of suspect cases in the platform's store, which survives a kill of all instances."""

from collections.abc import Callable, Iterable, Sequence

import msgspec
from returns.result import Failure, Result, Success

from whinrack.exceptions import NotFound, PlatformFailure
from whinrack.observability import Event, log_event
from whinrack.quarantine._cases import Case, merge_evidence
from whinrack.quarantine._table import MAX_SUSPECTS, SUSPECT_LIFETIME_SECONDS
from whinrack.quarantine._trials import seconds_until_trials
from whinrack.store import ObjectEditor, ObjectStore

__all__ = ["CaseStore"]

_KIND = "Quarantine"
_NAME = "main"
# Attempts of one write; after a failure the next change tries again.
_WRITE_ATTEMPTS = 4


class StoredCases(msgspec.Struct, frozen=True):
    """Value of the stored object: suspect cases, those with the most ends first."""

    cases: tuple[Case, ...] = ()


class RivalTrialClaim(msgspec.Struct, frozen=True):
    """Outcome of a claim, and the cases that were stored at that moment."""

    is_claimed: bool
    cases: tuple[Case, ...]


class CaseStore:
    """Reads and writes the object that holds all suspect cases.

    It is written only after the second or a later end of a target under the same request.

    Parameters
    ----------
    store : ObjectStore
    wall_clock : callable
        Returns the Unix time in seconds.
    """

    def __init__(self, store: ObjectStore, wall_clock: Callable[[], float]):
        self.wall_clock = wall_clock
        self._editor = ObjectEditor(store, _KIND, msgspec.Raw, attempts=_WRITE_ATTEMPTS)

    def read(self) -> Result[tuple[Case, ...], PlatformFailure]:
        """Read the stored cases."""
        result = self._editor.read(_NAME).map(_decode_cases)
        if isinstance(result, Failure) and isinstance(result.failure(), NotFound):
            return Success(())
        return result

    def write(self, cases: Iterable[Case]) -> Result[tuple[Case, ...], PlatformFailure]:
        """Merge cases into the stored ones.

        Returns
        -------
        Result of tuple of Case
            The cases that are stored after the write.
        """
        new_cases = tuple(cases)
        result = self._editor.apply(_NAME, lambda old: self._merge_into(old, new_cases))
        return result.map(_decode_cases)

    def claim_trial(self, cases: Sequence[Case]) -> Result[bool, PlatformFailure]:
        """Claim the next trial run for this instance.

        A run of one request is a trial of all its blamed names, whose cases are given. Only one
        instance can claim it, because the write is conditional on the version that was read. A
        trial whose write got no reply counts as used, and no instance runs it.

        Returns
        -------
        Result of bool
            False if no trial is due, if another instance has claimed it, or if the reply was lost.
        """
        claimed = False

        def claim(old: msgspec.Raw | None) -> msgspec.Raw | None:
            nonlocal claimed
            known = _decode_by_fingerprint(old)
            present = [merge_evidence(known.get(case.fingerprint, case), case) for case in cases]
            now = self.wall_clock()
            claimed = seconds_until_trials(present, now) == 0.0
            tried = tuple(case.with_trial(now) for case in present)
            return self._merge_into(old, tried) if claimed else None

        return self._editor.apply(_NAME, claim).map(lambda _: claimed)

    def claim_rival_trial(
        self, cases: Sequence[Case], rivals: Iterable[Case]
    ) -> Result[RivalTrialClaim, PlatformFailure]:
        """Claim a trial run of names with rivals that is due by what this instance knows.

        It is not claimed if the store holds a trial of a name or of a rival, or a clearing,
        that this instance does not know. A trial whose write got no reply counts as used.
        """
        known = (*cases, *rivals)
        is_claimed = False

        def claim(old: msgspec.Raw | None) -> msgspec.Raw | None:
            nonlocal is_claimed
            stored = _decode_by_fingerprint(old)
            is_claimed = not any(_has_news(stored.get(each.fingerprint), each) for each in known)
            if not is_claimed:
                return None
            now = self.wall_clock()
            return self._merge_into(old, tuple(case.with_trial(now) for case in cases))

        stored = self._editor.apply(_NAME, claim)
        return stored.map(lambda value: RivalTrialClaim(is_claimed, _decode_cases(value)))

    def _merge_into(self, old: msgspec.Raw | None, cases: tuple[Case, ...]) -> msgspec.Raw | None:
        """Return the stored value with cases merged into it, or None if they change nothing."""
        merged = _decode_by_fingerprint(old)
        for case in cases:
            known = merged.get(case.fingerprint)
            merged[case.fingerprint] = case if known is None else merge_evidence(known, case)
        if merged == _decode_by_fingerprint(old):
            return None
        since = self.wall_clock() - SUSPECT_LIFETIME_SECONDS
        retained = [case for case in merged.values() if case.ended_at >= since]
        retained.sort(key=lambda case: (len(case.ends), case.ended_at), reverse=True)
        return msgspec.Raw(msgspec.json.encode(StoredCases(tuple(retained[:MAX_SUSPECTS]))))


def _has_news(stored: Case | None, known: Case) -> bool:
    """Return whether a stored case has a trial or a clearing that the known one lacks."""
    return stored is not None and (stored.epoch, stored.trials) > (known.epoch, known.trials)


def _decode_cases(stored: msgspec.Raw | None) -> tuple[Case, ...]:
    """Decode a stored value; an invalid one counts as empty and is overwritten."""
    if stored is None:
        return ()
    try:
        return msgspec.json.decode(stored, type=StoredCases).cases
    except msgspec.MsgspecError as error:
        log_event(Event.QUARANTINE_UNREADABLE, error=error)
        return ()


def _decode_by_fingerprint(stored: msgspec.Raw | None) -> dict[str, Case]:
    return {case.fingerprint: case for case in _decode_cases(stored)}
