"""Idempotent application of payments and holders' orders to accounts."""

import xxhash

from whinrack.budgets._account import AccountRow, BudgetAccount, BudgetEntry, DrawOrder
from whinrack.budgets._store_restore import is_order_of_earlier_era, update_known_taken

__all__ = ["account_name", "apply_draws", "apply_topups"]

# All holders together hold at most the unspent tokens divided by this.
_UNSPENT_DIVISOR = 2
# The corresponding share, in percent, for holders that observe a release schedule.
_SCHEDULED_PERCENT = 75


def account_name(budget: str, accounts: int) -> str:
    """Return the name of the account object that a new budget is assigned to."""
    return f"account-{xxhash.xxh64_intdigest(budget.encode()) % accounts:04d}"


def apply_topups(
    account: BudgetAccount | None, budget: str, topups: dict[str, int]
) -> BudgetAccount | None:
    """Add the payments whose ids are new; return None if there are none."""
    account = account or BudgetAccount()
    entry = account.budgets.setdefault(budget, BudgetEntry())
    missing = {key: tokens for key, tokens in topups.items() if key not in entry.topups}
    if not missing:
        return None
    entry.topups = {**entry.topups, **missing}
    return account


def apply_draws(account: BudgetAccount | None, orders: list[DrawOrder]) -> BudgetAccount | None:
    """Apply the orders that have not been applied yet; return None if nothing changed."""
    if account is None:
        if not any(order.limit_version for order in orders):
            return None
        account = BudgetAccount()
    applied = [order for order in orders if _apply_draw(account, order)]
    return account if applied else None


def _apply_draw(account: BudgetAccount, order: DrawOrder) -> bool:
    entry = account.budgets.get(order.budget)
    if entry is None:
        if not order.limit_version:
            return False
        entry = account.budgets[order.budget] = BudgetEntry()
    row = entry.rows.get(order.holder)
    if row is None:
        # A delayed copy of an order whose holder's row was removed, unless the store lost the row.
        if not (order.opening or is_order_of_earlier_era(account, order)):
            return False
        row = entry.rows[order.holder] = AccountRow()
    if row.closed or order.sequence <= row.sequence:
        return False
    if order.limit_version > entry.declared_version:
        entry.declared = order.limit
        entry.declared_version = order.limit_version
    update_known_taken(account, entry, order)
    taken_before = entry.taken
    _record_received(account, entry, row, order)
    row.drawn = max(row.drawn, order.drawn)
    if not account.is_held and entry.unaccounted:
        # The holder reports only now what it could not report while the account was held.
        stated_late = max(0, entry.taken - taken_before)
        entry.unaccounted = max(0, entry.unaccounted - stated_late)
    entry.unstated.discard(order.holder)
    if account.is_held:
        entry.stated.add(order.holder)
    row.schedule = order.schedule
    row.billed = max(row.billed, order.billed)
    row.unproven = max(row.unproven, order.unproven)
    row.returned = max(row.returned, order.returned)
    if order.final:
        _close_row(row, order)
    elif not account.is_held:
        row.drawn += _grant_size(entry, order)
    row.sequence = order.sequence
    _settle_closed_row(entry, order.holder)
    return True


def _close_row(row: AccountRow, order: DrawOrder) -> None:
    row.closed = True
    if order.given is not None:
        unused = row.outstanding - (order.given - row.moved_out)
        row.returned += max(0, unused)


def _record_received(
    account: BudgetAccount, entry: BudgetEntry, row: AccountRow, order: DrawOrder
) -> None:
    for giver, tokens in order.received.items():
        more = tokens - row.received.get(giver, 0)
        if more <= 0:
            continue
        row.received = {**row.received, giver: tokens}
        # While the account is held, the giver may be about to report its row again.
        if giver not in entry.rows:
            entry.rows[giver] = AccountRow(closed=not account.is_held)
            if account.is_held:
                entry.unstated.add(giver)
        source = entry.rows[giver]
        if source.closed and source.outstanding < more:
            # The giver's row was released before this transfer was known.
            correction = more - source.outstanding
            written_off = min(correction, source.unproven)
            source.unproven -= written_off
            source.returned -= correction - written_off
        source.moved_out += more
        _settle_closed_row(entry, giver)


def _grant_size(entry: BudgetEntry, order: DrawOrder) -> int:
    """Return `need` and as much of `want` as the holder's share allows.

    Beyond present needs, all holders together hold at most a part of the unspent tokens. This
    limits what a crash withdraws from use, and grants shrink as the budget runs low.
    """
    if order.need > entry.free + entry.outstanding:
        # The budget can't cover the request: leave the tokens where they are.
        return 0
    live = [row for row in entry.rows.values() if not row.closed]
    left = entry.free + sum(row.outstanding for row in live)
    fair = left // (_UNSPENT_DIVISOR * max(1, len(live)))
    room = fair - entry.rows[order.holder].outstanding
    if order.schedule is not None:
        # The unused grant of a crashed holder with a schedule is recovered, so one holder may have
        # the share of holders that hold little.
        held = sum(row.outstanding for row in live)
        room = max(room, left * _SCHEDULED_PERCENT // 100 - held)
    size = max(order.need, min(order.need + order.want, room))
    return max(0, min(size, entry.free))


def _settle_closed_row(entry: BudgetEntry, holder: str) -> None:
    row = entry.rows[holder]
    if row.released or not row.closed or row.outstanding != 0:
        return
    entry.settled_billed += row.billed
    entry.settled_unproven += row.unproven
    del entry.rows[holder]
