"""Stored budget accounts: how many tokens of each budget every holder has.

One account object stores many budgets. Every amount in a holder's row is cumulative and never
decreases, so applying the same report twice, late or out of order changes nothing. Overspending
is prevented by one rule: tokens leave `free` in a conditional write *before* their holder may
spend them, and they return only through the holder's own report, through the release of an
earlier run, or through an operator's release.
"""

import msgspec

from whinrack.budgets._schedule import ReleaseSchedule

__all__ = ["AccountRow", "BudgetAccount", "BudgetEntry", "DrawOrder", "DrawResult"]


class AccountRow(msgspec.Struct, kw_only=True, array_like=True):
    """Account of one holder (an incarnation of an instance) for one budget, in cumulative tokens.

    Attributes
    ----------
    drawn : int
        Drawn from the free tokens of the budget.
    received : dict of str to int
        Received from peers, by giver.
    moved_out : int
        Given to peers, as reported by the receivers.
    returned : int
        Returned to the free tokens.
    billed : int
        Spent on requests whose bills are in the usage journal.
    unproven : int
        Withdrawn from use although no bill covers them, such as the unreported rest of the cover
        of an interrupted answer.
    sequence : int
        Sequence number of the last order that was applied.
    closed : bool
        Whether further orders of this holder are rejected.
    released : bool
        Whether the row was closed by an operator or by the next run of the same instance. The row
        is kept, since peers may still report transfers from it.
    schedule : ReleaseSchedule or None
        Limits how much of the grant its holder may have used at any time.
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
        """Tokens that are not free because of this row."""
        return self.drawn + sum(self.received.values()) - self.moved_out - self.returned

    @property
    def outstanding(self) -> int:
        """Tokens that the holder can still spend according to its reports."""
        return self.taken - self.billed - self.unproven


class BudgetEntry(msgspec.Struct, kw_only=True):
    """Account of one budget.

    Attributes
    ----------
    topups : dict of str to int
        Tokens paid in, by payment id.
    declared, declared_version : int
        Limit that the configuration declares instead of payments, and the version of the
        configuration that declared it; version 0 if there is no declared limit.
    settled_billed, settled_unproven : int
        Totals of the closed rows that were removed.
    rows : dict of str to AccountRow
        By incarnation of the holder.
    unaccounted : int
        Tokens granted in writes that the store lost and that no holder has reported again.
    known_taken, known_edition : int
        `taken` in the latest known account of an earlier era, and the edition of that account.
        Collected while the account is held.
    unstated : set of str
        Holders whose rows come from a restored copy of the store and that have sent no order
        since. They may have drawn and used more than their row says.
    stated : set of str
        Holders that have sent an order while the account is held.
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
        """Total number of tokens that may be spent."""
        if self.declared_version:
            return self.declared
        return sum(self.topups.values())

    @property
    def billed(self) -> int:
        """Tokens spent on requests whose bills are in the usage journal."""
        return self.settled_billed + sum(row.billed for row in self.rows.values())

    @property
    def unproven(self) -> int:
        """Tokens that are neither billed nor spendable."""
        return self.settled_unproven + sum(row.unproven for row in self.rows.values())

    @property
    def outstanding(self) -> int:
        """Tokens that holders can still spend."""
        return sum(row.outstanding for row in self.rows.values())

    @property
    def taken(self) -> int:
        """Tokens that are not free."""
        of_rows = sum(row.taken for row in self.rows.values())
        return self.settled_billed + self.settled_unproven + self.unaccounted + of_rows

    @property
    def free(self) -> int:
        """Tokens that no holder has."""
        return self.limit - self.taken


class BudgetAccount(msgspec.Struct, kw_only=True):
    """Stored account object: many budgets by name.

    Attributes
    ----------
    era : int or None
        Era of the store in which the account was last written.
    edition : int
        Number of writes so far.
    is_held : bool
        Whether draws are suspended: the store was restored from a copy, and holders are reporting
        again what they hold.
    """

    budgets: dict[str, BudgetEntry] = {}
    era: int | None = None
    edition: int = 0
    is_held: bool = False


class DrawOrder(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """A holder's report of its totals and its request for more tokens.

    Attributes
    ----------
    sequence : int
        Increases by one with each order of the holder for this budget.
    need : int
        Tokens missing for a waiting request.
    want : int
        Tokens that the holder asks for beyond `need`.
    received : dict of str to int
        Cumulative tokens received from peers, by giver.
    opening : bool
        Whether no order of the holder is known to be applied, so that its row may be created.
    final : bool
        Whether the holder stops and its row is to be closed.
    given : int or None
        In a final order, the total given to peers. Everything that the holder neither used nor
        gave away becomes free, including grants that it never learned of.
    limit, limit_version : int
        Declared limit of the budget and the version of the configuration that declared it;
        version 0 if the limit is made up of payments.
    schedule : ReleaseSchedule or None
        Schedule that the holder observes from now on.
    drawn : int
        Total that the holder knows to have drawn.
    era : int or None
        Era of the store in which an order of the holder for this budget was last applied.
    taken, edition : int
        `taken` of the budget in the latest account of that era that the holder knows, and the
        edition of that account.
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
    """State of a budget after a write, as seen by one holder.

    Attributes
    ----------
    free : int
        Tokens that no holder has.
    outstanding : int
        Tokens that all holders can still spend, including this one.
    billed : int
        Tokens billed for all holders.
    limit_version : int
        Version of the configuration whose limit the account has.
    holders : int
        Number of holders whose rows are open.
    era : int or None
    edition : int
        Of the account, as in `BudgetAccount`.
    taken : int
        Tokens that are not free.
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
        """Tokens that are not spent according to the reports of all holders."""
        return self.free + self.outstanding
