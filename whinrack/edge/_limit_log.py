"""Tells which targets have stated a limit of requests, and the peers that it has changed."""

from collections.abc import Callable

from whinrack.dispatch import LimitChange, TargetRegistry
from whinrack.observability import Event, Metrics, log_event

__all__ = ["LimitLog"]


class LimitLog:
    """Logs each limit that becomes known, changes or ends.

    Parameters
    ----------
    registry : TargetRegistry
    metrics : Metrics
    spread : callable
        Called with each change, to tell the peers at once: most of them send nothing to the
        target and hear nothing from it.
    """

    def __init__(self, registry: TargetRegistry, metrics: Metrics, spread: Callable[[], None]):
        self.registry = registry
        self.metrics = metrics
        self.spread = spread

    def changed(self, change: LimitChange) -> None:
        """Log one change."""
        self.metrics.limited_targets.set(len(self.registry.limits.limited()))
        log_event(
            Event.TARGET_LIMITED,
            target=change.target,
            rate=change.rate,
            before=change.before,
            source=change.source,
            age=round(change.age, 3),
            request=change.request,
            share=round(self.registry.bearing.share(change.target), 3),
            turned_away=self.registry.permits.turned_away_count,
        )
        self.spread()
