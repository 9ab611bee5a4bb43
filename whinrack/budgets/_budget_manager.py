"""Covers for requests: from tokens held here, then from the account, then from peers."""

import time
from collections.abc import Callable, Iterable
from contextlib import AbstractContextManager, nullcontext
from typing import NamedTuple

from returns.result import Failure, Result, Success

from whinrack.budgets._account import DrawOrder, DrawResult
from whinrack.budgets._demand import DemandEstimate
from whinrack.budgets._ledger import BudgetLedger, Cover
from whinrack.clock import steady
from whinrack.exceptions import BudgetContended, BudgetExhausted, Refusal, WhinrackError
from whinrack.objects import Weighting

__all__ = ["BudgetManager", "SpareTokenSource", "TokenSource", "TransferTotal"]

_MIN_NO_FREE_BACKOFF = 0.5
_MAX_NO_FREE_BACKOFF = 5.0
_NO_SPARE_SECONDS = 0.2
_DRAW_AHEAD_INTERVAL = 10.0
_GATHER_WAIT = 1.0
_GATHER_PAUSE = 0.1
_SURPLUS_FACTOR = 2
_CONTENDED_RETRY_AFTER = 1.0


class TokenSource:
    """Executor of orders: the platform, or a peer that draws for its region."""

    def draw(self, order: DrawOrder) -> Result[DrawResult, WhinrackError]:
        """Apply an order and return the state of the budget."""
        raise NotImplementedError


class TransferTotal(NamedTuple):
    """Cumulative total of tokens that a peer gave to this incarnation.

    Attributes
    ----------
    unreported_use : int
        Tokens that the account counts as holding by the peer but that are reserved or used there.
    """

    giver: str
    total: int
    unreported_use: int = 0


class SpareTokenSource:
    """Peers that may hold unspent tokens."""

    def request_from_peers(
        self, budget: str, need: int, wish: int, received: dict[str, int]
    ) -> Iterable[TransferTotal]:
        """Ask peers for tokens and yield the total that each has given so far."""
        raise NotImplementedError

    def peer_count(self) -> int:
        """Return the number of peers that `request_from_peers` asks now."""
        raise NotImplementedError

    def request_peer_draw(
        self, budget: str, need: int, wish: int, received: dict[str, int]
    ) -> Iterable[TransferTotal]:
        """Ask a peer that can reach the account to draw for this run."""
        raise NotImplementedError

    def is_supplier(self, budget: str) -> bool:
        """Return whether this run draws the budget ahead; by default only for itself."""
        return True

    def supplier(self, budget: str) -> str:
        """Return the instance that draws the budget ahead, "" for this one; used in logs."""
        return ""

    def request_from_supplier(
        self, budget: str, need: int, wish: int, received: dict[str, int]
    ) -> Iterable[TransferTotal]:
        """Ask the peer that draws the budget ahead for all instances."""
        return ()


class _Holding:
    """State of one budget in the manager."""

    def __init__(self, ledger: BudgetLedger, lock: AbstractContextManager):
        self.ledger = ledger
        self.lock = lock
        self.demand = DemandEstimate()
        # No draw is tried until then, since the account had nothing free.
        self.no_free_until = 0.0
        self.no_free_backoff = _MIN_NO_FREE_BACKOFF
        # The peers aren't asked until then, since they had nothing either.
        self.no_spare_until = 0.0
        self.last_report_at = 0.0
        self.last_draw_ahead_at = float("-inf")
        self.last_result: DrawResult | None = None


class BudgetManager:
    """Manages the tokens of paid budgets that this incarnation holds.

    Parameters
    ----------
    holder : str
        This incarnation.
    source : TokenSource
        Applies draw orders.
    spares : SpareTokenSource
        Asked when the account has no free tokens.
    report_after : float
        Seconds for which settled amounts may stay unreported. They are not lost meanwhile: the
        account counts them as outstanding, and the bills are in the journal.
    horizon : float
        Seconds of demand that a draw should cover, which is how long the platform may be
        unreachable without requests being refused.
    gather_wait : float
        Seconds that a request of a workspace with the weighting `FALSE_REFUSALS` waits, when a
        budget is nearly used up, for tokens that other requests release.
    clock, sleep, make_lock : callable, optional
        Replaced in tests.
    """

    def __init__(
        self,
        holder: str,
        source: TokenSource,
        spares: SpareTokenSource,
        report_after: float = 10.0,
        horizon: float = 600.0,
        gather_wait: float = _GATHER_WAIT,
        clock: Callable[[], float] = steady,
        sleep: Callable[[float], None] = time.sleep,
        make_lock: Callable[[], AbstractContextManager] = nullcontext,
    ):
        self.holder = holder
        self.source = source
        self.spares = spares
        self.report_after = report_after
        self.horizon = horizon
        self.gather_wait = gather_wait
        self.clock = clock
        self.sleep = sleep
        self.make_lock = make_lock
        self.is_stopping = False
        self._holdings: dict[str, _Holding] = {}
        # Budgets that have something to report, to draw ahead or to return.
        self._active: dict[str, _Holding] = {}

    def cover(
        self, account: str, budget: str, tokens: int, weighting: Weighting
    ) -> Result[Cover, Refusal]:
        """Reserve tokens for one request, drawing more if needed."""
        holding = self._holding(account, budget)
        holding.demand.record(tokens, self.clock())
        cover = holding.ledger.open(tokens)
        if isinstance(cover, Success):
            return cover
        patience = self.gather_wait if weighting is Weighting.FALSE_REFUSALS else 0.0
        end = self.clock() + patience
        while True:
            with holding.lock:
                cover = self._refill(holding, tokens)
            if isinstance(cover, Success) or self.clock() >= end:
                return cover
            if isinstance(cover.failure(), BudgetExhausted):
                return cover
            self.sleep(_GATHER_PAUSE)

    def give(
        self, budget: str, receiver: str, already_received: int, need: int, wish: int = 0
    ) -> int:
        """Give tokens to a peer that ran out; return the cumulative total.

        The amounts settled here are reported soon, so that the peer learns what is left.
        """
        holding = self._holdings.get(budget)
        if holding is None:
            return 0
        holding.last_report_at = float("-inf")
        self._active[budget] = holding
        return holding.ledger.give(receiver, already_received, need, wish)

    def report(self, include_idle: bool = False) -> int:
        """Report settled amounts, draw ahead and return surplus tokens.

        Parameters
        ----------
        include_idle : bool
            Also report budgets that have nothing new to report.


        Returns
        -------
        int
            Number of orders that failed; they are sent again with the next report.
        """
        if include_idle:
            self._active.update(self._holdings)
        return sum(
            self._report_one(holding, include_idle) for holding in list(self._active.values())
        )

    def drain(self) -> bool:
        """Return all tokens for a planned stop; return True once the accounts have them."""
        self.is_stopping = True
        drained = [self._drain_one(holding) for holding in list(self._holdings.values())]
        return all(drained)

    def ledgers(self) -> list[BudgetLedger]:
        """Return the ledgers, for status and metrics."""
        return [holding.ledger for holding in self._holdings.values()]

    def _holding(self, account: str, budget: str) -> _Holding:
        holding = self._holdings.get(budget)
        if holding is None:
            ledger = BudgetLedger(account, budget, self.holder)
            holding = self._holdings[budget] = _Holding(ledger, self.make_lock())
        self._active[budget] = holding
        return holding

    def _refill(self, holding: _Holding, tokens: int) -> Result[Cover, Refusal]:
        ledger = holding.ledger
        cover = ledger.open(tokens)
        if isinstance(cover, Success):
            return cover
        for obtain in (self._draw, self._request_from_peers):
            obtain(holding, tokens - ledger.spendable)
            cover = ledger.open(tokens)
            if isinstance(cover, Success):
                return cover
        return Failure(_refusal(holding, tokens))

    def _draw(self, holding: _Holding, need: int) -> None:
        now = self.clock()
        if now < holding.no_free_until:
            return
        want = self._wanted_tokens(holding)
        self._send(holding, holding.ledger.next_order(need=need, want=want))

    def _send(self, holding: _Holding, order: DrawOrder) -> bool:
        holding.last_report_at = self.clock()
        result = self.source.draw(order)
        if isinstance(result, Failure):
            holding.last_result = None
            return False
        holding.last_result = result.unwrap()
        holding.ledger.apply_result(order, holding.last_result)
        self._update_no_free_backoff(holding)
        return True

    def _update_no_free_backoff(self, holding: _Holding) -> None:
        """Double the time until the next draw, up to a maximum, while nothing is free."""
        if holding.last_result.free > 0:
            holding.no_free_until = 0.0
            holding.no_free_backoff = _MIN_NO_FREE_BACKOFF
            return
        holding.no_free_until = self.clock() + holding.no_free_backoff
        holding.no_free_backoff = min(_MAX_NO_FREE_BACKOFF, 2 * holding.no_free_backoff)

    def _request_from_peers(self, holding: _Holding, need: int) -> None:
        ledger, now = holding.ledger, self.clock()
        if now < holding.no_spare_until:
            return
        before = ledger.spendable
        wish = self._wanted_tokens(holding)
        received = dict(ledger.received)
        for spare in self.spares.request_from_peers(ledger.budget, need, wish, received):
            ledger.receive(spare.giver, spare.total)
        if ledger.spendable < before + need:
            holding.no_spare_until = now + _NO_SPARE_SECONDS

    def _report_one(self, holding: _Holding, include_idle: bool) -> int:
        ledger = holding.ledger
        if ledger.is_closed or self._is_idle(holding):
            self._active.pop(ledger.budget, None)
            return 0
        now = self.clock()
        want = self._wanted_tokens(holding)
        surplus = ledger.spendable - _SURPLUS_FACTOR * want
        if surplus > want:
            ledger.return_tokens(surplus)
        short = 0 if self.is_stopping or now < holding.no_free_until else want - ledger.spendable
        wish = (
            short
            if short > want // 2 and now >= holding.last_draw_ahead_at + _DRAW_AHEAD_INTERVAL
            else 0
        )
        due = ledger.has_unreported_totals and now >= holding.last_report_at + self.report_after
        if not (wish or due or include_idle):
            return 0
        if wish:
            holding.last_draw_ahead_at = now
        with holding.lock:
            sent = self._send(holding, ledger.next_order(want=wish))
        return 0 if sent else 1

    def _wanted_tokens(self, holding: _Holding) -> int:
        return holding.demand.expected_tokens(self.clock(), self.horizon)

    def _is_idle(self, holding: _Holding) -> bool:
        """Return whether nothing is left to do for a budget until it is used again."""
        ledger = holding.ledger
        empty = ledger.spendable == 0 and ledger.open_cover == 0
        return empty and not ledger.has_unreported_totals and not self._wanted_tokens(holding)

    def _drain_one(self, holding: _Holding) -> bool:
        ledger = holding.ledger
        if ledger.sequence == 0 or ledger.is_closed:
            return True
        with holding.lock:
            ledger.return_tokens(ledger.spendable)
            return self._send(holding, ledger.next_order(final=ledger.open_cover == 0))


def _refusal(holding: _Holding, tokens: int) -> Refusal:
    last = holding.last_result
    if last is None:
        return BudgetContended(
            "the budget's books can't be reached and the tokens held here don't suffice",
            retry_after=_CONTENDED_RETRY_AFTER,
        )
    left = last.free + last.outstanding
    if tokens > left:
        return BudgetExhausted(
            f"the request needs cover for {tokens} tokens, the budget has {left} left"
        )
    return BudgetContended(
        f"the request needs cover for {tokens} tokens, which other requests hold now",
        retry_after=_CONTENDED_RETRY_AFTER,
    )
