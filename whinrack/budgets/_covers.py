"""Covers requests from a grant, and fills the grant up from the books and the peers."""

from collections.abc import Callable

from returns.result import Failure, Result, Success

from whinrack.budgets._budget_manager import SpareTokenSource
from whinrack.budgets._grant import Grant, GrantOptions
from whinrack.budgets._ledger import Cover
from whinrack.budgets._orders import BookOrders
from whinrack.budgets._peer_tokens import PeerTokens
from whinrack.exceptions import BudgetContended, BudgetExhausted, Refusal

__all__ = ["GrantCovers"]

# For so long the books that had nothing free aren't asked again.
_NOTHING_FREE_SECONDS = 1.3


class GrantCovers:
    """Sets tokens of grants aside for requests and peers.

    Parameters
    ----------
    orders : BookOrders
    spares : SpareSource
        Asked when the books have nothing free or can't be reached.
    options : GrantOptions
    clock : callable
    """

    def __init__(
        self,
        orders: BookOrders,
        spares: SpareTokenSource,
        options: GrantOptions,
        clock: Callable[[], float],
    ):
        self.orders = orders
        self.spares = spares
        self.options = options
        self.clock = clock
        self.peers = PeerTokens(spares, options, clock)

    def cover(self, grant: Grant, tokens: int) -> Result[Cover, Refusal]:
        """Set tokens aside for one request: from here, from the books, from peers."""
        grant.largest = max(grant.largest, tokens)
        cover = self._open(grant, tokens)
        if isinstance(cover, Failure):
            cover = self._wait_and_refill(grant, tokens)
        if isinstance(cover, Success):
            # Refused requests come again, so they would count more than once.
            grant.demand.record(tokens, self.clock())
        return cover

    def make_usable(self, grant: Grant, tokens: int, draw: bool) -> None:
        """State in the books what a peer is to get, together with others that wait."""
        if not self.orders.books_answer or not self._short(grant, tokens, draw):
            return
        if self._nothing_free(grant) and grant.ledger.spendable < tokens:
            return
        with grant.turn(tokens):
            if self._short(grant, tokens, draw):
                self._draw(grant, tokens)

    def _open(self, grant: Grant, tokens: int) -> Result[Cover, Refusal]:
        usable = grant.usable(self.clock())
        if tokens > usable:
            return Failure(
                BudgetContended(
                    f"{tokens} tokens are to be covered, {usable} are usable here",
                    retry_after=self._retry_after(),
                )
            )
        return grant.ledger.open(tokens)

    def _retry_after(self) -> float:
        """Seconds after which tokens may be had: soon, or when the books may be back."""
        options = self.options
        return options.retry_after if self.orders.books_answer else options.away_retry_after

    def _wait_and_refill(self, grant: Grant, tokens: int) -> Result[Cover, Refusal]:
        """Wait for requests that came before; what they brought may suffice for this one.

        A round of questions for as much that began after this request came, and failed, was
        made for it too. Without that, 70 requests a second for one short budget queued for up
        to 5 seconds before they were refused one by one.
        """
        arrived = self.clock()
        with grant.turn(tokens):
            cover = self._open(grant, tokens)
            if isinstance(cover, Success):
                return cover
            if grant.round_failed_since(arrived, tokens):
                return self._refused(grant, tokens, cover)
            began = self.clock()
            cover = self._refill(grant, tokens)
            if isinstance(cover, Failure):
                grant.note_failed_round(tokens, began)
            return cover

    def _refill(self, grant: Grant, tokens: int) -> Result[Cover, Refusal]:
        cover = self._open(grant, tokens)
        ways = self._ways(grant, tokens)
        if ways:
            grant.covering_elsewhere.clear()
        for ask in ways:
            ask(grant, tokens)
            cover = self._open(grant, tokens)
            if isinstance(cover, Success):
                return cover
        return self._refused(grant, tokens, cover)

    def _refused(
        self, grant: Grant, tokens: int, contended: Result[Cover, Refusal]
    ) -> Result[Cover, Refusal]:
        """Tell whether the budget is exhausted, or its tokens are held elsewhere."""
        if self._is_exhausted(grant, tokens):
            return Failure(BudgetExhausted(_left_text(grant, tokens)))
        return contended

    def _ways(self, grant: Grant, tokens: int) -> tuple[Callable[[Grant, int], None], ...]:
        """Return what to try for more tokens, in order."""
        if grant.is_scarce(tokens, self.clock(), self.options.scarce_seconds):
            return ()
        supplied = not self.spares.is_supplier(grant.ledger.budget)
        peers = self.peers
        first = (peers.ask_supplier,) if supplied else ()
        if not self.orders.books_answer:
            return *first, peers.gather, peers.borrow
        if self._nothing_free(grant) and grant.ledger.spendable < tokens:
            return *first, peers.gather
        return *first, self._draw, peers.gather

    def _nothing_free(self, grant: Grant) -> bool:
        """Whether the books said a moment ago that nothing is free."""
        fresh = self.clock() - grant.learnt_at < _NOTHING_FREE_SECONDS
        return fresh and grant.last is not None and grant.last.free <= 0

    def _is_exhausted(self, grant: Grant, tokens: int) -> bool:
        """Whether the budget can't cover a request beside those that run now.

        What was left when the books answered last is an upper bound until the limit is
        raised, however long ago that was.
        """
        return self.orders.books_know_limit(grant) and tokens > grant.unspent_at_most()

    def _short(self, grant: Grant, tokens: int, draw: bool) -> bool:
        """Whether a peer can't get tokens before the books know of it."""
        if grant.usable(self.clock()) >= tokens:
            return False
        return draw or grant.ledger.spendable >= tokens

    def _draw(self, grant: Grant, tokens: int) -> None:
        if grant.ledger.is_closed:
            return
        # A request doesn't wait for an order that a silent store holds up; peers may
        # have what it needs. The order's outcome is learnt whenever it comes.
        order = self.orders.order(grant, need=tokens)
        self.orders.send([order], self.options.draw_patience)


def _left_text(grant: Grant, tokens: int) -> str:
    left = grant.unspent_at_most()
    return f"the request needs cover for {tokens} tokens, the budget has {left} left"
