"""Operator functions: apply declarations, inspect budgets, bills and routers, release grants."""

from whinrack.operators._accounts import (
    BudgetBalance,
    HolderBalance,
    read_bills,
    read_budget_balance,
    release_grant,
    top_up,
)
from whinrack.operators._apply import (
    Change,
    ChangeKind,
    FieldDiff,
    apply_change,
    plan_changes,
    read_declared_objects,
)
from whinrack.operators._fleet import RouterRow, read_fleet_status

__all__ = [
    "BudgetBalance",
    "Change",
    "ChangeKind",
    "FieldDiff",
    "RouterRow",
    "HolderBalance",
    "apply_change",
    "read_budget_balance",
    "read_fleet_status",
    "plan_changes",
    "read_bills",
    "read_declared_objects",
    "release_grant",
    "top_up",
]
