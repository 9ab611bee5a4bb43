"""Prepaid token budgets: stored accounts, grants held by instances, covers of requests."""

from whinrack.budgets._account import (
    AccountRow,
    BudgetAccount,
    BudgetEntry,
    DrawOrder,
    DrawResult,
)
from whinrack.budgets._account_updates import account_name, apply_draws, apply_topups
from whinrack.budgets._account_writer import ACCOUNT_KIND, AccountBackend, AccountWriter, OrderBatch
from whinrack.budgets._budget_manager import (
    BudgetManager,
    SpareTokenSource,
    TokenSource,
    TransferTotal,
)
from whinrack.budgets._demand import DemandEstimate
from whinrack.budgets._draw_results import draw_result, holder_result, results_for_holder
from whinrack.budgets._exposure import Exposure, exposure_of, exposure_text
from whinrack.budgets._grant import GrantOptions
from whinrack.budgets._grant_manager import GrantManager
from whinrack.budgets._ledger import BudgetLedger, Cover
from whinrack.budgets._release import (
    ReleasedRow,
    RunRelease,
    find_earlier_runs,
    release_earlier_runs,
    release_holder,
)
from whinrack.budgets._schedule import (
    ReleaseGuard,
    ReleaseSchedule,
    RestartTime,
    WallClockReading,
)

__all__ = [
    "ACCOUNT_KIND",
    "AccountBackend",
    "AccountRow",
    "AccountWriter",
    "BudgetAccount",
    "BudgetEntry",
    "BudgetLedger",
    "BudgetManager",
    "Cover",
    "DemandEstimate",
    "DrawOrder",
    "DrawResult",
    "Exposure",
    "GrantManager",
    "GrantOptions",
    "OrderBatch",
    "ReleaseGuard",
    "ReleaseSchedule",
    "ReleasedRow",
    "RestartTime",
    "RunRelease",
    "SpareTokenSource",
    "TokenSource",
    "TransferTotal",
    "WallClockReading",
    "account_name",
    "apply_draws",
    "apply_topups",
    "draw_result",
    "exposure_of",
    "exposure_text",
    "find_earlier_runs",
    "holder_result",
    "release_earlier_runs",
    "release_holder",
    "results_for_holder",
]
