"""Logging of rate limits that targets state, and notification of the peers."""

from collections.abc import Callable

from whinrack.clock import steady
from whinrack.dispatch import NO_LIMIT, LimitChange, TargetRegistry
from whinrack.observability import Event, Metrics, log_event

__all__ = ["LimitLog"]

# A target may state a different limit with each answer, so log lines of one target and heartbeats
# sent for such changes have a minimum interval. Changes in between go out with the next heartbeat.
_LOG_INTERVAL_SECONDS = 1.0
_NOTIFY_INTERVAL_SECONDS = 1.0
# The start and the end of a limit are always logged, and heartbeats are sent for them at this
# minimum interval: periodic heartbeats alone take some three seconds to reach 200 instances.
_START_END_NOTIFY_INTERVAL_SECONDS = 0.25
# Number of targets whose last log time is remembered, the latest ones.
_MAX_TARGETS = 500


class LimitLog:
    """Logs each limit that starts, changes or ends.

    Parameters
    ----------
    registry : TargetRegistry
    metrics : Metrics
    notify_peers : callable
        Called after a change, to notify the peers at once: most of them send no requests to the
        target and would not see its limit otherwise.
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
        """Log a change and notify the peers, each subject to its minimum interval."""
        self.metrics.limited_targets.set(len(self.registry.stated_limits.limited_targets()))
        now = steady()
        is_value_change = NO_LIMIT not in (change.previous_rate, change.rate)
        if (
            not is_value_change
            or now - self._logged_at.get(change.target, 0.0) >= _LOG_INTERVAL_SECONDS
        ):
            self._log(change, now)
        if now - self._notified_at >= (
            _NOTIFY_INTERVAL_SECONDS if is_value_change else _START_END_NOTIFY_INTERVAL_SECONDS
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
