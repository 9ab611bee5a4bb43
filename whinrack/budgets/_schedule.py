"""Release schedules: upper bounds, declared in advance, on how much of a grant is used by when.

A holder that crashes can't report what it spent last. It has declared a schedule in the account,
though: a base amount and a rate at which more is released over time. The next run of the same
instance knows its own start time and therefore the most that the earlier run can have used, and it
returns the rest. A schedule is renewed about every second while the store is reachable. The rate
matters only when the store is unreachable, so it takes effect after a delay.
"""

import math

import msgspec

__all__ = ["ReleaseGuard", "ReleaseSchedule", "RestartTime", "WallClockReading"]

# Greatest difference between both clocks' measurements within one boot of the machine.
_SAME_BOOT_SECONDS = 0.25
# Greatest combined error of two readings of verified clocks, in seconds.
_CHECKED_MARGIN = 0.3


class WallClockReading(msgspec.Struct, frozen=True):
    """Time of day of a machine.

    Attributes
    ----------
    seconds : float
        Since the epoch.
    is_checked : bool
        Whether most peers had nearly the same time of day at that moment, so that the clock has
        not jumped.
    """

    seconds: float
    is_checked: bool = False


class ReleaseSchedule(msgspec.Struct, frozen=True, array_like=True):
    """Commitment to use at most `base + rate * (time - steady - delay)` tokens at any time.

    The used tokens are those billed, unproven, covering open requests and given to peers, minus
    those received from peers.

    Attributes
    ----------
    base : int
        Tokens that may be used immediately.
    rate : float
        Tokens per second that are released after the delay.
    steady : float
        Monotonic clock of the machine when the schedule was made, in seconds.
    wall : float
        Time of day of the machine at that moment, in seconds since the epoch.
    wall_checked : bool
        Whether most peers agreed with that time of day.
    delay : float
        Seconds after which the rate takes effect; until then only the base may be used.
    """

    base: int
    rate: float
    steady: float
    wall: float
    wall_checked: bool = False
    delay: float = 0.0

    def max_used(self, seconds: float) -> int:
        """Return the most that may be used within `seconds` after the schedule was made."""
        return self.base + math.ceil(self.rate * max(0.0, seconds - self.delay))


class RestartTime(msgspec.Struct, frozen=True):
    """Start time of a run of an instance by the clocks of its machine.

    Attributes
    ----------
    steady, wall : float
        As in `ReleaseSchedule`.
    wall_margin : float
        Seconds by which an unverified time of day may have jumped.
    wall_checked : bool
        Whether most peers agree with the time of day.
    """

    steady: float
    wall: float
    wall_margin: float
    wall_checked: bool = False

    def max_used(self, schedule: ReleaseSchedule) -> int:
        """Return the most that an earlier run can have used of its grant."""
        return schedule.max_used(self.seconds_since(schedule))

    def seconds_since(self, schedule: ReleaseSchedule) -> float:
        """Return the longest time for which an earlier run can have used its schedule."""
        by_steady = self.steady - schedule.steady
        by_wall = self.wall - schedule.wall
        if abs(by_steady - by_wall) <= _SAME_BOOT_SECONDS and by_steady >= 0:
            return by_steady
        # Either the machine lost power, which restarted its monotonic clock, or the time of day
        # jumped. In both cases the time of day is right within the margin.
        checked = self.wall_checked and schedule.wall_checked
        margin = _CHECKED_MARGIN if checked else self.wall_margin
        return max(by_wall, 0.0) + margin


class ReleaseGuard:
    """Enforces every schedule that may be in effect in the account.

    An order whose reply was lost may or may not have been applied. Until a later order is known
    to be applied, both its schedule and the previous one bind.
    """

    def __init__(self):
        self._schedules: dict[int, ReleaseSchedule] = {}

    def record_sent(self, sequence: int, schedule: ReleaseSchedule) -> None:
        """Record the schedule of an order before it is sent."""
        self._schedules[sequence] = schedule

    def record_applied(self, sequence: int) -> None:
        """Discard the schedules of earlier orders, which can't be applied any more."""
        for older in [key for key in self._schedules if key < sequence]:
            del self._schedules[older]

    def max_used(self, steady: float) -> int:
        """Return the most that may be used now; 0 before the first schedule."""
        limits = [s.max_used(steady - s.steady) for s in self._schedules.values()]
        return min(limits, default=0)
