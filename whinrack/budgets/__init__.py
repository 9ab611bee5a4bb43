"""Prepaid budgets: books in the platform, grants at the instances, covers of requests."""

from whinrack.budgets._books import (
    AccountRow,
    BudgetAccount,
    BudgetEntry,
    DrawOrder,
    DrawResult,
)
from whinrack.budgets._demand import DemandEstimate
from whinrack.budgets._drawer import ACCOUNT_KIND, AccountDrawer, BookSource, OrderBatch
from whinrack.budgets._draws import account_name, apply_draws, apply_topups
from whinrack.budgets._grant import GrantOptions
from whinrack.budgets._grants import GrantKeeper
from whinrack.budgets._keeper import BudgetKeeper, SpareSource, SpareTotal, TokenSource
from whinrack.budgets._ledger import BudgetLedger, Cover
from whinrack.budgets._reading import books_for, draw_result, read_books
from whinrack.budgets._release import (
    ReleasedRow,
    RunRelease,
    earlier_runs,
    release_earlier_runs,
    release_holder,
)
from whinrack.budgets._schedule import (
    ReleaseGuard,
    ReleaseSchedule,
    RestartMoment,
    WallReading,
)

__all__ = [
    "ACCOUNT_KIND",
    "AccountDrawer",
    "AccountRow",
    "BookSource",
    "BudgetAccount",
    "BudgetEntry",
    "BudgetKeeper",
    "BudgetLedger",
    "Cover",
    "DemandEstimate",
    "DrawOrder",
    "DrawResult",
    "GrantKeeper",
    "GrantOptions",
    "OrderBatch",
    "ReleaseGuard",
    "ReleaseSchedule",
    "ReleasedRow",
    "RunRelease",
    "RestartMoment",
    "SpareSource",
    "SpareTotal",
    "TokenSource",
    "WallReading",
    "account_name",
    "apply_draws",
    "apply_topups",
    "books_for",
    "draw_result",
    "read_books",
    "earlier_runs",
    "release_earlier_runs",
    "release_holder",
]
