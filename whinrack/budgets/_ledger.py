"""Tokens of one budget that this incarnation holds, and what it may spend of them."""

from returns.result import Failure, Result, Success

from whinrack.budgets._account import DrawOrder, DrawResult
from whinrack.exceptions import BudgetContended, Refusal

__all__ = ["BudgetLedger", "Cover"]


class Cover:
    """Tokens reserved for one request until it is settled.

    Parameters
    ----------
    ledger : BudgetLedger
        Ledger that the tokens are taken from.
    tokens : int
        Upper bound on the tokens that the request can use.
    """

    def __init__(self, ledger: "BudgetLedger", tokens: int):
        self.ledger = ledger
        self.tokens = tokens
        self.is_settled = False

    def settle(self, billed: int, unproven: int = 0) -> bool:
        """Release the unused tokens; only the first call has an effect.

        Parameters
        ----------
        billed : int
            Tokens on the bill of the request.
        unproven : int
            Tokens that may have been used although no bill can show it.

        Returns
        -------
        bool
            False if the cover was settled before.
        """
        if self.is_settled:
            return False
        self.is_settled = True
        self.ledger.close(self.tokens, billed, unproven)
        return True


class BudgetLedger:
    """Accounting of one budget at one incarnation, without any I/O.

    Parameters
    ----------
    account, budget, holder : str
        Account object and budget that the tokens belong to, and the incarnation that holds them.
    """

    def __init__(self, account: str, budget: str, holder: str):
        self.account = account
        self.budget = budget
        self.holder = holder
        # Cumulative tokens, as in `AccountRow`.
        self.drawn = 0
        self.received: dict[str, int] = {}
        self.given: dict[str, int] = {}
        self.returned = 0
        self.billed = 0
        self.unproven = 0
        # State of this run.
        self.open_cover = 0
        self.sequence = 0
        self.is_closed = False
        self._is_open_cover_written_off = False
        self._reported_totals: tuple | None = None
        # Account that an order was last applied to, and the tokens that were not free in it.
        self.era: int | None = None
        self.edition = 0
        self.taken = 0

    @property
    def spendable(self) -> int:
        """Tokens that a new request may be covered with."""
        if self.is_closed:
            return 0
        inflow = self.drawn + sum(self.received.values())
        outflow = sum(self.given.values()) + self.returned + self.billed + self.unproven
        return inflow - outflow - self.open_cover

    def open(self, tokens: int) -> Result[Cover, Refusal]:
        """Reserve tokens for a request, all of them or none."""
        if tokens > self.spendable:
            return Failure(
                BudgetContended(
                    f"the request needs cover for {tokens} tokens, {self.spendable} are held here"
                )
            )
        self.open_cover += tokens
        return Success(Cover(self, tokens))

    def close(self, cover: int, billed: int, unproven: int) -> None:
        """Close a cover; tokens that are neither billed nor unproven become spendable again."""
        if self._is_open_cover_written_off:
            return
        self.open_cover -= cover
        self.billed += billed
        self.unproven += unproven

    def write_off_open(self) -> None:
        """Count all open covers in full, because their requests end with this run."""
        self.unproven += self.open_cover
        self.open_cover = 0
        self._is_open_cover_written_off = True

    @property
    def used(self) -> int:
        """Tokens that are spent, reserved or given away, minus those received from peers."""
        gone = self.billed + self.unproven + self.open_cover + sum(self.given.values())
        return gone - sum(self.received.values())

    @property
    def unreported_use(self) -> int:
        """Tokens that are reserved or used but that the account still counts as held here."""
        billed, unproven, *_ = self._reported_totals or (0, 0)
        return self.open_cover + self.billed - billed + self.unproven - unproven

    def next_order(
        self, need: int = 0, want: int = 0, final: bool = False, **statements
    ) -> DrawOrder:
        """Make the next order, with the current totals and a sequence number of its own.

        Parameters
        ----------
        **statements
            `limit`, `limit_version`, `schedule` and `given` of the order.
        """
        self.sequence += 1
        return DrawOrder(
            **statements,
            account=self.account,
            budget=self.budget,
            holder=self.holder,
            sequence=self.sequence,
            need=need,
            want=want,
            billed=self.billed,
            unproven=self.unproven,
            returned=self.returned,
            received=dict(self.received),
            opening=self._reported_totals is None,
            final=final,
            drawn=self.drawn,
            era=self.era,
            taken=self.taken,
            edition=self.edition,
        )

    def apply_result(self, order: DrawOrder, result: DrawResult) -> None:
        """Apply the state of the account after an order; an outdated state changes nothing."""
        self.drawn = max(self.drawn, result.drawn)
        if result.sequence >= order.sequence:
            self._reported_totals = _order_totals(order)
            self.era = result.era
            self.update_taken(result)
        if result.closed:
            self.is_closed = True

    def update_taken(self, result: DrawResult) -> None:
        """Record `taken` if the account is of the era in which this holder last reported."""
        if result.era == self.era:
            self.edition, self.taken = result.edition, result.taken

    @property
    def has_unreported_totals(self) -> bool:
        """Whether the account lacks the latest totals."""
        now = (self.billed, self.unproven, self.returned, dict(self.received))
        return now != (self._reported_totals or (0, 0, 0, {}))

    def give(
        self,
        receiver: str,
        already_received: int,
        need: int,
        wish: int = 0,
        usable: int | None = None,
    ) -> int:
        """Give spendable tokens to a peer.

        The need is met if enough tokens are here. Of the wish, as much is given as leaves half
        of the tokens here. If the total given so far exceeds `already_received`, the last reply
        was lost: the total is repeated and nothing more is given.

        Parameters
        ----------
        usable : int or None
            Upper bound on the tokens that may be given, None for no bound but `spendable`.

        Returns
        -------
        int
            Cumulative tokens given to the peer.
        """
        here = self.spendable if usable is None else min(usable, self.spendable)
        total = self.given.get(receiver, 0)
        if total <= already_received:
            half = min(need + wish, here // 2)
            total += max(0, min(max(need, half), here))
        if total:
            self.given[receiver] = total
        return total

    def receive(self, giver: str, total: int) -> None:
        """Record the cumulative tokens received from a peer."""
        if total > self.received.get(giver, 0):
            self.received[giver] = total

    def return_tokens(self, tokens: int) -> int:
        """Mark spendable tokens as returned, to be reported with the next order.

        Returns
        -------
        int
            Tokens marked: at most `tokens` and at most what is spendable.
        """
        tokens = max(0, min(tokens, self.spendable))
        self.returned += tokens
        return tokens


def _order_totals(order: DrawOrder) -> tuple:
    return (order.billed, order.unproven, order.returned, dict(order.received))
