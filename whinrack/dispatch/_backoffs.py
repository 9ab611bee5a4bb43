"""Targets that told this instance to back off, and until when. Decisions only, no I/O.

The load that this answers: an overloaded target refuses requests with the time for which it takes
none from whoever it refused. That binds the instance that was refused, and no other.
"""

from whinrack.base import LONGEST_BACKOFF_SECONDS

__all__ = ["Backoffs"]


class Backoffs:
    """Ends of back-offs by the identities of targets' starts; times of the steady clock."""

    def __init__(self):
        self._until: dict[str, float] = {}

    @property
    def is_empty(self) -> bool:
        """Whether nothing is backed off from, which is known without a look at each target."""
        return not self._until

    def start(self, target: str, seconds: float, now: float) -> None:
        """Begin to back off from a target; a shorter time doesn't shorten the one before."""
        self._forget(now)
        until = now + min(seconds, LONGEST_BACKOFF_SECONDS)
        self._until[target] = max(until, self._until.get(target, until))

    def seconds_left(self, target: str, now: float) -> float:
        """Return the seconds until a target may be sent requests again, 0 if it may be now."""
        return max(0.0, self._until.get(target, now) - now)

    def count(self, now: float) -> int:
        """Return how many targets this instance backs off from."""
        self._forget(now)
        return len(self._until)

    def _forget(self, now: float) -> None:
        self._until = {target: until for target, until in self._until.items() if until > now}
