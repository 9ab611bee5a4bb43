"""Times at which this instance learned of blames and trials; it does no I/O.

They are taken from the steady clock of this instance, so that neither a step of the time of day nor
its difference between two instances changes how long requests wait for each other.
"""

from collections.abc import Iterable

import msgspec

from whinrack.quarantine._cases import Case

__all__ = ["BlameTimes"]


class _Times(msgspec.Struct):
    """When a blame and the latest trial became known, steady clock time in seconds."""

    blamed_at: float
    trial: tuple[int, int]
    tried_at: float


class BlameTimes:
    """Ages of blames and of trials."""

    def __init__(self):
        self._times: dict[str, _Times] = {}

    def update(self, blamed: Iterable[Case], now: float) -> None:
        """Record the blamed requests; others are forgotten."""
        previous, self._times = self._times, {}
        for case in blamed:
            trial = (case.epoch, case.trials)
            times = previous.get(case.fingerprint) or _Times(now, trial, now)
            if times.trial != trial:
                times.trial, times.tried_at = trial, now
            self._times[case.fingerprint] = times

    def blamed_seconds(self, case: Case, now: float) -> float:
        """Return the seconds since a request was first blamed here, infinite if it is not."""
        times = self._times.get(case.fingerprint)
        return now - times.blamed_at if times is not None else float("inf")

    def tried_seconds(self, case: Case, now: float) -> float:
        """Return the seconds since its latest trial became known here, infinite without one."""
        times = self._times.get(case.fingerprint)
        return now - times.tried_at if times is not None and case.trials else float("inf")
