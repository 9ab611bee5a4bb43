"""Whether a target is cold, by its own word and by what is seen of it. Decisions only, no I/O.

The load that this answers: targets that start again while work goes on, under a new name or the
same one. A target's word is late by its heartbeat and by the watch, and until it comes the record
of the earlier start says that the target is warm.
"""

import math
from enum import StrEnum

__all__ = ["ColdReason", "ColdState"]

# From the end of a target until its record lapses: three heartbeats of 1.2 s, and what the store
# and the watch take.
_LAPSE_SECONDS = 4.0
# A word that says warm may have been written before what was seen here, by its heartbeat, the
# store and the watch; seconds.
_RECORD_LAG_SECONDS = 2.0


class ColdReason(StrEnum):
    """What says that a target is cold."""

    WORD = "word"
    NO_WORD = "no_word"
    UNREACHABLE = "unreachable"
    HALL_BACK = "hall_back"


class ColdState:
    """How long one target is cold; steady clock, seconds.

    Attributes
    ----------
    reason : ColdReason
        What said so last.
    """

    def __init__(self):
        self.reason = ColdReason.WORD
        self._cold_until = -math.inf
        # When what says that it is cold, but not for how long, was learnt.
        self._started_at = -math.inf
        self._unreachable_at = -math.inf

    def update(self, seconds_left: float | None, now: float) -> None:
        """Take in a new word of the target; what it says counts from when it came.

        Parameters
        ----------
        seconds_left : float or None
            None if the target doesn't say.
        """
        if seconds_left is None:
            self._started_at = now
            self.reason = ColdReason.NO_WORD
        elif seconds_left > 0.0 or now - self._last_doubt_at > _RECORD_LAG_SECONDS:
            self._cold_until = now + seconds_left
            self._started_at = self._unreachable_at = -math.inf
            self.reason = ColdReason.WORD

    def record_unreachable(self, now: float) -> None:
        """Learn that no connection could be made: it may have ended, and start again."""
        self._unreachable_at = now
        self.reason = ColdReason.UNREACHABLE

    def record_answer(self, now: float) -> None:
        """Learn that it answers; if it was unreachable it may have started just now."""
        if self._unreachable_at > -math.inf:
            self._unreachable_at = -math.inf
            self._started_at = now

    def record_hall_back(self, now: float) -> None:
        """Learn that its data hall is in use again: it may have turned cold shortly before."""
        self._started_at = now
        self.reason = ColdReason.HALL_BACK

    def cold_until(self, cold_seconds: float) -> float:
        """Return when it is warm as far as is known, for targets that are cold for so long."""
        by_failure = self._unreachable_at + _LAPSE_SECONDS + cold_seconds
        return max(self._cold_until, self._started_at + cold_seconds, by_failure)

    @property
    def _last_doubt_at(self) -> float:
        return max(self._started_at, self._unreachable_at)
