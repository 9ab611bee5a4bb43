"""The requests a second that targets in need say they take. Decisions only, no I/O.

A target says so in its answers, for all instances together and for as long as it says so; an
answer without such a word takes it back.
"""

import math
from collections.abc import Callable

import msgspec

__all__ = ["NO_LIMIT", "LimitChange", "StatedLimits"]

# Stands for the word of a target that states no limit.
NO_LIMIT = math.inf


class LimitChange(msgspec.Struct, frozen=True):
    """A limit that became known, changed or ended.

    Attributes
    ----------
    target : str
        Identity of the target's start.
    before, rate : float
        Requests a second; `NO_LIMIT` for none.
    request : str
        The request whose answer said so.
    """

    target: str
    before: float
    rate: float
    request: str = ""


class StatedLimits:
    """The limits that targets have stated, by the identities of their starts.

    Attributes
    ----------
    changed : list of callable
        Called with each `LimitChange`.
    """

    def __init__(self):
        self.changed: list[Callable[[LimitChange], None]] = []
        self._rates: dict[str, float] = {}

    def rate(self, target: str) -> float:
        """Return the requests a second that a target takes, `NO_LIMIT` if it states none."""
        return self._rates.get(target, NO_LIMIT)

    def hear(self, target: str, rate: float, request: str = "") -> None:
        """Take in what an answer of a target said."""
        before = self.rate(target)
        if rate == before:
            return
        if rate == NO_LIMIT:
            del self._rates[target]
        else:
            self._rates[target] = rate
        for changed in self.changed:
            changed(LimitChange(target, before, rate, request))
