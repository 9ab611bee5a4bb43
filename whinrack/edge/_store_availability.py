"""Whether the store answers, and waking those who wait for it."""

from collections.abc import Callable

from eventlet.event import Event
from eventlet.timeout import Timeout

__all__ = ["StoreAvailability"]


class StoreAvailability:
    """What the latest call to the store showed.

    While the store is away one task probes it; the others wait here and go on as soon
    as it answers, so that an outage costs few calls and ends for all at once.

    Parameters
    ----------
    on_change : callable
        Called with True when the store answers again, with False when it is lost.
    """

    def __init__(self, on_change: Callable[[bool], None]):
        self.on_change = on_change
        self.is_available = True
        self._recovered = Event()

    def report(self, answered: bool) -> None:
        """Take in the outcome of a call."""
        if answered == self.is_available:
            return
        self.is_available = answered
        if answered:
            recovered, self._recovered = self._recovered, Event()
            recovered.send(None)
        self.on_change(answered)

    def wait_until_available(self, seconds: float) -> None:
        """Return when the store answers again, or after some seconds."""
        if not self.is_available:
            with Timeout(seconds, False):
                self._recovered.wait()
