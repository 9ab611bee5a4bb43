"""Sources of budget tokens: the instance that draws for the region, the platform, peers."""

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

__all__ = ["PeerTokenSource", "RegionTokenSource"]

_MAX_PEERS_ASKED = 16


class RegionTokenSource(TokenSource):
    """Sends draw orders to the instance that draws for the region, or draws if that fails.

    An order may reach the books on both paths; its sequence number makes it count once.

    Parameters
    ----------
    own_member : callable
        Returns the member record of this daemon.
    """

    def __init__(
        self,
        own_member,
        membership_table: MembershipTable,
        peer_client: PeerClient,
        account_writer: AccountWriter,
        metrics: Metrics,
    ):
        self.own_member = own_member
        self.membership_table = membership_table
        self.peer_client = peer_client
        self.account_writer = account_writer
        self.metrics = metrics

    def draw(self, order: DrawOrder) -> Result[DrawResult, WhinrackError]:
        """Apply a draw order and return the resulting state of the books."""
        own_member = self.own_member()
        chosen = self.membership_table.drawing_incarnation(own_member, order.account, steady())
        member = None if chosen == own_member.incarnation else self.membership_table.find(chosen)
        if member is not None:
            result = self.peer_client.draw(member.peer_address, order)
            self._count_draw("peer", result)
            if not isinstance(result, Failure):
                return result
        result = self.account_writer.draw(order)
        self._count_draw("platform", result)
        return result

    def _count_draw(self, path: str, result: Result) -> None:
        label = result.failure().code if isinstance(result, Failure) else "ok"
        self.metrics.draws.labels(path, label).inc()


class PeerTokenSource(SpareTokenSource):
    """Asks the peers that seem alive concurrently, those of the same region first.

    Parameters
    ----------
    own_member : callable
        Returns the member record of this daemon.
    """

    def __init__(self, own_member, membership_table: MembershipTable, peer_client: PeerClient):
        self.own_member = own_member
        self.membership_table = membership_table
        self.peer_client = peer_client

    def request_from_peers(
        self, budget: str, need: int, wish: int, received: dict[str, int]
    ) -> Iterable[TransferTotal]:
        """Ask peers for tokens and yield the cumulative total that each has given."""
        own_member = self.own_member()
        members = self.membership_table.live_members(steady())
        members.sort(key=lambda member: (member.region != own_member.region, member.name))
        pool = eventlet.GreenPool(_MAX_PEERS_ASKED)
        missing = need

        def ask(member: Member) -> TransferTotal:
            known = received.get(member.incarnation, 0)
            reply = self.peer_client.request_tokens(
                member.peer_address, budget, own_member.incarnation, known, max(0, missing), wish
            )
            return TransferTotal(member.incarnation, reply.value_or(known))

        for transfer in pool.imap(ask, members[:_MAX_PEERS_ASKED]):
            missing -= max(0, transfer.total - received.get(transfer.giver, 0))
            yield transfer
