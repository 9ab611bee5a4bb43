"""One instance writes the books for all that reach it, so that writes don't collide."""

import itertools
import time
from collections.abc import Callable

from eventlet.event import Event
from eventlet.timeout import Timeout
from returns.result import Result, Success

from whinrack.base import rendezvous
from whinrack.budgets import BookSource, DrawOrder, DrawResult
from whinrack.exceptions import PlatformFailure
from whinrack.gossip._link import GossipLink
from whinrack.gossip._messages import DrawAccepted, DrawReply, DrawRequest, PeerState
from whinrack.gossip._peers import PeerTable, PeerView, prefer_strong

__all__ = ["FleetDrawer"]

# For so long an instance that didn't reply isn't asked again.
_AVOID_SECONDS = 2.0
# For so long the reply of a writer that has accepted orders is waited for: a slow store
# makes both slow, and writing beside the writer would only collide with it.
_WRITING_SECONDS = 1.0
# Writers that are asked one after the other before an instance writes by itself: many that
# write at once mostly collide.
_MOST_WRITERS_ASKED = 2


class _Question:
    """Orders that were sent to a writer, and what it said so far."""

    def __init__(self):
        self.accepted = Event()
        self.reply = Event()

    def accept(self) -> None:
        """Learn that the writer has the orders."""
        if not self.accepted.ready():
            self.accepted.send(None)

    def answer(self, books: dict[str, DrawResult] | None) -> None:
        """Learn the outcome; a second reply changes nothing."""
        self.accept()
        if not self.reply.ready():
            self.reply.send(books)


class FleetDrawer(BookSource):
    """Sends orders to the instance that writes an account, or writes them itself.

    Who that is follows from the names of the instances that look alive and reach the
    store. Two that disagree, or an order that is applied on both ways, cost a conflict,
    never safety: writes are conditional and orders carry a sequence.

    Parameters
    ----------
    name : str
        This instance.
    own_state : callable
        Returns what this instance says of itself.
    local : BookSource
        Writes to the store from here.
    link : GossipLink
    peers : PeerTable
    patience : float
        Seconds to wait until the writer accepts orders before writing from here.
    """

    def __init__(
        self,
        name: str,
        own_state: Callable[[], PeerState],
        local: BookSource,
        link: GossipLink,
        peers: PeerTable,
        patience: float,
    ):
        self.name = name
        self.own_state = own_state
        self.local = local
        self.link = link
        self.peers = peers
        self.patience = patience
        self._numbers = itertools.count(1)
        self._open: dict[int, _Question] = {}
        self._avoided: dict[str, float] = {}

    def draw_books(self, orders: list[DrawOrder]) -> Result[dict[str, DrawResult], PlatformFailure]:
        """Apply one holder's orders for one account."""
        for _ in range(_MOST_WRITERS_ASKED):
            writer = self._writer(orders[0].account)
            if writer is None:
                break
            books = self._ask(writer, orders)
            if books is not None:
                return Success(books)
            self._avoided[writer.state.sender.name] = time.monotonic() + _AVOID_SECONDS
        return self.local.draw_books(orders)

    def requested(self, request: DrawRequest, address: tuple[str, int]) -> None:
        """Write a peer's orders; after a failure the peer writes by itself."""
        if not request.orders:
            return
        self.link.send(DrawAccepted(request.question), address)
        books = self.local.draw_books(request.orders).value_or(None)
        self.link.send(DrawReply(request.question, books), address)

    def accepted(self, message: DrawAccepted) -> None:
        """Learn that a writer has orders of this instance."""
        question = self._open.get(message.question)
        if question is not None:
            question.accept()

    def replied(self, reply: DrawReply) -> None:
        """Take in a reply; one that comes too late is dropped, the books keep it."""
        question = self._open.get(reply.question)
        if question is not None:
            question.answer(reply.books)

    def _writer(self, account: str) -> PeerView | None:
        """Return the peer that writes an account, None if it is this instance."""
        now = time.monotonic()
        views = {
            view.state.sender.name: view
            for view in self.peers.live(now)
            if view.state.store_confirmed and view.state.ready
        }
        strong = {state.sender.name for state in prefer_strong(self._candidates(views))}
        for name in rendezvous(account, strong):
            if name == self.name:
                return None
            if self._avoided.get(name, 0.0) <= now:
                return views[name]
        return None

    def _candidates(self, views: dict[str, PeerView]) -> list[PeerState]:
        """Return those that reach the store, this instance only if no peer does."""
        own = self.own_state()
        reaching = [view.state for view in views.values()]
        return [*reaching, own] if own.store_confirmed or not reaching else reaching

    def _ask(self, writer: PeerView, orders: list[DrawOrder]) -> dict[str, DrawResult] | None:
        number = next(self._numbers)
        question = self._open[number] = _Question()
        try:
            self.link.send(DrawRequest(number, orders), writer.state.sender.address)
            with Timeout(self.patience, False):
                question.accepted.wait()
            if not question.accepted.ready():
                return None
            with Timeout(_WRITING_SECONDS, False):
                return question.reply.wait()
            return None
        finally:
            del self._open[number]
