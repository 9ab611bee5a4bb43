"""Recovery of the unused tokens of holders that have ended."""

import msgspec

from whinrack.base import instance_name
from whinrack.budgets._account import AccountRow, BudgetAccount, BudgetEntry
from whinrack.budgets._schedule import RestartTime

__all__ = [
    "ReleasedRow",
    "RunRelease",
    "find_earlier_runs",
    "release_earlier_runs",
    "release_holder",
]


class ReleasedRow(msgspec.Struct, frozen=True, kw_only=True):
    """Outcome of releasing what an earlier run held of one budget.

    Attributes
    ----------
    written_off : int
        Tokens that the run may have spent without reporting them.
    freed : int
        Tokens that it can't have spent.
    seconds : float
        Time from the run's last schedule to the restart, including the margin.
    """

    budget: str
    written_off: int
    freed: int
    seconds: float


class RunRelease(msgspec.Struct, frozen=True):
    """Request to close the rows of earlier runs of an instance.

    Attributes
    ----------
    holder : str
        The present run. Its start proves that the earlier ones have ended.
    restart : RestartTime
        When the present run started.
    ended : list of str
        Names of those earlier runs. They are listed because a request that is processed late must
        not affect a run that has started since.
    """

    holder: str
    restart: RestartTime
    ended: list[str]


def release_holder(
    account: BudgetAccount | None, budget: str, holder: str, spent_tokens: int | None
) -> BudgetAccount | None:
    """Close the row of an incarnation that an operator declares ended for good.

    Parameters
    ----------
    spent_tokens : int or None
        Outstanding tokens that the operator knows to be spent; the rest becomes free. None if
        nothing is known: all of them are withdrawn from use.

    Notes
    -----
    Freed tokens are only as safe as the operator's declaration: an incarnation that was merely
    paused may spend them a second time when it resumes.
    """
    entry = account.budgets.get(budget) if account is not None else None
    row = entry.rows.get(holder) if entry is not None else None
    if row is None or row.closed:
        return None
    _close_row(row, row.outstanding if spent_tokens is None else min(spent_tokens, row.outstanding))
    return account


def find_earlier_runs(account: BudgetAccount | None, holder: str) -> list[str]:
    """Return the runs of the holder's instance, other than the holder, that have open rows.

    Only the holder itself may call this: while it runs, all the others have ended.
    """
    if account is None:
        return []
    return sorted(
        {
            name
            for entry in account.budgets.values()
            for name, row in entry.rows.items()
            if not row.closed and name != holder and instance_name(name) == instance_name(holder)
        }
    )


def release_earlier_runs(account: BudgetAccount | None, release: RunRelease) -> list[ReleasedRow]:
    """Close the rows of runs that have ended and free their unused tokens.

    Returns
    -------
    list of ReleasedRow
        Empty if there was nothing to close.

    Notes
    -----
    An earlier run observed its schedule, which bounds what it had used by the time of the
    restart. The rest is freed.
    """
    if account is None:
        return []
    rows = [
        _release_row(budget, entry, name, release.restart)
        for budget, entry in account.budgets.items()
        for name in release.ended
        if name in entry.rows and not entry.rows[name].closed
    ]
    if account.is_held:
        for row in rows:
            account.budgets[row.budget].known_taken -= max(0, row.freed)
    return rows


def _release_row(budget: str, entry: BudgetEntry, name: str, restart: RestartTime) -> ReleasedRow:
    row = entry.rows[name]
    accounted = row.billed + row.unproven + row.moved_out
    used, seconds = max(0, row.outstanding), 0.0
    if row.schedule is not None and name not in entry.unstated:
        seconds = restart.seconds_since(row.schedule)
        most = row.schedule.max_used(seconds) + sum(row.received.values())
        used = max(0, min(used, most - accounted))
    entry.unstated.discard(name)
    freed = _close_row(row, used)
    return ReleasedRow(budget=budget, written_off=used, freed=freed, seconds=seconds)


def _close_row(row: AccountRow, lost: int) -> int:
    """Write off what a holder may have used, free the rest and return the number freed."""
    row.unproven += lost
    freed = row.outstanding
    row.returned += freed
    row.closed = row.released = True
    return freed
