"""Requests that wait for a place at a brittle target, while one is expected soon.

The quotas of brittle targets may be far below the slots while instances come and go. A caller that
is refused then asks again at once and finds the places taken again, though each is free soon.
"""

from collections import deque
from collections.abc import Collection

import msgspec
from eventlet.event import Event

from whinrack.clock import steady
from whinrack.dispatch._registry import TargetRegistry
from whinrack.dispatch._run_times import RunTimes
from whinrack.dispatch._target_state import TargetState

__all__ = ["PlaceWait", "PlaceWaits"]

# Maximum time that a request waits, in seconds, as long as a refused caller is told to stay away.
_MAX_WAIT_SECONDS = 0.25


class PlaceWait(msgspec.Struct, frozen=True):
    """How a request waited for a place.

    Attributes
    ----------
    is_free : bool
        Whether a target can be sent the request now.
    seconds : float
        How long it waited.
    expected, before : int
        Places that were expected to be free soon, and requests that waited for them already.
    """

    is_free: bool
    seconds: float
    expected: int
    before: int


class PlaceWaits:
    """Lets requests wait for places at brittle targets.

    A place is expected if a run of this instance that holds it is expected to end soon, by the
    durations of recent runs. No more requests wait than places are expected; quotas stay as they
    are.

    Parameters
    ----------
    registry : TargetRegistry
    run_times : RunTimes
    """

    def __init__(self, registry: TargetRegistry, run_times: RunTimes):
        self.registry = registry
        self.run_times = run_times
        # The requests that wait in each pool, the first ones first.
        self._waiting: dict[str, deque[Event]] = {}

    def wait(self, pool: str, tried: Collection[str], deadline: float) -> PlaceWait | None:
        """Wait until a target of a pool can be sent a request.

        Parameters
        ----------
        tried : collection of str
            Identities of the targets that were tried for this request.
        deadline : float
            Steady clock time until which the request may wait.

        Returns
        -------
        PlaceWait or None
            None at once if no place is expected in time for this request.
        """
        now = steady()
        until = min(deadline, now + _MAX_WAIT_SECONDS)
        waiting = self._waiting.setdefault(pool, deque())
        expected, before = self.expected_places(pool, tried, until - now, now), len(waiting)
        if before >= expected:
            return None
        signal = Event()
        waiting.append(signal)
        try:
            is_free = self._wait_for_signals(signal, pool, tried, until)
        finally:
            waiting.remove(signal)
        return PlaceWait(is_free, steady() - now, expected, before)

    def _wait_for_signals(
        self, signal: Event, pool: str, tried: Collection[str], until: float
    ) -> bool:
        while (seconds_left := until - steady()) > 0.0:
            signal.wait(seconds_left)
            if signal.ready():
                signal.reset()
            if self.registry.has_eligible_target(pool, tried, steady()):
                return True
        return False

    def notify(self, pool: str) -> None:
        """Wake the requests that wait in a pool, as one has ended there."""
        for signal in self._waiting.get(pool, ()):
            if not signal.ready():
                signal.send()

    def expected_places(self, pool: str, tried: Collection[str], seconds: float, now: float) -> int:
        """Return how many places at brittle targets are expected to be free within some time."""
        brittle = self.registry.brittle_targets
        if self.registry.brittle_limits.is_empty:
            return 0
        return sum(
            brittle.places_after(state, self._expected_ends(state, seconds, now), now)
            for state in self.registry.usable_targets(pool, tried, now)
            if brittle.is_brittle(state)
        )

    def _expected_ends(self, state: TargetState, seconds: float, now: float) -> int:
        """Return how many runs at a target are expected to end within some time."""
        pool = state.record.pool
        return sum(
            self.run_times.expected_seconds_left(pool, now - sent_at) <= seconds
            for sent_at in state.run_starts
        )
