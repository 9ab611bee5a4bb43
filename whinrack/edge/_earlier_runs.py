"""What a restarted instance does before it draws budgets ahead."""

from collections.abc import Callable

import eventlet
import msgspec
from returns.result import Failure

from whinrack.budgets import GrantManager, RestartTime, WallClockReading
from whinrack.clock import steady
from whinrack.edge._options import EdgeOptions
from whinrack.edge._store_availability import StoreAvailability
from whinrack.observability import Event, log_event

__all__ = ["EarlierRuns"]

_POLL_SECONDS = 0.05
# For so long the peers' clocks are waited for after a start.
_CLOCK_CHECK_TIMEOUT_SECONDS = 2.0
# After the clock is judged, until budgets are drawn ahead.
_PEER_DISCOVERY_SECONDS = 1.0
# A larger difference between the clocks' progress is a jump of the time of day.
_CLOCK_JUMP_SECONDS = 0.25


class EarlierRuns:
    """Gives back what earlier runs of an instance held and can't have used.

    Parameters
    ----------
    options : EdgeOptions
    restart : RestartMoment
        When this run started.
    grant_manager : GrantKeeper
    availability : StoreContact
    wall_clock : callable
        Reads the time of day, and tells whether the peers agree with it.
    """

    def __init__(
        self,
        options: EdgeOptions,
        restart: RestartTime,
        grant_manager: GrantManager,
        availability: StoreAvailability,
        wall_clock: Callable[[], WallClockReading],
    ):
        self.options = options
        self.restart = restart
        self.grant_manager = grant_manager
        self.availability = availability
        self.wall_clock = wall_clock

    def release_and_draw(self) -> None:
        """Let budgets be drawn ahead, once what earlier runs held is given back."""
        while not self._is_clock_check_over():
            eventlet.sleep(_POLL_SECONDS)
        if not self.options.first_start:
            self._release()
        # By now the peers are known: who draws ahead for all is agreed.
        eventlet.sleep(_PEER_DISCOVERY_SECONDS)
        self.grant_manager.can_draw_ahead = True

    def release_after_restore(self) -> None:
        """Do it once more: the store has come back from a copy, and may lack the first time."""
        if self.grant_manager.can_draw_ahead:
            self._release()

    def _release(self) -> None:
        restart = self._checked_restart()
        while isinstance(rows := self.grant_manager.release_earlier_runs(restart), Failure):
            self.availability.report(False)
            eventlet.sleep(_POLL_SECONDS)
            self.availability.wait_until_available(self.options.renew_seconds)
            restart = self._checked_restart()
        text = " ".join(
            f"{row.budget}:{row.written_off}/{row.freed}@{row.seconds:.1f}" for row in rows.unwrap()
        )
        log_event(
            Event.EARLIER_RUNS_RELEASED,
            instance=self.options.name,
            clock="checked" if restart.wall_checked else "not checked",
            rows=text,
        )

    def _is_clock_check_over(self) -> bool:
        """Whether the peers have checked the time of day, or have had time enough to."""
        waited = steady() - self.restart.steady
        return waited >= _CLOCK_CHECK_TIMEOUT_SECONDS or self.wall_clock().is_checked

    def _checked_restart(self) -> RestartTime:
        """Return the moment of the restart, with what the peers say of its clock."""
        now = self.wall_clock()
        jump = (now.seconds - self.restart.wall) - (steady() - self.restart.steady)
        checked = now.is_checked and abs(jump) <= _CLOCK_JUMP_SECONDS
        return msgspec.structs.replace(self.restart, wall_checked=checked)
