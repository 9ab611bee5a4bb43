"""Requests for unspent tokens to live peers."""

from collections.abc import Callable

import msgspec
from eventlet.event import Event
from eventlet.timeout import Timeout

from whinrack.base import rendezvous_order
from whinrack.budgets import SpareTokenSource, TransferTotal
from whinrack.clock import steady
from whinrack.gossip._capacity import prefer_high_capacity
from whinrack.gossip._link import GossipLink
from whinrack.gossip._messages import PeerState, TokenReply, TokenRequest
from whinrack.gossip._peers import PeerTable, PeerView
from whinrack.gossip._request_ids import request_ids

__all__ = ["GossipTokenSource"]

# Multiple of the reply timeout for a peer that has to write to the store before it replies.
_PEER_DRAW_TIMEOUT_FACTOR = 10
# A supplier is asked twice, because datagrams can be lost.
_SUPPLY_TIMEOUT_FACTORS = (1, 1)
# Peers that are asked for spare tokens; in a large fleet the suppliers hold most of them.
_MAX_PEERS_ASKED = 12
# Seconds for which a supplier that did not reply is not chosen.
_AVOID_SECONDS = 2.0
# Seconds for which the choice of a budget's supplier is cached.
_SUPPLIER_CACHE_SECONDS = 0.1


class _PendingQuery:
    """Replies to a request that was sent to one or more peers."""

    def __init__(self, expected: int):
        self.expected = expected
        self.replies: dict[str, TransferTotal] = {}
        self.done = Event()

    def add(self, reply: TokenReply) -> None:
        """Add a reply; the last expected one wakes the waiting requester."""
        self.replies[reply.giver] = TransferTotal(reply.giver, reply.total, reply.unreported_use)
        if len(self.replies) >= self.expected and not self.done.ready():
            self.done.send(None)


class GossipTokenSource(SpareTokenSource):
    """Source of spare tokens that asks live peers over the gossip link.

    Parameters
    ----------
    holder : str
        Incarnation of this instance.
    link : GossipLink
    peers : PeerTable
    reply_timeout : float
        Seconds to wait for replies.
    own_state : callable
        Returns the current `PeerState` of this instance.
    """

    def __init__(
        self,
        holder: str,
        link: GossipLink,
        peers: PeerTable,
        reply_timeout: float,
        own_state: Callable[[], PeerState],
    ):
        self.holder = holder
        self.own_state = own_state
        self.link = link
        self.peers = peers
        self.reply_timeout = reply_timeout
        self._request_ids = request_ids()
        self._pending: dict[int, _PendingQuery] = {}
        self._avoid_until: dict[str, float] = {}
        self._supplier_cache: dict[str, tuple[float, PeerView | None]] = {}

    def is_supplier(self, budget: str) -> bool:
        """Return whether this instance supplies a budget, that is, draws ahead for its peers."""
        return self._supplier(budget) is None

    def supplier(self, budget: str) -> str:
        """Return the name of a budget's supplier for logs, empty if it is this instance."""
        view = self._supplier(budget)
        return "" if view is None else view.state.sender.name

    def request_from_supplier(
        self, budget: str, need: int, wish: int, received: dict[str, int]
    ) -> list[TransferTotal]:
        """Ask a budget's supplier for tokens; one that does not reply is avoided for a while."""
        supplier = self._supplier(budget)
        if supplier is None:
            return []
        request = self._request(budget, need, wish, to_supplier=True)
        for factor in _SUPPLY_TIMEOUT_FACTORS:
            replies = self._ask([supplier], request, received, factor * self.reply_timeout)
            if replies:
                return replies
        self._avoid_until[supplier.state.incarnation] = steady() + _AVOID_SECONDS
        self._supplier_cache.clear()
        return []

    def _supplier(self, budget: str) -> PeerView | None:
        """Return the supplier of a budget, or None if it is this instance."""
        now = steady()
        chosen_at, view = self._supplier_cache.get(budget, (float("-inf"), None))
        if now - chosen_at > _SUPPLIER_CACHE_SECONDS:
            view = self._choose_supplier(budget, now)
            self._supplier_cache[budget] = now, view
        return view

    def _choose_supplier(self, budget: str, now: float) -> PeerView | None:
        views = {
            view.state.sender.name: view
            for view in self.peers.ready(now)
            if self._avoid_until.get(view.state.incarnation, 0.0) <= now
        }
        states = [view.state for view in views.values()]
        own = self.own_state()
        if own.ready or not states:
            states.append(own)
        # Suppliers are instances of high capacity. Those that callers use would be another choice
        # but change too often.
        names = [state.sender.name for state in prefer_high_capacity(states)]
        return views.get(rendezvous_order(f"supply/{budget}", names)[0])

    def request_from_peers(
        self, budget: str, need: int, wish: int, received: dict[str, int]
    ) -> list[TransferTotal]:
        """Ask the peers that may hold unspent tokens and return the total that each has given."""
        views = self.peers.peers_with_tokens(steady())[:_MAX_PEERS_ASKED]
        request = self._request(budget, need, wish)
        return self._ask(views, request, received, self.reply_timeout)

    def peer_count(self) -> int:
        """Return the number of peers that `request_from_peers` would ask now."""
        return min(_MAX_PEERS_ASKED, len(self.peers.peers_with_tokens(steady())))

    def request_peer_draw(
        self, budget: str, need: int, wish: int, received: dict[str, int]
    ) -> list[TransferTotal]:
        """Ask one peer that reaches the store to draw the needed tokens."""
        reaching_store = self.peers.peers_with_store(steady())
        views = {view.state.sender.name: view for view in reaching_store}
        if not views:
            return []
        drawing_peer = rendezvous_order(f"{self.holder}/{budget}", views)[0]
        request = self._request(budget, need, wish, allow_draw=True)
        return self._ask(
            [views[drawing_peer]], request, received, _PEER_DRAW_TIMEOUT_FACTOR * self.reply_timeout
        )

    def handle_reply(self, reply: TokenReply) -> None:
        """Add a reply to the request that it answers; late replies are ignored."""
        pending = self._pending.get(reply.request_id)
        if pending is not None:
            pending.add(reply)

    def _request(self, budget: str, need: int, wish: int, **flags: bool) -> TokenRequest:
        return TokenRequest(
            request_id=next(self._request_ids),
            budget=budget,
            receiver=self.holder,
            giver="",
            already_received=0,
            need=need,
            want=wish,
            **flags,
        )

    def _ask(
        self,
        views: list[PeerView],
        request: TokenRequest,
        received: dict[str, int],
        timeout: float,
    ) -> list[TransferTotal]:
        if not views:
            return []
        pending = self._pending[request.request_id] = _PendingQuery(len(views))
        try:
            for view in views:
                giver = view.state.incarnation
                addressed = msgspec.structs.replace(
                    request, giver=giver, already_received=received.get(giver, 0)
                )
                self.link.send(addressed, view.state.sender.address)
            with Timeout(timeout, False):
                pending.done.wait()
        finally:
            del self._pending[request.request_id]
        return list(pending.replies.values())
