"""Gives back what holders that are gone did not use."""

from whinrack.base import instance_of
from whinrack.budgets._books import AccountRow, BudgetAccount
from whinrack.budgets._schedule import RestartMoment

__all__ = ["release_earlier_runs", "release_holder"]


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
