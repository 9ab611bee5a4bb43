"""Reading of budgets and bills, top-ups, and release of grants whose holder is gone."""

import msgspec
from returns.result import Failure, Result, Success

from whinrack.budgets import (
    ACCOUNT_KIND,
    BudgetAccount,
    BudgetEntry,
    apply_topups,
    release_holder,
)
from whinrack.exceptions import NotFound, PlatformFailure, WhinrackError
from whinrack.journal import JOURNAL_KIND, WorkspaceBill, decode_segment, merge_bills
from whinrack.objects import Budget
from whinrack.store import InstanceRecord, ObjectEditor, ObjectStore

__all__ = [
    "BudgetBalance",
    "HolderBalance",
    "read_budget_balance",
    "read_bills",
    "release_grant",
    "top_up",
]


class HolderBalance(msgspec.Struct, frozen=True):
    """Tokens of one budget held by one incarnation.

    Attributes
    ----------
    closed : bool
        Whether the grant was released.
    listed : bool
        Whether the instance of the incarnation is in the instance list.
    """

    holder: str
    outstanding: int
    billed: int
    unproven: int
    closed: bool
    listed: bool


class BudgetBalance(msgspec.Struct, frozen=True):
    """Token balance of a budget: limit = billed + unproven + outstanding + free."""

    budget: str
    account: str
    limit: int
    billed: int
    unproven: int
    outstanding: int
    free: int
    holders: list[HolderBalance]


def read_budget_balance(store: ObjectStore, name: str) -> Result[BudgetBalance, WhinrackError]:
    """Read the token balance of a budget and of all its holders."""
    account = _find_account(store, name)
    if isinstance(account, Failure):
        return account
    value = ObjectEditor(store, ACCOUNT_KIND, BudgetAccount).read(account.unwrap())
    if isinstance(value, Failure):
        return value
    entry = value.unwrap().budgets.get(name, BudgetEntry())
    listed = store.instances().value_or(())
    return Success(_make_balance(name, account.unwrap(), entry, listed))


def top_up(
    store: ObjectStore, name: str, payment_id: str, tokens: int
) -> Result[BudgetEntry, WhinrackError]:
    """Add tokens to a budget; repeating a payment id has no effect."""
    return _update_account(
        store, name, lambda account: apply_topups(account, name, {payment_id: tokens})
    )


def release_grant(
    store: ObjectStore, name: str, holder: str, spent_tokens: int | None
) -> Result[BudgetEntry, WhinrackError]:
    """Release the tokens of a budget held by an incarnation that no longer runs.

    Parameters
    ----------
    store : ObjectStore
    name : str
        Name of the budget.
    holder : str
        The incarnation.
    spent_tokens : int or None
        Outstanding tokens known to be spent; the rest becomes free. None books all outstanding
        tokens as unproven.

    Notes
    -----
    An incarnation that was only paused can spend tokens that became free a second time.
    """
    return _update_account(
        store, name, lambda account: release_holder(account, name, holder, spent_tokens)
    )


def read_bills(store: ObjectStore) -> Result[dict[str, WorkspaceBill], PlatformFailure]:
    """Read all journals and return the bill of each workspace."""
    result = store.list((JOURNAL_KIND,))
    return result.map(
        lambda snapshot: merge_bills(decode_segment(item.value) for item in snapshot.objects)
    )


def _update_account(store: ObjectStore, name: str, change) -> Result[BudgetEntry, WhinrackError]:
    account = _find_account(store, name)
    if isinstance(account, Failure):
        return account
    editor = ObjectEditor(store, ACCOUNT_KIND, BudgetAccount)
    result = editor.apply(account.unwrap(), change)
    if isinstance(result, Failure):
        return result
    value = result.unwrap()
    return Success(value.budgets.get(name, BudgetEntry()) if value else BudgetEntry())


def _find_account(store: ObjectStore, name: str) -> Result[str, WhinrackError]:
    stored = store.get("Budget", name)
    if isinstance(stored, Failure):
        failure = stored.failure()
        if isinstance(failure, NotFound):
            return Failure(NotFound(f"budget {name!r} does not exist"))
        return stored
    return Success(msgspec.json.decode(stored.unwrap().value, type=Budget).account)


def _make_balance(
    name: str, account: str, entry: BudgetEntry, listed: tuple[InstanceRecord, ...]
) -> BudgetBalance:
    names = {record.name for record in listed}
    holders = [
        HolderBalance(
            holder=holder,
            outstanding=row.outstanding,
            billed=row.billed,
            unproven=row.unproven,
            closed=row.closed,
            listed=holder.rpartition(".")[0] in names,
        )
        for holder, row in sorted(entry.rows.items())
    ]
    return BudgetBalance(
        budget=name,
        account=account,
        limit=entry.limit,
        billed=entry.billed,
        unproven=entry.unproven,
        outstanding=entry.outstanding,
        free=entry.free,
        holders=holders,
    )
