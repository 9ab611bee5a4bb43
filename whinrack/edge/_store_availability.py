"""Whether the store is available, and waiting until it is."""

from collections.abc import Callable

from eventlet.event import Event
from eventlet.timeout import Timeout

__all__ = ["StoreAvailability"]


class StoreAvailability:
    """Availability of the store as of the latest call.

    During an outage one task probes the store. The others wait here and resume as soon as it
    answers, so that an outage causes few calls and ends for all tasks at once.

    Parameters
    ----------
    on_change : callable
        Called with True when the store answers again, with False when it stops answering.
    """

    def __init__(self, on_change: Callable[[bool], None]):
        self.on_change = on_change
        self.is_available = True
        self._recovered = Event()

    def report(self, answered: bool) -> None:
        """Record whether a call was answered."""
        if answered == self.is_available:
            return
        self.is_available = answered
        if answered:
            recovered, self._recovered = self._recovered, Event()
            recovered.send(None)
        self.on_change(answered)

    def wait_until_available(self, seconds: float) -> None:
        """Wait until the store answers again, at most for some seconds."""
        if not self.is_available:
            with Timeout(seconds, False):
                self._recovered.wait()
