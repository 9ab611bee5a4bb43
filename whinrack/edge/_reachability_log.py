"""Logging of pools that were lost or reached again, and notification of the peers."""

from collections.abc import Callable

from whinrack.dispatch import ContactChange, Reachability
from whinrack.observability import Event, Metrics, log_event

__all__ = ["ReachabilityLog"]


class ReachabilityLog:
    """Logs each change of the contact with a pool.

    Parameters
    ----------
    reachability : Reachability
    metrics : Metrics
    notify_peers : callable
        Called after a change.
    """

    def __init__(
        self, reachability: Reachability, metrics: Metrics, notify_peers: Callable[[], None]
    ):
        self.reachability = reachability
        self.metrics = metrics
        self.notify_peers = notify_peers

    def on_contact_changed(self, change: ContactChange) -> None:
        """Log a change and notify the peers."""
        self.metrics.lost_pools.set(len(self.reachability.lost_pools()))
        log_event(
            Event.POOL_LOST if change.is_lost else Event.POOL_REACHED,
            pool=change.pool,
            evidence=change.evidence,
            targets=change.targets,
            untried=change.untried,
            silent=round(change.silent_seconds, 3),
        )
        self.notify_peers()
