"""Recovery of accounts after the store was restored from a copy that lacks the latest writes.

Holders report their own totals again with each order. Until they have had time to do so, draws
are suspended, since part of the tokens that look free was granted in writes that the copy lacks.
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
    """Return whether an account was last written before the store entered this era."""
    return account.era is not None and account.era < era


def restore_account(
    account: BudgetAccount | None, latest: BudgetAccount | None, era: int
) -> BudgetAccount:
    """Return the account to continue with in a later era.

    Parameters
    ----------
    account : BudgetAccount or None
        As stored, None if it is not in the store.
    latest : BudgetAccount or None
        Latest version that this writer knows; not modified.
    era : int
        The current era.
    """
    if latest is not None and (account is None or not is_later(account, latest)):
        # Writes within an era are sequential, so the later version includes all of the copy.
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
    """Return whether the holder's row may be among those that the store lost."""
    return None not in (order.era, account.era) and order.era < account.era


def update_known_taken(account: BudgetAccount, entry: BudgetEntry, order: DrawOrder) -> None:
    """Record what a holder knows of an earlier era, if it is newer than what is known so far."""
    if (
        account.is_held
        and is_order_of_earlier_era(account, order)
        and order.edition > entry.known_edition
    ):
        entry.known_edition, entry.known_taken = order.edition, order.taken
        # The account that was continued with was not the latest one, so its rows are outdated.
        entry.unstated = _open_holders(entry) - entry.stated


def end_hold(account: BudgetAccount) -> None:
    """Resume draws; write off what was granted and not reported again by any holder."""
    account.is_held = False
    for entry in account.budgets.values():
        entry.unaccounted += max(0, entry.known_taken - entry.taken)
        entry.known_taken = entry.known_edition = 0
        entry.stated = set()


def is_later(account: BudgetAccount, reference: BudgetAccount) -> bool:
    """Return whether an account was written after another version of the same account."""
    return (account.era or 0, account.edition) > (reference.era or 0, reference.edition)


def _open_holders(entry: BudgetEntry) -> set[str]:
    return {holder for holder, row in entry.rows.items() if not row.closed}
