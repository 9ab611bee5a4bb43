"""Who shares what targets that take few requests bear, as this instance sees the fleet."""

from whinrack.clock import steady
from whinrack.edge._options import EdgeOptions
from whinrack.gossip import PeerTable, PeerView

__all__ = ["RateSharers"]

# A silent peer keeps its share for so long: it may be cut off and go on. Cuts of 8 to 10 s are
# borne so without two instances that spend the same share.
_REMEMBERED_SECONDS = 15.0
# An instance that has just started sends nothing to such targets until peers have told it who is
# there: two heartbeats of a large fleet, and the answers with all states.
_SETTLE_SECONDS = 2.0
# After that, for a while, all that are ready count: to whom callers come isn't known yet when all
# have just started.
_INCLUDE_IDLE_SECONDS = 5.0
# One whose settings name others and that hears of none is cut off from them most likely.
_ISOLATED_SECONDS = 15.0
# The view is renewed so often; it is asked for with each request.
_REFRESH_SECONDS = 0.1


class RateSharers:
    """The instances that callers come to, old ones counted rather than new ones forgotten.

    Counting one that is gone leaves some of the rate unused; missing one that is there makes two
    spend the same share.

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
        """Return the names of the instances, with this one; empty while that isn't known."""
        now = steady()
        if now - self._refreshed_at >= _REFRESH_SECONDS:
            self._refreshed_at = now
            self._members = self._compute_members(now)
        return self._members

    def _compute_members(self, now: float) -> frozenset[str]:
        age = now - self.started_at
        views = self.table.peers_heard_within(now, _REMEMBERED_SECONDS)
        expects_others = any(seed != self.options.gossip for seed in self.options.seeds)
        if age < _SETTLE_SECONDS and expects_others:
            return frozenset()
        if not views and expects_others and age < _ISOLATED_SECONDS:
            return frozenset()
        includes_idle = self.table.is_full_mesh or age < _INCLUDE_IDLE_SECONDS
        names = (
            view.state.sender.name for view in views if self._is_member(view, now, includes_idle)
        )
        return frozenset([self.options.name, *names])

    def _is_member(self, view: PeerView, now: float, includes_idle: bool) -> bool:
        """Whether callers come to a peer, or would if it was heard."""
        if not (view.state.ready or self.table.is_live(view, now)):
            # It stopped as planned, and said so.
            return False
        return includes_idle or view.state.serving
