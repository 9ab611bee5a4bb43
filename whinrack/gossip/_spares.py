"""Asks live peers for unspent tokens, all at once."""

import itertools
import time

import msgspec
from eventlet.event import Event
from eventlet.timeout import Timeout

from whinrack.base import rendezvous
from whinrack.budgets import SpareSource, SpareTotal
from whinrack.gossip._link import GossipLink
from whinrack.gossip._messages import TokenReply, TokenRequest
from whinrack.gossip._peers import PeerTable, PeerView

__all__ = ["PeerSpares"]

# A lender has to write to the store before it replies.
_BORROW_FACTOR = 10


class _Question:
    """One round of requests and the replies so far."""

    def __init__(self, expected: int):
        self.expected = expected
        self.replies: dict[str, SpareTotal] = {}
        self.done = Event()

    def add(self, reply: TokenReply) -> None:
        """Take in a reply; wakes the asker with the last one."""
        self.replies[reply.giver] = SpareTotal(reply.giver, reply.total, reply.covering)
        if len(self.replies) >= self.expected and not self.done.ready():
            self.done.send(None)


class PeerSpares(SpareSource):
    """The spare tokens of the peers that are heard.

    Parameters
    ----------
    holder : str
        This run.
    link : GossipLink
    peers : PeerTable
    patience : float
        Seconds to wait for the replies.
    """

    def __init__(self, holder: str, link: GossipLink, peers: PeerTable, patience: float):
        self.holder = holder
        self.link = link
        self.peers = peers
        self.patience = patience
        self._numbers = itertools.count(1)
        self._open: dict[int, _Question] = {}

    def gather(
        self, budget: str, need: int, wish: int, received: dict[str, int]
    ) -> list[SpareTotal]:
        """Ask every peer that may hold some for what is needed; returns what each gave in all."""
        views = self.peers.sharing(time.monotonic())
        request = self._request(budget, need, wish)
        return self._ask(views, request, received, self.patience)

    def peers_asked(self) -> int:
        """Return how many peers `gather` asks now."""
        return len(self.peers.sharing(time.monotonic()))

    def borrow(
        self, budget: str, need: int, wish: int, received: dict[str, int]
    ) -> list[SpareTotal]:
        """Ask one peer that reaches the store to draw what is needed."""
        reaching = self.peers.with_store(time.monotonic())
        views = {view.state.sender.name: view for view in reaching}
        if not views:
            return []
        lender = rendezvous(f"{self.holder}/{budget}", views)[0]
        request = self._request(budget, need, wish, draw=True)
        return self._ask([views[lender]], request, received, _BORROW_FACTOR * self.patience)

    def replied(self, reply: TokenReply) -> None:
        """Wake the asker with the last reply."""
        question = self._open.get(reply.question)
        if question is not None:
            question.add(reply)

    def _request(self, budget: str, need: int, wish: int, draw: bool = False) -> TokenRequest:
        return TokenRequest(
            question=next(self._numbers),
            budget=budget,
            receiver=self.holder,
            giver="",
            already_received=0,
            need=need,
            wish=wish,
            draw=draw,
        )

    def _ask(
        self,
        views: list[PeerView],
        request: TokenRequest,
        received: dict[str, int],
        patience: float,
    ) -> list[SpareTotal]:
        if not views:
            return []
        question = self._open[request.question] = _Question(len(views))
        try:
            for view in views:
                giver = view.state.incarnation
                addressed = msgspec.structs.replace(
                    request, giver=giver, already_received=received.get(giver, 0)
                )
                self.link.send(addressed, view.state.sender.address)
            with Timeout(patience, False):
                question.done.wait()
        finally:
            del self._open[request.question]
        return list(question.replies.values())
