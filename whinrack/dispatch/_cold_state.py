"""How long a target is cold, from its record and from observations; pure logic without I/O.

Targets may restart under load, under a new or the same name. A target's record arrives late, by its
heartbeat and the watch; until then, the record of the earlier start says that the target is warm.
"""

import math
from enum import StrEnum

__all__ = ["ColdReason", "ColdState"]

# Seconds from the end of a target until its record expires: three heartbeats of 1.2 s, plus the
# delays of the store and the watch.
_LAPSE_SECONDS = 4.0
# Seconds by which a record may be older than what was observed here, because of the delays of the
# heartbeat, the store and the watch.
_RECORD_LAG_SECONDS = 2.0


class ColdReason(StrEnum):
    """Why a target is considered cold."""

    WORD = "word"
    NO_WORD = "no_word"
    UNREACHABLE = "unreachable"
    HALL_BACK = "hall_back"


class ColdState:
    """Tracks until when one target is cold; times are steady clock seconds.

    Attributes
    ----------
    reason : ColdReason
        The latest reason.
    """

    def __init__(self):
        self.reason = ColdReason.WORD
        self._cold_until = -math.inf
        # Latest assumed start, if the time until it is warm is not known from a record.
        self._started_at = -math.inf
        self._unreachable_at = -math.inf

    def update(self, seconds_left: float | None, now: float) -> None:
        """Apply a new record of the target; its duration counts from its arrival.

        Parameters
        ----------
        seconds_left : float or None
            Seconds for which the target is cold, None if the record does not say.
        """
        if seconds_left is None:
            self._started_at = now
            self.reason = ColdReason.NO_WORD
        elif seconds_left > 0.0 or now - self._last_doubt_at > _RECORD_LAG_SECONDS:
            self._cold_until = now + seconds_left
            self._started_at = self._unreachable_at = -math.inf
            self.reason = ColdReason.WORD

    def record_unreachable(self, now: float) -> None:
        """Record that no connection could be opened: the target may be restarting."""
        self._unreachable_at = now
        self.reason = ColdReason.UNREACHABLE

    def record_answer(self, now: float) -> None:
        """Record an answer; if the target was unreachable, it may have just started."""
        if self._unreachable_at > -math.inf:
            self._unreachable_at = -math.inf
            self._started_at = now

    def record_hall_back(self, now: float) -> None:
        """Record that its data hall was released: the target may have become cold meanwhile."""
        self._started_at = now
        self.reason = ColdReason.HALL_BACK

    def cold_until(self, cold_seconds: float) -> float:
        """Return the time until which the target is considered cold.

        Parameters
        ----------
        cold_seconds : float
            How long targets of the pool are cold after a start.
        """
        by_failure = self._unreachable_at + _LAPSE_SECONDS + cold_seconds
        return max(self._cold_until, self._started_at + cold_seconds, by_failure)

    @property
    def _last_doubt_at(self) -> float:
        return max(self._started_at, self._unreachable_at)
