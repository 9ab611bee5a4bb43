"""State of accounts as reported to holders."""

import msgspec

from whinrack.budgets._account import AccountRow, BudgetAccount, DrawOrder, DrawResult

__all__ = ["results_for_holder", "draw_result", "holder_result"]

_NO_ROW = AccountRow()


def holder_result(account: BudgetAccount | None, budget: str, holder: str) -> DrawResult:
    """Return the state of a budget and of a holder's share of it."""
    entry = account.budgets.get(budget) if account is not None else None
    if entry is None:
        return DrawResult(era=account.era if account is not None else None)
    row = entry.rows.get(holder, _NO_ROW)
    return DrawResult(
        sequence=row.sequence,
        drawn=row.drawn,
        closed=row.closed,
        free=entry.free,
        outstanding=entry.outstanding,
        billed=entry.billed,
        limit_version=entry.declared_version,
        holders=sum(not row.closed for row in entry.rows.values()),
        era=account.era,
        edition=account.edition,
        taken=entry.taken,
    )


def draw_result(account: BudgetAccount | None, order: DrawOrder) -> DrawResult:
    """Return the state of the budget of an order, for the holder that sent it."""
    result = holder_result(account, order.budget, order.holder)
    if account is None or order.opening or order.budget not in account.budgets:
        return result
    if order.holder in account.budgets[order.budget].rows:
        return result
    return msgspec.structs.replace(result, closed=True)


def results_for_holder(
    account: BudgetAccount | None, holder: str, orders: list[DrawOrder]
) -> dict[str, DrawResult]:
    """Return the state of every budget for a holder, after its orders were applied."""
    names = account.budgets if account is not None else ()
    results = {name: holder_result(account, name, holder) for name in names}
    results.update({order.budget: draw_result(account, order) for order in orders})
    return results
