"""Books after the store came back from a copy, which lacks their latest writes.

Holders state again what they know of themselves with each order. Until they have had time to,
the books hold back what looks free: part of it was handed out in writes that the copy lacks.
"""

import msgspec

from whinrack.budgets._account import BudgetAccount, BudgetEntry, DrawOrder

__all__ = [
    "is_account_of_earlier_era",
    "end_hold",
    "is_later",
    "is_order_of_earlier_era",
    "update_known_taken",
    "restore_account",
]


def is_account_of_earlier_era(account: BudgetAccount, era: int) -> bool:
    """Whether books were written last before the store came back in its present era."""
    return account.era is not None and account.era < era


def restore_account(
    account: BudgetAccount | None, latest: BudgetAccount | None, era: int
) -> BudgetAccount:
    """Return books to go on with in a later era.

    Parameters
    ----------
    account : BudgetAccount or None
        As the store has them, None if it has none.
    latest : BudgetAccount or None
        The latest that this writer knows; not changed.
    era : int
        The present one.
    """
    if latest is not None and (account is None or not is_later(account, latest)):
        # Books of one era are written one after the other, so the later ones hold all of the copy.
        restored = msgspec.convert(msgspec.to_builtins(latest), BudgetAccount)
    elif account is None:
        restored = BudgetAccount()
    else:
        restored = account
        for entry in restored.budgets.values():
            entry.unstated = _open_holders(entry)
    restored.era = era
    restored.is_held = True
    for entry in restored.budgets.values():
        entry.stated = set()
        entry.known_edition, entry.known_taken = restored.edition, entry.taken
    return restored


def is_order_of_earlier_era(account: BudgetAccount, order: DrawOrder) -> bool:
    """Whether the holder's row may be among what the store lost."""
    return None not in (order.era, account.era) and order.era < account.era


def update_known_taken(account: BudgetAccount, entry: BudgetEntry, order: DrawOrder) -> None:
    """Take in what a holder knows of an earlier era; the latest word on it counts."""
    if (
        account.is_held
        and is_order_of_earlier_era(account, order)
        and order.edition > entry.known_edition
    ):
        entry.known_edition, entry.known_taken = order.edition, order.taken
        # The books that were gone on with were not the latest: neither are their rows.
        entry.unstated = _open_holders(entry) - entry.stated


def end_hold(account: BudgetAccount) -> None:
    """Let tokens be drawn again; write off what was handed out and nobody stated again."""
    account.is_held = False
    for entry in account.budgets.values():
        entry.unaccounted += max(0, entry.known_taken - entry.taken)
        entry.known_taken = entry.known_edition = 0
        entry.stated = set()


def is_later(account: BudgetAccount, reference: BudgetAccount) -> bool:
    """Whether books were written after others of the same account."""
    return (account.era or 0, account.edition) > (reference.era or 0, reference.edition)


def _open_holders(entry: BudgetEntry) -> set[str]:
    return {holder for holder, row in entry.rows.items() if not row.closed}
