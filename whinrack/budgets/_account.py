"""Account objects: who holds how many tokens of which budget.

An account object holds many budgets. Every number of a holder's row is cumulative and
only grows, so that applying a report twice, late or out of order changes nothing. The
safety of the whole system rests on one rule here: tokens leave `free` by a conditional
write *before* their holder may spend them, and come back only by the holder's own
report or an operator's word.
"""

import msgspec

from whinrack.budgets._schedule import ReleaseSchedule

__all__ = ["AccountRow", "BudgetAccount", "BudgetEntry", "DrawOrder", "DrawResult"]


class AccountRow(msgspec.Struct, kw_only=True, array_like=True):
    """What one incarnation holds of one budget; all amounts cumulative tokens.

    Attributes
    ----------
    drawn : int
        Taken out of the budget's free tokens.
    received : dict of str to int
        Given by peers, by giver.
    moved_out : int
        Given to peers, as reported by the receivers.
    returned : int
        Put back into the free tokens.
    billed : int
        Spent on requests that are in the usage journal.
    unproven : int
        Taken out of use though no bill covers it, such as the unreported rest of a
        cut answer's cover.
    sequence : int
        The last draw order that was applied.
    closed : bool
        No order of this holder is applied any more.
    released : bool
        Closed by an operator's word, or by the next run of the same instance; kept,
        since peers may still report transfers.
    schedule : ReleaseSchedule or None
        How much of the grant its holder may have used by when.
    """

    drawn: int = 0
    received: dict[str, int] = {}
    moved_out: int = 0
    returned: int = 0
    billed: int = 0
    unproven: int = 0
    sequence: int = 0
    closed: bool = False
    released: bool = False
    schedule: ReleaseSchedule | None = None

    @property
    def taken(self) -> int:
        """Tokens that are out of the free ones because of this row."""
        return self.drawn + sum(self.received.values()) - self.moved_out - self.returned

    @property
    def outstanding(self) -> int:
        """Tokens that the holder can still spend, as far as it has reported."""
        return self.taken - self.billed - self.unproven


class BudgetEntry(msgspec.Struct, kw_only=True):
    """One budget's books.

    Attributes
    ----------
    topups : dict of str to int
        Payments by id.
    declared, declared_version : int
        A limit that the configuration states in place of payments, and the version of
        the configuration that stated it; version 0 if none does.
    settled_billed, settled_unproven : int
        Totals of rows that were folded away.
    rows : dict of str to AccountRow
        By holder incarnation.
    unaccounted : int
        Handed out in writes that the store lost, and stated again by no holder.
    known_taken, known_edition : int
        What was out of the free tokens by the latest books that anybody knows of an earlier
        era, and the edition of those; read while the books are held.
    unstated : set of str
        Holders whose rows come from a copy of the store and that have ordered nothing since:
        they may have drawn and used more.
    stated : set of str
        Holders that have ordered while the books are held.
    """

    topups: dict[str, int] = {}
    declared: int = 0
    declared_version: int = 0
    settled_billed: int = 0
    settled_unproven: int = 0
    rows: dict[str, AccountRow] = {}
    unaccounted: int = 0
    known_taken: int = 0
    known_edition: int = 0
    unstated: set[str] = set()
    stated: set[str] = set()

    @property
    def limit(self) -> int:
        """Tokens that may be spent in all."""
        if self.declared_version:
            return self.declared
        return sum(self.topups.values())

    @property
    def billed(self) -> int:
        """Tokens on requests that are in the usage journal."""
        return self.settled_billed + sum(row.billed for row in self.rows.values())

    @property
    def unproven(self) -> int:
        """Tokens neither billed nor spendable."""
        return self.settled_unproven + sum(row.unproven for row in self.rows.values())

    @property
    def outstanding(self) -> int:
        """Tokens that holders can still spend."""
        return sum(row.outstanding for row in self.rows.values())

    @property
    def taken(self) -> int:
        """Tokens that are out of the free ones."""
        of_rows = sum(row.taken for row in self.rows.values())
        return self.settled_billed + self.settled_unproven + self.unaccounted + of_rows

    @property
    def free(self) -> int:
        """Tokens that nobody holds."""
        return self.limit - self.taken


class BudgetAccount(msgspec.Struct, kw_only=True):
    """The object that is stored: many budgets by name.

    Attributes
    ----------
    era : int or None
        The store's era in which the books were written last.
    edition : int
        Writes of the books so far.
    is_held : bool
        Nothing is drawn: the store came back from a copy, and holders state again what they hold.
    """

    budgets: dict[str, BudgetEntry] = {}
    era: int | None = None
    edition: int = 0
    is_held: bool = False


class DrawOrder(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """A holder's report and its wish for more tokens.

    Attributes
    ----------
    sequence : int
        Grows by one with each order of the holder for this budget.
    need : int
        Tokens that are missing for a request that waits.
    want : int
        Tokens that the holder would like to have on top.
    received : dict of str to int
        Cumulative tokens by giver.
    opening : bool
        The holder knows of no applied order yet, so its row may be made.
    final : bool
        The holder stops: close its row.
    given : int or None
        With a final order, what the holder gave to peers in all. All that it neither
        used nor gave is free then, also what it was granted without its knowledge.
    limit, limit_version : int
        The budget's declared limit, and the version of the configuration that stated
        it; version 0 where payments make the limit.
    schedule : ReleaseSchedule or None
        The holder keeps to this from now on.
    drawn : int
        What the holder knows to have drawn in all.
    era : int or None
        The store's era in which an order of the holder for this budget was applied last.
    taken, edition : int
        Tokens that were out of the free ones by the latest books of that era that the holder
        knows, and the edition of those.
    """

    account: str
    budget: str
    holder: str
    sequence: int
    need: int = 0
    want: int = 0
    billed: int = 0
    unproven: int = 0
    returned: int = 0
    received: dict[str, int] = {}
    opening: bool = False
    final: bool = False
    given: int | None = None
    limit: int = 0
    limit_version: int = 0
    schedule: ReleaseSchedule | None = None
    drawn: int = 0
    era: int | None = None
    taken: int = 0
    edition: int = 0


class DrawResult(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """The books after a write, as far as they concern one holder.

    Attributes
    ----------
    free : int
        Tokens that nobody holds.
    outstanding : int
        Tokens that all holders together hold, this one included.
    billed : int
        Tokens on all holders' bills.
    limit_version : int
        Version of the configuration whose limit is in the books.
    holders : int
        Holders that are not closed.
    era : int or None
    edition : int
        Of the books, as in `BudgetAccount`.
    taken : int
        Tokens that are out of the free ones.
    """

    sequence: int = 0
    drawn: int = 0
    free: int = 0
    outstanding: int = 0
    closed: bool = False
    billed: int = 0
    limit_version: int = 0
    holders: int = 0
    era: int | None = None
    edition: int = 0
    taken: int = 0

    @property
    def unspent(self) -> int:
        """Tokens that are not spent, as far as the holders have reported."""
        return self.free + self.outstanding
