"""How much of a grant its holder may have used by when, stated before it is used.

A holder that dies leaves no word on what it spent last. But it has stated a schedule in
the books: a base, and a rate at which more is released as time goes by. The next run of
the same instance knows when it started itself, so it knows the most that the earlier run
can have used, and gives the rest back. A schedule is stated anew about every second
while the store answers; the rate matters once it doesn't, so it sets in after a delay.
"""

import math

import msgspec

__all__ = ["ReleaseGuard", "ReleaseSchedule", "RestartTime", "WallClockReading"]

_SAME_BOOT_SECONDS = 0.25
# How far two readings of checked clocks may be wrong together, seconds.
_CHECKED_MARGIN = 0.3


class WallClockReading(msgspec.Struct, frozen=True):
    """A machine's time of day.

    Attributes
    ----------
    seconds : float
        Since the epoch.
    checked : bool
        Most peers had nearly the same time of day just then, so it has not jumped.
    """

    seconds: float
    is_checked: bool = False


class ReleaseSchedule(msgspec.Struct, frozen=True, array_like=True):
    """A promise to use at most `base + rate * (time - steady - delay)` tokens by any time.

    Used are the tokens billed, unproven, covering open requests and given to peers,
    less those received from peers.

    Attributes
    ----------
    base : int
        Tokens that may be used at once.
    rate : float
        Tokens a second that are released after that.
    steady : float
        Steady clock of the machine, seconds, when the schedule was made.
    wall : float
        The machine's time of day then, seconds since the epoch.
    wall_checked : bool
        Whether most peers agreed with that time of day.
    delay : float
        Seconds after which the rate sets in; until then only the base may be used.
    """

    base: int
    rate: float
    steady: float
    wall: float
    wall_checked: bool = False
    delay: float = 0.0

    def max_used(self, seconds: float) -> int:
        """Return the most that is used some seconds after the schedule was made."""
        return self.base + math.ceil(self.rate * max(0.0, seconds - self.delay))


class RestartTime(msgspec.Struct, frozen=True):
    """When a run of an instance started, by the clocks of its machine.

    Attributes
    ----------
    steady, wall : float
        As in `ReleaseSchedule`.
    wall_margin : float
        Seconds by which a time of day that isn't checked may have jumped.
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
        """Return the longest time that an earlier run can have used its schedule for."""
        by_steady = self.steady - schedule.steady
        by_wall = self.wall - schedule.wall
        if abs(by_steady - by_wall) <= _SAME_BOOT_SECONDS and by_steady >= 0:
            return by_steady
        # The machine lost power, and its steady clock began anew; or the time of day
        # jumped. In both cases the time of day tells, within the margin.
        checked = self.wall_checked and schedule.wall_checked
        margin = _CHECKED_MARGIN if checked else self.wall_margin
        return max(by_wall, 0.0) + margin


class ReleaseGuard:
    """Keeps a holder to every schedule that may stand in the books.

    An order whose reply was lost may have been applied, or not: until a later order is
    known to be applied, both its schedule and the one before it bind.
    """

    def __init__(self):
        self._schedules: dict[int, ReleaseSchedule] = {}

    def record_sent(self, sequence: int, schedule: ReleaseSchedule) -> None:
        """Remember the schedule of an order before it is sent."""
        self._schedules[sequence] = schedule

    def record_applied(self, sequence: int) -> None:
        """Learn that an order is in the books: older ones can't be applied any more."""
        for older in [key for key in self._schedules if key < sequence]:
            del self._schedules[older]

    def max_used(self, steady: float) -> int:
        """Return the most that may be used now; 0 before any schedule was stated."""
        limits = [s.max_used(steady - s.steady) for s in self._schedules.values()]
        return min(limits, default=0)
