"""What operators do: apply declarations, look at budgets and bills, see the fleet."""

from whinrack.operators._accounts import (
    BudgetBooks,
    HolderBooks,
    budget_books,
    read_bills,
    release_grant,
    top_up,
)
from whinrack.operators._apply import (
    Change,
    ChangeKind,
    FieldDiff,
    apply_change,
    plan_changes,
    read_snapshot,
)
from whinrack.operators._fleet import FleetRow, fleet_status

__all__ = [
    "BudgetBooks",
    "Change",
    "ChangeKind",
    "FieldDiff",
    "FleetRow",
    "HolderBooks",
    "apply_change",
    "budget_books",
    "fleet_status",
    "plan_changes",
    "read_bills",
    "read_snapshot",
    "release_grant",
    "top_up",
]
