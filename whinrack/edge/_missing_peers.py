"""Tracking of instances that may still run although they are not heard."""

from typing import NamedTuple

from whinrack.clock import steady
from whinrack.edge._options import EdgeOptions
from whinrack.gossip import PeerTable

__all__ = ["MissingPeers"]

# An instance that fell silent without a graceful shutdown counts as missing for this time, unless
# it is heard again. It may be partitioned for longer than any known outage.
_MISSING_SECONDS = 600.0
# How long a peer's report of missing instances is valid. It is repeated with each heartbeat.
_REPORT_VALID_SECONDS = 5.0
_REFRESH_SECONDS = 0.5


class _KnownInstance(NamedTuple):
    """An instance that was ready when it was last heard."""

    heard_at: float
    serving: bool


class MissingPeers:
    """Remembers instances for longer than the peer table does.

    Fleet-wide limits must also be shared with instances that may still run unheard. An instance
    that starts during a partition has never heard the other part, so peers report to each other
    that instances are missing. Each reports only what it remembers itself: otherwise two instances
    could confirm each other's report for ever.

    Parameters
    ----------
    options : EdgeOptions
    table : PeerTable
    """

    def __init__(self, options: EdgeOptions, table: PeerTable):
        self.options = options
        self.table = table
        self._started_at = steady()
        # Instances that have not shut down gracefully, by name.
        self._known: dict[str, _KnownInstance] = {}
        self._reported_at = float("-inf")
        self._missing: list[_KnownInstance] = []
        self._refreshed_at = float("-inf")

    def report(self, has_missing: bool) -> None:
        """Record whether a peer has missing instances."""
        if has_missing:
            self._reported_at = steady()

    @property
    def is_fleet_complete(self) -> bool:
        """Whether neither this instance nor a peer has missing instances."""
        return not self.has_missing and steady() - self._reported_at > _REPORT_VALID_SECONDS

    @property
    def has_missing(self) -> bool:
        """Whether this instance itself has missing instances, or seeds not heard yet."""
        return bool(self._current_missing()) or self._has_unheard_seeds(steady())

    def count(self, only_serving: bool) -> int:
        """Return the number of missing instances, of all or of those that served callers."""
        return sum(instance.serving or not only_serving for instance in self._current_missing())

    def _current_missing(self) -> list[_KnownInstance]:
        """Return the missing instances, refreshed a few times a second."""
        now = steady()
        if now - self._refreshed_at >= _REFRESH_SECONDS:
            self._refreshed_at = now
            self._refresh(now)
        return self._missing

    def _refresh(self, now: float) -> None:
        for view in self.table.peers_heard_within(now, self.options.forget_seconds):
            name = view.state.sender.name
            if view.state.ready:
                self._known[name] = _KnownInstance(view.heard_at, view.state.serving)
            elif self.table.is_live(view, now):
                self._known.pop(name, None)
        self._known = {
            name: instance
            for name, instance in self._known.items()
            if now - instance.heard_at <= _MISSING_SECONDS
        }
        live = {view.state.sender.name for view in self.table.live_peers(now)}
        self._missing = [instance for name, instance in self._known.items() if name not in live]

    def _has_unheard_seeds(self, now: float) -> bool:
        """Return whether a seed of the settings has not been heard yet."""
        if now - self._started_at > _MISSING_SECONDS:
            return False
        own = self.options.gossip[0]
        hosts = {host for host, _ in self.options.seeds if host != own}
        return any(self.table.data_hall_of(host) is None for host in hosts)
