"""What this incarnation holds of one budget, and what it may spend of it."""

from returns.result import Failure, Result, Success

from whinrack.budgets._account import DrawOrder, DrawResult
from whinrack.exceptions import BudgetContended, Refusal

__all__ = ["BudgetLedger", "Cover"]


class Cover:
    """Tokens set aside for one request until it is settled.

    Parameters
    ----------
    ledger : BudgetLedger
        Where the tokens come from.
    tokens : int
        An upper bound on what the request can use.
    """

    def __init__(self, ledger: "BudgetLedger", tokens: int):
        self.ledger = ledger
        self.tokens = tokens
        self.is_settled = False

    def settle(self, billed: int, unproven: int = 0) -> bool:
        """Give back what wasn't used; only the first call counts.

        Parameters
        ----------
        billed : int
            Tokens on the request's bill.
        unproven : int
            Tokens that may have been used though no bill can say so.

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
    """Spendable tokens of one budget at one incarnation. Decisions only, no I/O.

    Parameters
    ----------
    account, budget, holder : str
        Where the tokens are kept in the platform, and who holds them.
    """

    def __init__(self, account: str, budget: str, holder: str):
        self.account = account
        self.budget = budget
        self.holder = holder
        # Cumulative tokens, as in AccountRow.
        self.drawn = 0
        self.received: dict[str, int] = {}
        self.given: dict[str, int] = {}
        self.returned = 0
        self.billed = 0
        self.unproven = 0
        # Learnt at run time.
        self.open_cover = 0
        self.sequence = 0
        self.is_closed = False
        self._is_open_cover_written_off = False
        self._reported_totals: tuple | None = None
        # Of the books that an order was applied to last, and what was taken by them.
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
        """Set tokens aside for a request, all of them or none."""
        if tokens > self.spendable:
            return Failure(
                BudgetContended(f"{tokens} tokens are to be covered, {self.spendable} are here")
            )
        self.open_cover += tokens
        return Success(Cover(self, tokens))

    def close(self, cover: int, billed: int, unproven: int) -> None:
        """End a cover; what is neither billed nor unproven can be spent again."""
        if self._is_open_cover_written_off:
            return
        self.open_cover -= cover
        self.billed += billed
        self.unproven += unproven

    def write_off_open(self) -> None:
        """Count all open covers in full: their requests end with this run."""
        self.unproven += self.open_cover
        self.open_cover = 0
        self._is_open_cover_written_off = True

    @property
    def used(self) -> int:
        """Tokens that are gone from here or promised, less those that peers gave."""
        gone = self.billed + self.unproven + self.open_cover + sum(self.given.values())
        return gone - sum(self.received.values())

    @property
    def unreported_use(self) -> int:
        """Tokens that the books count as held here, but that requests use up."""
        billed, unproven, *_ = self._reported_totals or (0, 0)
        return self.open_cover + self.billed - billed + self.unproven - unproven

    def next_order(
        self, need: int = 0, want: int = 0, final: bool = False, **statements
    ) -> DrawOrder:
        """Make the next report and wish; each has a sequence of its own.

        Parameters
        ----------
        **statements
            `limit`, `limit_version` and `schedule` of the order.
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
        """Take in the books' state; an older state than the known one changes nothing."""
        self.drawn = max(self.drawn, result.drawn)
        if result.sequence >= order.sequence:
            self._reported_totals = _order_totals(order)
            self.era = result.era
            self.update_taken(result)
        if result.closed:
            self.is_closed = True

    def update_taken(self, result: DrawResult) -> None:
        """Remember what is taken by books of the era in which this holder's row was stated."""
        if result.era == self.era:
            self.edition, self.taken = result.edition, result.taken

    @property
    def has_unreported_totals(self) -> bool:
        """Whether the books don't know the latest numbers yet."""
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
        """Hand spendable tokens to a peer and return the cumulative total.

        What the peer needs is given if it is here, and of its wish as much as leaves
        half of the tokens here. A total above `already_received` means that the last
        reply was lost: it is repeated, and no more is given. `usable` lowers what may
        be handed on.
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
        """Take in a peer's cumulative total."""
        if total > self.received.get(giver, 0):
            self.received[giver] = total

    def return_tokens(self, tokens: int) -> int:
        """Mark spendable tokens as returned; the next order reports them."""
        tokens = max(0, min(tokens, self.spendable))
        self.returned += tokens
        return tokens


def _order_totals(order: DrawOrder) -> tuple:
    return (order.billed, order.unproven, order.returned, dict(order.received))
