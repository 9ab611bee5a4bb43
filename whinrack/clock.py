"""Steady clock that includes the time for which the machine was suspended.

All ages, leases, deadlines, watches and schedules of released tokens use it. With a clock that
stops during suspension, an instance would still consider tokens valid after it resumes, although
other instances have written them off in the meantime.
"""

import time

__all__ = ["SuspendDetector", "steady", "set_hub_clock"]

# Systems without CLOCK_BOOTTIME use CLOCK_MONOTONIC, which is the closest clock available.
_CLOCK = getattr(time, "CLOCK_BOOTTIME", time.CLOCK_MONOTONIC)
# Smaller differences between the two clocks are reading noise, in seconds.
_MIN_SUSPENDED_SECONDS = 0.05


def steady() -> float:
    """Return the seconds since a fixed point in the past, including suspended time."""
    return time.clock_gettime(_CLOCK)


def set_hub_clock() -> None:
    """Make eventlet timers use this clock; call it before starting any green thread."""
    # Imported lazily, since a process reads the clock before it imports anything else.
    from eventlet.hubs import get_hub

    get_hub().clock = steady


class SuspendDetector:
    """Detector of suspensions of the machine.

    It compares a clock that runs during suspension with one that stops.
    """

    def __init__(self):
        self._offset = self._read_offset()

    def take_suspended_seconds(self) -> float:
        """Return the seconds for which the machine was suspended since the last call."""
        before, self._offset = self._offset, self._read_offset()
        step = self._offset - before
        return step if step > _MIN_SUSPENDED_SECONDS else 0.0

    def _read_offset(self) -> float:
        return steady() - time.clock_gettime(time.CLOCK_MONOTONIC)
