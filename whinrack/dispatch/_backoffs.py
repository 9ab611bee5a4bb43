"""Back-offs that targets have requested; pure logic without I/O.

An overloaded target refuses a request with a time for which it accepts none from the sender. This
applies only to the instance whose request was refused.
"""

from whinrack.base import MAX_BACKOFF_SECONDS

__all__ = ["Backoffs"]


class Backoffs:
    """Ends of back-offs by target identity, in steady clock time."""

    def __init__(self):
        self._until: dict[str, float] = {}

    @property
    def is_empty(self) -> bool:
        """Whether this instance backs off from no target; needs no check of each target."""
        return not self._until

    def start(self, target: str, seconds: float, now: float) -> None:
        """Start to back off from a target; a running back-off is never shortened."""
        self._forget(now)
        until = now + min(seconds, MAX_BACKOFF_SECONDS)
        self._until[target] = max(until, self._until.get(target, until))

    def seconds_left(self, target: str, now: float) -> float:
        """Return the seconds until requests may be sent to a target again, 0 if now."""
        return max(0.0, self._until.get(target, now) - now)

    def count(self, now: float) -> int:
        """Return the number of targets that this instance backs off from."""
        self._forget(now)
        return len(self._until)

    def _forget(self, now: float) -> None:
        self._until = {target: until for target, until in self._until.items() if until > now}
