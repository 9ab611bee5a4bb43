"""Logging of cold targets and the reasons, when they change."""

from collections import Counter

import eventlet

from whinrack.clock import steady
from whinrack.dispatch import CurrentConfiguration, PoolRecord, TargetRegistry
from whinrack.observability import Event, Metrics, log_event

__all__ = ["WarmUpLog"]

# Interval between updates; each logs at most one line per pool.
_UPDATE_INTERVAL_SECONDS = 1.0


class WarmUpLog:
    """Logs the cold targets of each pool, at most once a second.

    Parameters
    ----------
    registry : TargetRegistry
    current_configuration : CurrentConfiguration
    metrics : Metrics
    """

    def __init__(
        self,
        registry: TargetRegistry,
        current_configuration: CurrentConfiguration,
        metrics: Metrics,
    ):
        self.registry = registry
        self.current_configuration = current_configuration
        self.metrics = metrics
        self._logged: dict[str, frozenset[str]] = {}

    def run(self) -> None:
        """Update periodically until the process ends."""
        while True:
            eventlet.sleep(_UPDATE_INTERVAL_SECONDS)
            self.update()

    def update(self) -> None:
        """Update the metrics and log pools whose cold targets have changed."""
        self.metrics.emptied_halls.set(len(self.registry.emptied_halls.names))
        pools = self.current_configuration.pools
        self.metrics.cold_targets.set(sum(map(self._update_pool, pools)))

    def _update_pool(self, pool: PoolRecord) -> int:
        """Log the cold targets of a pool if they have changed, and return their number."""
        if pool.cold_start is None:
            return 0
        states = self.registry.cold_targets(pool.name, pool.cold_start, steady())
        names = frozenset(state.record.identity for state in states)
        if names != self._logged.get(pool.name, frozenset()):
            self._logged[pool.name] = names
            bound = self.registry.rate_limiter.warm_up_limits.rate_bound(pool.cold_start.rate)
            shares = self.registry.rate_permits.held_shares(dict.fromkeys(names, bound)).values()
            log_event(
                Event.TARGETS_COLD,
                pool=pool.name,
                cold=len(names),
                of=len(self.registry.targets_in_pool(pool.name)),
                why=dict(Counter(state.cold_state.reason.value for state in states)),
                held=len(shares),
                rate=round(max((share.rate for share in shares), default=0.0), 2),
                turned_away=self.registry.rate_permits.refused_count,
            )
        return len(names)
