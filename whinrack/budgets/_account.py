"""Account objects: who holds how many tokens of which budget.

An account object holds many budgets. Every number of a holder's row is cumulative and
only grows, so that applying a report twice, late or out of order changes nothing. The
safety of the whole system rests on one rule here: tokens leave `free` by a conditional
write *before* their holder may spend them, and come back only by the holder's own
report or an operator's word.
"""

import msgspec
import xxhash

from whinrack.base import instance_of
from whinrack.budgets._schedule import ReleaseSchedule, RestartMoment

__all__ = [
    "AccountRow",
    "BudgetAccount",
    "BudgetEntry",
    "DrawOrder",
    "DrawResult",
    "account_name",
    "apply_draws",
    "apply_topups",
    "books_for",
    "draw_result",
    "read_books",
    "release_earlier_runs",
    "release_holder",
]

_SHARE_OF_LEFT = 2


class AccountRow(msgspec.Struct, kw_only=True):
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


_NO_ROW = AccountRow()


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
    """

    topups: dict[str, int] = {}
    declared: int = 0
    declared_version: int = 0
    settled_billed: int = 0
    settled_unproven: int = 0
    rows: dict[str, AccountRow] = {}

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
    def free(self) -> int:
        """Tokens that nobody holds."""
        taken = sum(row.taken for row in self.rows.values())
        return self.limit - self.settled_billed - self.settled_unproven - taken


class BudgetAccount(msgspec.Struct, kw_only=True):
    """The object that is stored: many budgets by name."""

    budgets: dict[str, BudgetEntry] = {}


class DrawOrder(msgspec.Struct, frozen=True, kw_only=True):
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


class DrawResult(msgspec.Struct, frozen=True, kw_only=True):
    """The books after a write, as far as they concern one holder.

    Attributes
    ----------
    free : int
        Tokens that nobody holds.
    outstanding : int
        Tokens that all holders together hold, this one included.
    limit_version : int
        Version of the configuration whose limit is in the books.
    holders : int
        Holders that are not closed.
    """

    sequence: int = 0
    drawn: int = 0
    free: int = 0
    outstanding: int = 0
    closed: bool = False
    limit_version: int = 0
    holders: int = 0

    @property
    def left(self) -> int:
        """Tokens that are not spent, as far as the holders have reported."""
        return self.free + self.outstanding


def account_name(budget: str, accounts: int) -> str:
    """Return the account object that a new budget is assigned to."""
    return f"account-{xxhash.xxh64_intdigest(budget.encode()) % accounts:04d}"


def apply_topups(
    account: BudgetAccount | None, budget: str, topups: dict[str, int]
) -> BudgetAccount | None:
    """Pay in the top-ups whose ids are new; None where all are there already."""
    account = account or BudgetAccount()
    entry = account.budgets.setdefault(budget, BudgetEntry())
    missing = {key: tokens for key, tokens in topups.items() if key not in entry.topups}
    if not missing:
        return None
    entry.topups = {**entry.topups, **missing}
    return account


def apply_draws(account: BudgetAccount | None, orders: list[DrawOrder]) -> BudgetAccount | None:
    """Apply orders that were not applied before; None where nothing is left to do."""
    if account is None:
        if not any(order.limit_version for order in orders):
            return None
        account = BudgetAccount()
    applied = [order for order in orders if _apply_draw(account, order)]
    return account if applied else None


def read_books(account: BudgetAccount | None, budget: str, holder: str) -> DrawResult:
    """Read what the books say of a budget, and of what a holder has of it."""
    entry = account.budgets.get(budget) if account is not None else None
    if entry is None:
        return DrawResult()
    row = entry.rows.get(holder, _NO_ROW)
    return DrawResult(
        sequence=row.sequence,
        drawn=row.drawn,
        closed=row.closed,
        free=entry.free,
        outstanding=entry.outstanding,
        limit_version=entry.declared_version,
        holders=sum(not row.closed for row in entry.rows.values()),
    )


def draw_result(account: BudgetAccount | None, order: DrawOrder) -> DrawResult:
    """Read what the books say to the holder of an order."""
    result = read_books(account, order.budget, order.holder)
    if account is None or order.opening or order.budget not in account.budgets:
        return result
    if order.holder in account.budgets[order.budget].rows:
        return result
    return msgspec.structs.replace(result, closed=True)


def books_for(
    account: BudgetAccount | None, holder: str, orders: list[DrawOrder]
) -> dict[str, DrawResult]:
    """Read the state of every budget for a holder, after its orders were applied."""
    names = account.budgets if account is not None else ()
    books = {name: read_books(account, name, holder) for name in names}
    books.update({order.budget: draw_result(account, order) for order in orders})
    return books


def release_holder(
    account: BudgetAccount | None, budget: str, holder: str, served: int | None
) -> BudgetAccount | None:
    """Close the row of an incarnation that an operator says is gone for good.

    Parameters
    ----------
    served : int or None
        Tokens of the outstanding ones that the operator knows to be spent; the rest
        becomes free. None: nothing is known, all of them stay out of use.

    Notes
    -----
    A returned token is only as safe as the operator's word: an incarnation that was
    merely paused and wakes may spend it a second time.
    """
    entry = account.budgets.get(budget) if account is not None else None
    row = entry.rows.get(holder) if entry is not None else None
    if row is None or row.closed:
        return None
    lost = row.outstanding if served is None else min(served, row.outstanding)
    row.unproven += lost
    row.returned += row.outstanding
    row.closed = row.released = True
    return account


def release_earlier_runs(
    account: BudgetAccount | None, holder: str, restart: RestartMoment
) -> BudgetAccount | None:
    """Close the rows of earlier runs of the holder's instance; their unused tokens are free.

    Parameters
    ----------
    holder : str
        The present run, whose start proves that earlier ones have ended.
    restart : RestartMoment
        When the present run started.

    Notes
    -----
    An earlier run kept to its schedule, so what it used is bounded by that at the
    moment of the restart. The rest comes back.
    """
    if account is None:
        return None
    released = [
        _release_row(entry.rows[name], restart)
        for entry in account.budgets.values()
        for name in list(entry.rows)
        if name != holder and instance_of(name) == instance_of(holder)
    ]
    return account if any(released) else None


def _release_row(row: AccountRow, restart: RestartMoment) -> bool:
    if row.closed:
        return False
    accounted = row.billed + row.unproven + row.moved_out
    used = row.outstanding
    if row.schedule is not None:
        most = restart.most_used(row.schedule) + sum(row.received.values())
        used = max(0, min(used, most - accounted))
    row.unproven += used
    row.returned += row.outstanding
    row.closed = row.released = True
    return True


def _apply_draw(account: BudgetAccount, order: DrawOrder) -> bool:
    entry = account.budgets.get(order.budget)
    if entry is None:
        if not order.limit_version:
            return False
        entry = account.budgets[order.budget] = BudgetEntry()
    row = entry.rows.get(order.holder)
    if row is None:
        # A late copy of an order whose holder has been folded away.
        if not order.opening:
            return False
        row = entry.rows[order.holder] = AccountRow()
    if row.closed or order.sequence <= row.sequence:
        return False
    if order.limit_version > entry.declared_version:
        entry.declared = order.limit
        entry.declared_version = order.limit_version
    _record_received(entry, row, order)
    row.schedule = order.schedule
    row.billed = max(row.billed, order.billed)
    row.unproven = max(row.unproven, order.unproven)
    row.returned = max(row.returned, order.returned)
    if order.final:
        _close(row, order)
    else:
        row.drawn += _grant_size(entry, order)
    row.sequence = order.sequence
    _fold(entry, order.holder)
    return True


def _close(row: AccountRow, order: DrawOrder) -> None:
    row.closed = True
    if order.given is not None:
        unused = row.outstanding - (order.given - row.moved_out)
        row.returned += max(0, unused)


def _record_received(entry: BudgetEntry, row: AccountRow, order: DrawOrder) -> None:
    for giver, tokens in order.received.items():
        more = tokens - row.received.get(giver, 0)
        if more <= 0:
            continue
        row.received = {**row.received, giver: tokens}
        source = entry.rows.setdefault(giver, AccountRow(closed=True))
        if source.closed and source.outstanding < more:
            # The giver's row was released before this transfer was known.
            correction = more - source.outstanding
            written_off = min(correction, source.unproven)
            source.unproven -= written_off
            source.returned -= correction - written_off
        source.moved_out += more
        _fold(entry, giver)


def _grant_size(entry: BudgetEntry, order: DrawOrder) -> int:
    """Give what is needed, and of the wish no more than the holder's fair part allows.

    All holders together hold at most a part of what is left, beyond present needs, so
    that a kill takes little out of use and the grants shrink as the budget runs low.
    """
    if order.need > entry.free + entry.outstanding:
        # The budget can't cover the request: leave the tokens where they are.
        return 0
    live = [row for row in entry.rows.values() if not row.closed]
    left = entry.free + sum(row.outstanding for row in live)
    fair = left // (_SHARE_OF_LEFT * max(1, len(live)))
    room = fair - entry.rows[order.holder].outstanding
    if order.schedule is not None:
        # What dies with a holder that keeps to a schedule comes back: one may hold the
        # part of those that hold little.
        held = sum(row.outstanding for row in live)
        room = max(room, left // _SHARE_OF_LEFT - held)
    size = max(order.need, min(order.need + order.want, room))
    return max(0, min(size, entry.free))


def _fold(entry: BudgetEntry, holder: str) -> None:
    row = entry.rows[holder]
    if row.released or not row.closed or row.outstanding != 0:
        return
    entry.settled_billed += row.billed
    entry.settled_unproven += row.unproven
    del entry.rows[holder]
