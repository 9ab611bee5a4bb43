"""The instances that share the rate limits of targets."""

from whinrack.clock import steady
from whinrack.edge._options import EdgeOptions
from whinrack.gossip import PeerTable, PeerView

__all__ = ["RateSharers"]

# A silent peer keeps its share for this time, since it may be partitioned and still run. This
# covers partitions of 8 to 10 s without two instances using the same share.
_REMEMBERED_SECONDS = 15.0
# An instance that has just started sends nothing to rate-limited targets until it knows its peers.
# This takes two heartbeats of a large fleet and the answers with all states.
_SETTLE_SECONDS = 2.0
# Until this age all ready instances are members: when all have just started, it is not yet known
# which of them serve callers.
_INCLUDE_IDLE_SECONDS = 5.0
# An instance with seeds that has heard no peer up to this age is probably partitioned from them.
_ISOLATED_SECONDS = 15.0
# The members are needed for each request and recomputed at this interval.
_REFRESH_SECONDS = 0.1


class RateSharers:
    """Determines which instances serve callers and therefore share rate limits.

    In doubt an instance counts as a member. One that is gone leaves part of the rate unused, while
    leaving out one that still runs lets two instances use the same share.

    Parameters
    ----------
    options : EdgeOptions
    table : PeerTable
    """

    def __init__(self, options: EdgeOptions, table: PeerTable):
        self.options = options
        self.table = table
        self.started_at = steady()
        self._members: frozenset[str] = frozenset()
        self._refreshed_at = float("-inf")

    def members(self) -> frozenset[str]:
        """Return the names of the members with this instance; empty while they are unknown."""
        now = steady()
        if now - self._refreshed_at >= _REFRESH_SECONDS:
            self._refreshed_at = now
            self._members = self._compute_members(now)
        return self._members

    def members_with_idle(self) -> frozenset[str]:
        """Return the members, with instances that serve no callers; empty while unknown.

        Other instances may forward requests to those.
        """
        return self._compute_members(steady(), includes_idle=True)

    def _compute_members(self, now: float, includes_idle: bool = False) -> frozenset[str]:
        age = now - self.started_at
        views = self.table.peers_heard_within(now, _REMEMBERED_SECONDS)
        has_seeds = any(seed != self.options.gossip for seed in self.options.seeds)
        if age < _SETTLE_SECONDS and has_seeds:
            return frozenset()
        if not views and has_seeds and age < _ISOLATED_SECONDS:
            return frozenset()
        includes_idle |= self.table.is_full_mesh or age < _INCLUDE_IDLE_SECONDS
        names = (
            view.state.sender.name for view in views if self._is_member(view, now, includes_idle)
        )
        return frozenset([self.options.name, *names])

    def _is_member(self, view: PeerView, now: float, includes_idle: bool) -> bool:
        """Return whether a peer shares the rate limits."""
        if not (view.state.ready or self.table.is_live(view, now)):
            # It announced a graceful shutdown.
            return False
        return includes_idle or view.state.serving
