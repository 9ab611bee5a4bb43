"""Covers for requests from a grant, refilled from the account and from peers."""

from collections.abc import Callable

from returns.result import Failure, Result, Success

from whinrack.budgets._budget_manager import SpareTokenSource
from whinrack.budgets._grant import Grant, GrantOptions
from whinrack.budgets._ledger import Cover
from whinrack.budgets._orders import GrantOrders
from whinrack.budgets._peer_tokens import PeerTokenClient
from whinrack.budgets._reserve_policy import ReservePolicy
from whinrack.exceptions import BudgetContended, BudgetExhausted, BudgetReserved, Refusal

__all__ = ["CoverAllocator"]

# No draw is tried for this long after the account had no free tokens.
_NO_FREE_SECONDS = 1.3


class CoverAllocator:
    """Reserves tokens of grants for requests and makes tokens usable for peers.

    Parameters
    ----------
    orders : GrantOrders
    spares : SpareTokenSource
        Asked when the account has no free tokens or the store is unreachable.
    options : GrantOptions
    clock : callable
        Reads the monotonic clock, in seconds.
    """

    def __init__(
        self,
        orders: GrantOrders,
        spares: SpareTokenSource,
        options: GrantOptions,
        clock: Callable[[], float],
    ):
        self.orders = orders
        self.spares = spares
        self.options = options
        self.clock = clock
        self.peers = PeerTokenClient(spares, options, clock)
        self.reserves = ReservePolicy(orders, spares, options, clock)

    def cover(self, grant: Grant, tokens: int, urgency: int) -> Result[Cover, Refusal]:
        """Reserve tokens for one request: held here, from the account, or from peers.

        A request that would use what is kept for more urgent ones is refused without waiting.
        """
        grant.largest_request = max(grant.largest_request, tokens)
        self.reserves.record_asked(grant, tokens, urgency)
        if self.reserves.refuses(grant, tokens, urgency):
            return self._reserved(grant, tokens, urgency)
        cover = self._open_cover(grant, tokens, urgency)
        if isinstance(cover, Failure):
            cover = self._wait_and_refill(grant, tokens, urgency)
        if isinstance(cover, Success):
            # Refused requests are retried, so counting them would count their demand repeatedly.
            grant.demand.record(tokens, self.clock())
            self.reserves.record_covered(grant, tokens, urgency)
        return cover

    def ensure_usable(self, grant: Grant, tokens: int, draw: bool) -> None:
        """Make tokens usable for a peer by an order, together with those of waiting requests."""
        if not self.orders.is_store_reachable or not self._needs_draw(grant, tokens, draw):
            return
        if self._has_no_free_tokens(grant) and grant.ledger.spendable < tokens:
            return
        with grant.locked(tokens):
            if self._needs_draw(grant, tokens, draw):
                self._draw(grant, tokens)

    def _reserved(self, grant: Grant, tokens: int, urgency: int) -> Result[Cover, Refusal]:
        """Return the refusal of a request for the reserve, or for exhaustion if that holds, too."""
        if self._is_exhausted(grant, tokens):
            return Failure(BudgetExhausted(_left_text(grant, tokens)))
        reserve = self.reserves.reserve(grant, urgency)
        return Failure(
            BudgetReserved(
                f"the budget is short and keeps {reserve} tokens for more urgent requests",
                retry_after=self.options.reserve_retry_after,
            )
        )

    def _open_cover(self, grant: Grant, tokens: int, urgency: int) -> Result[Cover, Refusal]:
        usable = grant.usable(self.clock()) - self._kept_for_waiting(grant, urgency)
        if tokens > usable:
            return Failure(
                BudgetContended(
                    f"the request needs cover for {tokens} tokens, {usable} are usable here",
                    retry_after=self._retry_after(),
                )
            )
        return grant.ledger.open(tokens)

    def _kept_for_waiting(self, grant: Grant, urgency: int) -> int:
        """Return the tokens to leave for more urgent requests that wait for their turn."""
        return grant.more_urgent_waiting_tokens(urgency) if self.reserves.is_active else 0

    def _retry_after(self) -> float:
        """Return the seconds after which to retry, longer while the store is unreachable."""
        options = self.options
        return (
            options.retry_after
            if self.orders.is_store_reachable
            else options.unreachable_retry_after
        )

    def _wait_and_refill(self, grant: Grant, tokens: int, urgency: int) -> Result[Cover, Refusal]:
        """Wait for earlier requests, whose refill may suffice for this one, then refill.

        A refill for as many tokens or fewer that started after this request arrived and failed
        was made on its behalf, too. Without this rule, 70 requests per second for one short
        budget queued for up to 5 seconds before they were refused one by one.
        """
        arrived = self.clock()
        with grant.locked(tokens, urgency):
            if self.reserves.refuses(grant, tokens, urgency):
                return self._reserved(grant, tokens, urgency)
            cover = self._open_cover(grant, tokens, urgency)
            if isinstance(cover, Success):
                return cover
            if grant.has_failed_round_since(arrived, tokens):
                return self._refusal(grant, tokens, cover)
            needed = tokens + self._kept_for_waiting(grant, urgency)
            started_at = self.clock()
            cover = self._refill(grant, tokens, urgency)
            if isinstance(cover, Failure):
                grant.record_failed_round(needed, started_at)
            return cover

    def _refill(self, grant: Grant, tokens: int, urgency: int) -> Result[Cover, Refusal]:
        cover = self._open_cover(grant, tokens, urgency)
        needed = tokens + self._kept_for_waiting(grant, urgency)
        steps = self._refill_steps(grant, needed)
        if steps:
            grant.unreported_use_by_peer.clear()
        for obtain in steps:
            obtain(grant, needed)
            cover = self._open_cover(grant, tokens, urgency)
            if isinstance(cover, Success):
                return cover
        return self._refusal(grant, tokens, cover)

    def _refusal(
        self, grant: Grant, tokens: int, contended: Result[Cover, Refusal]
    ) -> Result[Cover, Refusal]:
        """Return the failure that tells whether the budget is exhausted or contended."""
        if self._is_exhausted(grant, tokens):
            return Failure(BudgetExhausted(_left_text(grant, tokens)))
        return contended

    def _refill_steps(self, grant: Grant, tokens: int) -> tuple[Callable[[Grant, int], None], ...]:
        """Return the functions that obtain more tokens, in the order in which to call them."""
        if grant.has_recent_shortage(tokens, self.clock(), self.options.shortage_seconds):
            return ()
        supplied = not self.spares.is_supplier(grant.ledger.budget)
        peers = self.peers
        first = (peers.request_from_supplier,) if supplied else ()
        if not self.orders.is_store_reachable:
            return *first, peers.request_from_peers, peers.request_peer_draw
        if self._has_no_free_tokens(grant) and grant.ledger.spendable < tokens:
            return *first, peers.request_from_peers
        return *first, self._draw, peers.request_from_peers

    def _has_no_free_tokens(self, grant: Grant) -> bool:
        """Return whether the account recently had no free tokens."""
        fresh = self.clock() - grant.last_result_at < _NO_FREE_SECONDS
        return fresh and grant.last_result is not None and grant.last_result.free <= 0

    def _is_exhausted(self, grant: Grant, tokens: int) -> bool:
        """Return whether the budget can't cover a request besides those that run now.

        The unspent tokens in the last known state are an upper bound until the limit is raised,
        however old that state is.
        """
        return self.orders.is_limit_stored(grant) and tokens > grant.unspent_bound()

    def _needs_draw(self, grant: Grant, tokens: int, draw: bool) -> bool:
        """Return whether an order is needed before tokens can be given to a peer."""
        if grant.usable(self.clock()) >= tokens:
            return False
        return draw or grant.ledger.spendable >= tokens

    def _draw(self, grant: Grant, tokens: int) -> None:
        if grant.ledger.is_closed:
            return
        # A request doesn't wait long for an order while the store is silent, since peers may have
        # the tokens. The result of the order is applied whenever it arrives.
        order = self.orders.make_order(grant, need=tokens)
        self.orders.send([order], self.options.draw_timeout)


def _left_text(grant: Grant, tokens: int) -> str:
    left = grant.unspent_bound()
    return f"the request needs cover for {tokens} tokens, the budget has {left} left"
