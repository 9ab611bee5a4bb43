"""Where tokens come from: the region's drawer, the platform, and the peers."""

from collections.abc import Iterable

import eventlet
from returns.result import Failure, Result

from whinrack.budgets import (
    AccountWriter,
    DrawOrder,
    DrawResult,
    SpareTokenSource,
    TokenSource,
    TransferTotal,
)
from whinrack.clock import steady
from whinrack.exceptions import WhinrackError
from whinrack.membership import Member, MembershipTable
from whinrack.observability import Metrics
from whinrack.peers import PeerClient

__all__ = ["PeerSpares", "RegionSource"]

_MOST_ASKED = 16


class RegionSource(TokenSource):
    """Sends orders to the region's drawer, or draws itself where that fails.

    An order may reach the books by both ways; its sequence makes it count once.

    Parameters
    ----------
    own : callable
        Returns this daemon's member record.
    """

    def __init__(
        self,
        own,
        table: MembershipTable,
        peers: PeerClient,
        drawer: AccountWriter,
        metrics: Metrics,
    ):
        self.own = own
        self.table = table
        self.peers = peers
        self.drawer = drawer
        self.metrics = metrics

    def draw(self, order: DrawOrder) -> Result[DrawResult, WhinrackError]:
        """Apply an order and return the books' state."""
        own = self.own()
        chosen = self.table.drawing_incarnation(own, order.account, steady())
        member = None if chosen == own.incarnation else self.table.find(chosen)
        if member is not None:
            result = self.peers.draw(member.peer_address, order)
            self._count("peer", result)
            if not isinstance(result, Failure):
                return result
        result = self.drawer.draw(order)
        self._count("platform", result)
        return result

    def _count(self, path: str, result: Result) -> None:
        label = result.failure().code if isinstance(result, Failure) else "ok"
        self.metrics.draws.labels(path, label).inc()


class PeerSpares(SpareTokenSource):
    """Asks the peers that look alive, all at once, the own region's first.

    Parameters
    ----------
    own : callable
        Returns this daemon's member record.
    """

    def __init__(self, own, table: MembershipTable, peers: PeerClient):
        self.own = own
        self.table = table
        self.peers = peers

    def request_from_peers(
        self, budget: str, need: int, wish: int, received: dict[str, int]
    ) -> Iterable[TransferTotal]:
        """Ask peers for tokens and yield what each has given in all."""
        own = self.own()
        members = self.table.live_members(steady())
        members.sort(key=lambda member: (member.region != own.region, member.name))
        pool = eventlet.GreenPool(_MOST_ASKED)
        missing = need

        def ask(member: Member) -> TransferTotal:
            known = received.get(member.incarnation, 0)
            reply = self.peers.spare(
                member.peer_address, budget, own.incarnation, known, max(0, missing), wish
            )
            return TransferTotal(member.incarnation, reply.value_or(known))

        for spare in pool.imap(ask, members[:_MOST_ASKED]):
            missing -= max(0, spare.total - received.get(spare.giver, 0))
            yield spare
