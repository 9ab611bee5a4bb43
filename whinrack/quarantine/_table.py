"""Bounded table of the cases that this instance knows; it does no I/O."""

from collections import OrderedDict
from collections.abc import Iterable

import msgspec
import xxhash

from whinrack.quarantine._attribution import find_culprits, find_rivals
from whinrack.quarantine._cases import Case, TargetEnd, merge_evidence

__all__ = ["SUSPECT_LIFETIME_SECONDS", "MAX_SUSPECTS", "SUSPECT_THRESHOLD", "CaseTable"]

# Number of ends from which on a request is suspect and its case is sent to all instances.
SUSPECT_THRESHOLD = 2
# Maximum number of cases with a single end. Each end adds a case for every request that the
# target ran, at most 64, of about 1 KB each. A workspace that varies its requests can take a
# quarter of the places.
_MAX_SINGLE_END_CASES = 4096
_MAX_PER_WORKSPACE = _MAX_SINGLE_END_CASES // 4
# Maximum number of suspect cases; at about 300 bytes each they fit into one object of the store.
MAX_SUSPECTS = 512
# Seconds after which a single end expires, so that unrelated ends do not add up.
_SINGLE_END_LIFETIME_SECONDS = 600.0
# Seconds without a further end after which a suspect case expires, as space in the store is
# limited.
SUSPECT_LIFETIME_SECONDS = 7 * 86_400.0
# Seconds for which a success is remembered, and the maximum number of remembered ones.
_SUCCESS_LIFETIME_SECONDS = 60.0
_MAX_SUCCESSES = 8192


class CaseTable:
    """Cases by fingerprint, and recent successes of requests."""

    def __init__(self):
        # Cases with one end by workspace, so that a caller with many cases displaces only its own.
        self._single_end_cases: dict[str, OrderedDict[str, Case]] = {}
        self._single_count = 0
        self._suspects: dict[str, Case] = {}
        self._successes: OrderedDict[str, float] = OrderedDict()
        self._blamed: frozenset[str] | None = frozenset()
        self._rivals: dict[str, frozenset[str]] | None = {}
        self._checksum = 0

    # --- reading -----------------------------------------------------------------

    def get(self, fingerprint: str, workspace: str = "") -> Case | None:
        """Return the case of a request, or None."""
        known = self._suspects.get(fingerprint)
        if known is None:
            known = self._single_end_cases.get(workspace, {}).get(fingerprint)
        return known

    def suspect_cases(self) -> list[Case]:
        """Return the cases that are sent to all instances, including cleared ones."""
        return list(self._suspects.values())

    def blamed_fingerprints(self) -> frozenset[str]:
        """Return the fingerprints of the requests to quarantine."""
        if self._blamed is None:
            self._blamed = find_culprits(self._suspects.values())
        return self._blamed

    def blamed_cases(self, names: Iterable[str]) -> list[Case]:
        """Return the cases of those names of a request that are to blame."""
        blamed = self.blamed_fingerprints()
        return [self._suspects[name] for name in names if name in blamed] if blamed else []

    def rivals(self, fingerprint: str) -> list[Case]:
        """Return the cases of the requests that may be to blame instead of a blamed one.

        Empty if it is decided that this request is to blame; see `find_rivals`.
        """
        if self._rivals is None:
            self._rivals = find_rivals(self._suspects.values(), self.blamed_fingerprints())
        return [self._suspects[name] for name in sorted(self._rivals.get(fingerprint, ()))]

    def checksum(self) -> int:
        """Return a checksum of the suspect cases; 0 if there are none."""
        if not self._checksum and self._suspects:
            states = sorted(msgspec.msgpack.encode(case) for case in self._suspects.values())
            self._checksum = xxhash.xxh32_intdigest(b"".join(states))
        return self._checksum

    # --- updates -----------------------------------------------------------------

    def record_end(self, case: Case, end: TargetEnd, at: float) -> Case:
        """Add the end of a target to the case of a request and return the case.

        Parameters
        ----------
        case : Case
            Identifies the request; its evidence is ignored if a case is known.
        end : TargetEnd
        at : float
            Unix time of the end, seconds.
        """
        known = self.get(case.fingerprint, case.workspace) or case
        return self.put(known.with_end(end, at))

    def merge(self, case: Case) -> Case:
        """Merge a case from a peer or the store and return the merged case."""
        known = self.get(case.fingerprint, case.workspace)
        return self.put(case if known is None else merge_evidence(known, case))

    def put(self, case: Case) -> Case:
        """Replace the case of a request and return it."""
        if case == self.get(case.fingerprint, case.workspace):
            return case
        if len(case.ends) >= SUSPECT_THRESHOLD or case.fingerprint in self._suspects:
            self._put_suspect(case)
        elif case.ends:
            self._put_single(case)
        else:
            self._drop_single(case)
        return case

    def clear(self, fingerprint: str, workspace: str = "") -> Case | None:
        """Clear the evidence against a request; return its case, or None if there was none."""
        known = self.get(fingerprint, workspace)
        if known is None or not known.ends:
            return None
        return self.put(known.cleared())

    def record_success(self, fingerprint: str, now: float) -> None:
        """Remember the success of a request at a time of the steady clock."""
        self._successes[fingerprint] = now
        self._successes.move_to_end(fingerprint)
        while len(self._successes) > _MAX_SUCCESSES:
            self._successes.popitem(last=False)

    def has_recent_success(self, fingerprint: str, now: float) -> bool:
        """Return whether a request succeeded within the last minute."""
        return now - self._successes.get(fingerprint, float("-inf")) <= _SUCCESS_LIFETIME_SECONDS

    def remove_expired(self, now: float) -> None:
        """Remove expired cases.

        Parameters
        ----------
        now : float
            Unix time, seconds.
        """
        for workspace, cases in list(self._single_end_cases.items()):
            while (
                cases and now - next(iter(cases.values())).ended_at > _SINGLE_END_LIFETIME_SECONDS
            ):
                cases.popitem(last=False)
                self._single_count -= 1
            if not cases:
                del self._single_end_cases[workspace]
        expired = [
            name
            for name, case in self._suspects.items()
            if now - case.ended_at > SUSPECT_LIFETIME_SECONDS
        ]
        for name in expired:
            del self._suspects[name]
        if expired:
            self._invalidate_cache()

    # --- bounds ------------------------------------------------------------------

    def _put_suspect(self, case: Case) -> None:
        self._drop_single(case)
        self._suspects[case.fingerprint] = case
        while len(self._suspects) > MAX_SUSPECTS:
            # Evict the case with the fewest ends, of these the one with the oldest last end.
            weakest = min(self._suspects.values(), key=lambda case: (len(case.ends), case.ended_at))
            del self._suspects[weakest.fingerprint]
        self._invalidate_cache()

    def _put_single(self, case: Case) -> None:
        cases = self._single_end_cases.setdefault(case.workspace, OrderedDict())
        self._single_count += case.fingerprint not in cases
        cases[case.fingerprint] = case
        if len(cases) > _MAX_PER_WORKSPACE:
            self._drop_oldest(case.workspace)
        elif self._single_count > _MAX_SINGLE_END_CASES:
            self._drop_oldest(
                max(self._single_end_cases, key=lambda name: len(self._single_end_cases[name]))
            )

    def _drop_oldest(self, workspace: str) -> None:
        cases = self._single_end_cases[workspace]
        cases.popitem(last=False)
        self._single_count -= 1
        if not cases:
            del self._single_end_cases[workspace]

    def _drop_single(self, case: Case) -> None:
        cases = self._single_end_cases.get(case.workspace, {})
        if cases.pop(case.fingerprint, None) is not None:
            self._single_count -= 1

    def _invalidate_cache(self) -> None:
        self._blamed = None
        self._rivals = None
        self._checksum = 0
