"""The steady clock of the product, which also counts the time for which the machine was suspended.

Ages, leases, schedules of released tokens, deadlines and watches stand on it. On a clock that stops
with the machine, what others have written off meanwhile would still look good after the sleep.
"""

import time

__all__ = ["SuspendDetector", "steady", "set_hub_clock"]

# Where the system has no such clock the usual steady one is the nearest.
_CLOCK = getattr(time, "CLOCK_BOOTTIME", time.CLOCK_MONOTONIC)
# What the two clocks may differ by between two readings, seconds.
_MIN_SUSPENDED_SECONDS = 0.05


def steady() -> float:
    """Return the seconds since some moment in the past, suspended time included."""
    return time.clock_gettime(_CLOCK)


def set_hub_clock() -> None:
    """Let the timers of green threads go by this clock; call it before any is started."""
    # Imported here: reading the clock is the first thing that a process does.
    from eventlet.hubs import get_hub

    get_hub().clock = steady


class SuspendDetector:
    """Notices that the machine was suspended, by the step between the two clocks."""

    def __init__(self):
        self._offset = self._read_offset()

    def take_suspended_seconds(self) -> float:
        """Return for how many seconds the machine was suspended since the last call."""
        before, self._offset = self._offset, self._read_offset()
        step = self._offset - before
        return step if step > _MIN_SUSPENDED_SECONDS else 0.0

    def _read_offset(self) -> float:
        return steady() - time.clock_gettime(time.CLOCK_MONOTONIC)
