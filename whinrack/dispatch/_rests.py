"""Rests that targets have asked this instance for. Decisions only, no I/O.

The load that this answers: a target that is short of something refuses requests with the time for
which it wants none from whoever it refused. A rest binds the instance that was asked, and no other.
"""

from whinrack.base import LONGEST_REST_SECONDS

__all__ = ["Rests"]


class Rests:
    """Until when targets rest, by the identities of their starts; times of the steady clock."""

    def __init__(self):
        self._until: dict[str, float] = {}

    @property
    def is_empty(self) -> bool:
        """Whether no target rests, which is known without a look at each."""
        return not self._until

    def ask(self, target: str, seconds: float, now: float) -> None:
        """Learn that a target asks for a rest; a shorter one doesn't shorten the one before."""
        self._forget(now)
        until = now + min(seconds, LONGEST_REST_SECONDS)
        self._until[target] = max(until, self._until.get(target, until))

    def left(self, target: str, now: float) -> float:
        """Return the seconds that are left of a target's rest, 0 if it doesn't rest."""
        return max(0.0, self._until.get(target, now) - now)

    def count(self, now: float) -> int:
        """Return how many targets rest."""
        self._forget(now)
        return len(self._until)

    def _forget(self, now: float) -> None:
        self._until = {target: until for target, until in self._until.items() if until > now}
