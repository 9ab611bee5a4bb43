"""Release of tokens that earlier runs of a restarted instance held."""

from collections.abc import Callable

import eventlet
import msgspec
from returns.result import Failure

from whinrack.budgets import GrantManager, RestartTime, WallClockReading
from whinrack.clock import steady
from whinrack.edge._options import EdgeOptions
from whinrack.edge._store_availability import StoreAvailability
from whinrack.observability import Event, Metrics, log_event

__all__ = ["EarlierRuns"]

_POLL_SECONDS = 0.05
# How long a started instance waits for its peers to check the time of day.
_CLOCK_CHECK_TIMEOUT_SECONDS = 2.0
# Delay between the clock check and drawing ahead.
_PEER_DISCOVERY_SECONDS = 1.0
# A larger difference between wall and steady clock counts as a jump of the time of day.
_CLOCK_JUMP_SECONDS = 0.25


class EarlierRuns:
    """Releases tokens that earlier runs of an instance held and cannot have used.

    Parameters
    ----------
    options : EdgeOptions
    restart : RestartTime
        Time at which this run started.
    grant_manager : GrantManager
    availability : StoreAvailability
    wall_clock : callable
        Returns the time of day and whether the peers agree with it.
    metrics : Metrics
    """

    def __init__(
        self,
        options: EdgeOptions,
        restart: RestartTime,
        grant_manager: GrantManager,
        availability: StoreAvailability,
        wall_clock: Callable[[], WallClockReading],
        metrics: Metrics,
    ):
        self.options = options
        self.restart = restart
        self.grant_manager = grant_manager
        self.availability = availability
        self.wall_clock = wall_clock
        self.metrics = metrics

    def release_and_draw(self) -> None:
        """Release the tokens of earlier runs, then allow drawing ahead."""
        while not self._is_clock_check_over():
            eventlet.sleep(_POLL_SECONDS)
        if not self.options.first_start:
            self._release()
        # Drawing ahead needs the peers: all instances must agree on who draws for the fleet.
        eventlet.sleep(_PEER_DISCOVERY_SECONDS)
        self.grant_manager.can_draw_ahead = True

    def release_after_restore(self) -> None:
        """Release again, since a store restored from a copy may have lost the first release."""
        if self.grant_manager.can_draw_ahead:
            self._release()

    def _release(self) -> None:
        restart = self._checked_restart()
        while isinstance(rows := self.grant_manager.release_earlier_runs(restart), Failure):
            self.availability.report(False)
            eventlet.sleep(_POLL_SECONDS)
            self.availability.wait_until_available(self.options.renew_seconds)
            restart = self._checked_restart()
        released = rows.unwrap()
        self.metrics.written_off_tokens.inc(sum(row.written_off for row in released))
        text = " ".join(
            f"{row.budget}:{row.written_off}/{row.freed}@{row.seconds:.1f}" for row in released
        )
        log_event(
            Event.EARLIER_RUNS_RELEASED,
            instance=self.options.name,
            clock="checked" if restart.wall_checked else "not checked",
            rows=text,
        )

    def _is_clock_check_over(self) -> bool:
        """Return whether the peers have checked the time of day or the timeout is over."""
        waited = steady() - self.restart.steady
        return waited >= _CLOCK_CHECK_TIMEOUT_SECONDS or self.wall_clock().is_checked

    def _checked_restart(self) -> RestartTime:
        """Return the restart moment, marked as checked if the peers confirm its clock."""
        now = self.wall_clock()
        jump = (now.seconds - self.restart.wall) - (steady() - self.restart.steady)
        checked = now.is_checked and abs(jump) <= _CLOCK_JUMP_SECONDS
        return msgspec.structs.replace(self.restart, wall_checked=checked)
