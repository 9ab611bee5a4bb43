"""Tells which targets have stated a limit of requests, and the peers that it has changed."""

from collections.abc import Callable

from whinrack.clock import steady
from whinrack.dispatch import NO_LIMIT, LimitChange, TargetRegistry
from whinrack.observability import Event, Metrics, log_event

__all__ = ["LimitLog"]

# A target may state another number with each answer: lines on one target, and heartbeats that go
# out for such changes, have so many seconds between them at least. What no heartbeat goes out for
# comes with the next one.
_LOG_INTERVAL_SECONDS = 1.0
_NOTIFY_INTERVAL_SECONDS = 1.0
# The start and the end of a limit have a line always, and heartbeats that go out for one have so
# many seconds between them: by the usual ones alone 200 instances take some three seconds.
_START_END_NOTIFY_INTERVAL_SECONDS = 0.25
# Targets whose last line is remembered, the latest ones.
_MAX_TARGETS = 500


class LimitLog:
    """Logs each limit that becomes known, changes or ends.

    Parameters
    ----------
    registry : TargetRegistry
    metrics : Metrics
    notify_peers : callable
        Called with each change, to tell the peers at once: most of them send nothing to the
        target and hear nothing from it.
    """

    def __init__(
        self, registry: TargetRegistry, metrics: Metrics, notify_peers: Callable[[], None]
    ):
        self.registry = registry
        self.metrics = metrics
        self.notify_peers = notify_peers
        self._logged_at: dict[str, float] = {}
        self._notified_at = float("-inf")

    def on_limit_changed(self, change: LimitChange) -> None:
        """Log and pass on one change, unless the one before is too recent."""
        self.metrics.limited_targets.set(len(self.registry.stated_limits.limited_targets()))
        now = steady()
        is_another_number = NO_LIMIT not in (change.previous_rate, change.rate)
        if (
            not is_another_number
            or now - self._logged_at.get(change.target, 0.0) >= _LOG_INTERVAL_SECONDS
        ):
            self._log(change, now)
        if now - self._notified_at >= (
            _NOTIFY_INTERVAL_SECONDS if is_another_number else _START_END_NOTIFY_INTERVAL_SECONDS
        ):
            self._notified_at = now
            self.notify_peers()

    def _log(self, change: LimitChange, now: float) -> None:
        self._logged_at.pop(change.target, None)
        self._logged_at[change.target] = now
        while len(self._logged_at) > _MAX_TARGETS:
            del self._logged_at[next(iter(self._logged_at))]
        log_event(
            Event.TARGET_LIMITED,
            target=change.target,
            rate=change.rate,
            before=change.previous_rate,
            source=change.source,
            age=round(change.age, 3),
            request=change.request,
            share=round(self.registry.rate_limiter.permitted_rate(change.target), 3),
            turned_away=self.registry.rate_permits.refused_count,
        )
