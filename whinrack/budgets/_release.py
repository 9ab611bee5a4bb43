"""Gives back what holders that are gone did not use."""

import msgspec

from whinrack.base import instance_of
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
    """What became of the tokens that an earlier run held of one budget.

    Attributes
    ----------
    written_off : int
        Tokens that the run may have spent without a report.
    freed : int
        Tokens that it can't have spent.
    seconds : float
        Time from the run's last schedule to the restart, the margin included.
    """

    budget: str
    written_off: int
    freed: int
    seconds: float


class RunRelease(msgspec.Struct, frozen=True):
    """Asks to close the rows of earlier runs of an instance.

    Attributes
    ----------
    holder : str
        The present run, whose start proves that earlier ones have ended.
    restart : RestartMoment
        When the present run started.
    ended : list of str
        Those earlier runs, by name: a request that is carried out late must not touch a run
        that has started since.
    """

    holder: str
    restart: RestartTime
    ended: list[str]


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
    _close_row(row, row.outstanding if served is None else min(served, row.outstanding))
    return account


def find_earlier_runs(account: BudgetAccount | None, holder: str) -> list[str]:
    """Return the runs of the holder's instance, but itself, that have open rows.

    For the holder itself to ask: as long as it runs, all others have ended.
    """
    if account is None:
        return []
    return sorted(
        {
            name
            for entry in account.budgets.values()
            for name, row in entry.rows.items()
            if not row.closed and name != holder and instance_of(name) == instance_of(holder)
        }
    )


def release_earlier_runs(account: BudgetAccount | None, release: RunRelease) -> list[ReleasedRow]:
    """Close the rows of runs that have ended; their unused tokens are free.

    Returns
    -------
    list of ReleasedRow
        Empty if there was nothing to close.

    Notes
    -----
    An earlier run kept to its schedule, so what it used is bounded by that at the
    moment of the restart. The rest comes back.
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
    """Write off what a holder may have used, free the rest and return that."""
    row.unproven += lost
    freed = row.outstanding
    row.returned += freed
    row.closed = row.released = True
    return freed
