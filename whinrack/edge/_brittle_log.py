"""Logging of targets that state that refusals make them fall over, and notification of peers."""

from collections.abc import Callable

from whinrack.dispatch import LimitChange, TargetRegistry
from whinrack.observability import Event, Metrics, log_event

__all__ = ["BrittleLog"]


class BrittleLog:
    """Logs each statement that begins, changes or ends.

    Parameters
    ----------
    registry : TargetRegistry
    metrics : Metrics
    notify_peers : callable
        Called after a change.
    """

    def __init__(
        self, registry: TargetRegistry, metrics: Metrics, notify_peers: Callable[[], None]
    ):
        self.registry = registry
        self.metrics = metrics
        self.notify_peers = notify_peers

    def on_change(self, change: LimitChange) -> None:
        """Log a change and notify the peers."""
        self.metrics.brittle_targets.set(self.registry.brittle_targets.count_stated())
        log_event(
            Event.TARGET_BRITTLE,
            target=change.target,
            refusals=change.rate,
            before=change.previous_rate,
            source=change.source,
            age=round(change.age, 3),
            request=change.request,
        )
        self.notify_peers()
