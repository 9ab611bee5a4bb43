"""Tells which targets have stated a limit of requests."""

from whinrack.dispatch import NO_LIMIT, LimitChange
from whinrack.observability import Event, Metrics, log_event

__all__ = ["LimitLog"]


class LimitLog:
    """Logs each limit that becomes known, changes or ends.

    Parameters
    ----------
    metrics : Metrics
    """

    def __init__(self, metrics: Metrics):
        self.metrics = metrics
        self._limited: set[str] = set()

    def changed(self, change: LimitChange) -> None:
        """Log one change."""
        if change.rate == NO_LIMIT:
            self._limited.discard(change.target)
        else:
            self._limited.add(change.target)
        self.metrics.limited_targets.set(len(self._limited))
        log_event(
            Event.TARGET_LIMITED,
            target=change.target,
            rate=change.rate,
            before=change.before,
            request=change.request,
        )
