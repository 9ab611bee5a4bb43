"""Asks live peers for unspent tokens, all at once."""

import itertools
import time
from collections.abc import Iterable

from eventlet.event import Event
from eventlet.timeout import Timeout

from whinrack.budgets import SpareSource, SpareTotal
from whinrack.gossip._link import GossipLink
from whinrack.gossip._messages import TokenReply, TokenRequest
from whinrack.gossip._peers import PeerTable

__all__ = ["PeerSpares"]


class _Question:
    """One round of requests and the replies so far."""

    def __init__(self, expected: int):
        self.expected = expected
        self.replies: dict[str, int] = {}
        self.done = Event()

    def add(self, reply: TokenReply) -> None:
        """Take in a reply; wakes the asker with the last one."""
        self.replies[reply.giver] = reply.total
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
    ) -> Iterable[SpareTotal]:
        """Ask every live peer for what is needed and return what each gave in all."""
        views = self.peers.live(time.monotonic())
        if not views:
            return []
        number = next(self._numbers)
        question = self._open[number] = _Question(len(views))
        try:
            for view in views:
                giver = view.beat.incarnation
                request = TokenRequest(
                    question=number,
                    budget=budget,
                    receiver=self.holder,
                    giver=giver,
                    already_received=received.get(giver, 0),
                    need=need,
                    wish=wish,
                )
                self.link.send(request, (view.beat.sender.host, view.beat.sender.port))
            with Timeout(self.patience, False):
                question.done.wait()
        finally:
            del self._open[number]
        return [SpareTotal(giver, total) for giver, total in question.replies.items()]

    def replied(self, reply: TokenReply) -> None:
        """Take in a reply; one that comes too late is repeated by the next question."""
        question = self._open.get(reply.question)
        if question is not None:
            question.add(reply)
