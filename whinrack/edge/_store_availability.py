"""Whether the store answers, and waking those who wait for it."""

from collections.abc import Callable

from eventlet.event import Event
from eventlet.timeout import Timeout

__all__ = ["StoreContact"]


class StoreContact:
    """What the latest call to the store showed.

    While the store is away one task probes it; the others wait here and go on as soon
    as it answers, so that an outage costs few calls and ends for all at once.

    Parameters
    ----------
    changed : callable
        Called with True when the store answers again, with False when it is lost.
    """

    def __init__(self, changed: Callable[[bool], None]):
        self.changed = changed
        self.answers = True
        self._back = Event()

    def report(self, answered: bool) -> None:
        """Take in the outcome of a call."""
        if answered == self.answers:
            return
        self.answers = answered
        if answered:
            back, self._back = self._back, Event()
            back.send(None)
        self.changed(answered)

    def wait(self, seconds: float) -> None:
        """Return when the store answers again, or after some seconds."""
        if not self.answers:
            with Timeout(seconds, False):
                self._back.wait()
