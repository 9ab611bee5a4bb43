"""Comparison of declarations with stored objects, and conditional writes of the differences."""

from collections.abc import Iterable
from enum import StrEnum

import msgspec
from returns.result import Failure, Result, Success

from whinrack.budgets import ACCOUNT_KIND, BudgetAccount, account_name, apply_topups
from whinrack.exceptions import Conflict, PlatformFailure, WhinrackError, WriteUnknown
from whinrack.objects import (
    DECLARED_KINDS,
    Budget,
    Declaration,
    Spec,
    check_references,
    decode_spec,
)
from whinrack.store import ObjectEditor, ObjectStore, Snapshot, StoredObject

__all__ = [
    "Change",
    "ChangeKind",
    "FieldDiff",
    "apply_change",
    "plan_changes",
    "read_declared_objects",
]

_WRITE_ORDER = ("RoutingPolicy", "Workspace", "TargetPool", "Budget", "Target", "ApiKey")
_ACCOUNT_COUNT = 64
_MISSING = "(none)"


class ChangeKind(StrEnum):
    """Effect of applying a declaration on its stored object."""

    CREATE = "create"
    UPDATE = "update"
    UNCHANGED = "same"


class FieldDiff(msgspec.Struct, frozen=True):
    """Field whose declared value differs from the stored value."""

    field: str
    stored: object
    declared: object


class Change(msgspec.Struct, frozen=True):
    """Planned change of one object.

    Attributes
    ----------
    version : int
        Version of the object when the change was planned, 0 if there was none; the write
        succeeds only if the object is still at this version.
    """

    kind: ChangeKind
    declaration: Declaration
    version: int
    fields: tuple[FieldDiff, ...] = ()


def read_declared_objects(store: ObjectStore) -> Result[Snapshot, PlatformFailure]:
    """Read all stored objects of the kinds that can be declared."""
    return store.list(tuple(DECLARED_KINDS))


def plan_changes(declarations: Iterable[Declaration], snapshot: Snapshot) -> list[Change]:
    """Compare declarations with stored objects and return the changes in write order.

    Raises
    ------
    InvalidObject
        If a declaration refers to an object that is neither declared nor stored.
    """
    stored = {(item.kind, item.name): item for item in snapshot.objects}
    specs = {key: _decode_stored(item) for key, item in stored.items()}
    changes = []
    for declaration in sorted(declarations, key=_write_order_key):
        key = (declaration.kind, declaration.name)
        change = _plan_change(declaration, stored.get(key))
        specs[key] = change.declaration.spec
        changes.append(change)
    check_references(specs)
    return changes


def apply_change(store: ObjectStore, change: Change) -> Result[int, WhinrackError]:
    """Write one change and return the object's version.

    If the reply to a write is lost, the object is read back, and the write counts as done if
    the stored object matches the declaration. Top-ups of a budget are applied once per id.
    """
    declaration = change.declaration
    version: Result[int, WhinrackError] = Success(change.version)
    if change.kind is not ChangeKind.UNCHANGED:
        version = _write_object(store, change)
    if isinstance(version, Failure) or not isinstance(declaration.spec, Budget):
        return version
    topup_result = _apply_declared_topups(store, declaration.name, declaration.spec)
    return version if not isinstance(topup_result, Failure) else Failure(topup_result.failure())


def _write_object(store: ObjectStore, change: Change) -> Result[int, WhinrackError]:
    declaration = change.declaration
    value = msgspec.json.encode(declaration.spec)
    result = store.put(declaration.kind, declaration.name, value, change.version)
    if isinstance(result, Success):
        return Success(result.unwrap().version)
    failure = result.failure()
    if not isinstance(failure, WriteUnknown):
        return Failure(_describe_conflict(failure, change))
    found = store.get(declaration.kind, declaration.name)
    if isinstance(found, Success) and _decode_stored(found.unwrap()) == declaration.spec:
        return Success(found.unwrap().version)
    return Failure(failure)


def _describe_conflict(failure: PlatformFailure, change: Change) -> WhinrackError:
    """Return a conflict with the stored and the declared object in its message.

    Other failures are returned unchanged.
    """
    if not isinstance(failure, Conflict):
        return failure
    name = f"{change.declaration.kind}/{change.declaration.name}"
    declared = msgspec.json.encode(change.declaration.spec).decode()
    current = failure.current
    stored = _MISSING if current is None else bytes(current.value).decode()
    current_version = 0 if current is None else current.version
    message = (
        f"{name} was changed concurrently: read at version {change.version}, "
        f"now at {current_version}\n"
        f"  stored:   {stored}\n  declared: {declared}"
    )
    return Conflict(message, current)


def _apply_declared_topups(
    store: ObjectStore, name: str, budget: Budget
) -> Result[BudgetAccount, PlatformFailure]:
    editor = ObjectEditor(store, ACCOUNT_KIND, BudgetAccount)
    topups = {topup.id: topup.tokens for topup in budget.topups}
    return editor.apply(budget.account, lambda account: apply_topups(account, name, topups))


def _plan_change(declaration: Declaration, stored: StoredObject | None) -> Change:
    if stored is None:
        return Change(ChangeKind.CREATE, _with_account(declaration, None), 0)
    stored_spec = _decode_stored(stored)
    declaration = _with_account(declaration, stored_spec)
    old, new = msgspec.to_builtins(stored_spec), msgspec.to_builtins(declaration.spec)
    fields = tuple(
        FieldDiff(field, old.get(field), new.get(field))
        for field in new
        if old.get(field) != new.get(field)
    )
    kind = ChangeKind.UPDATE if fields else ChangeKind.UNCHANGED
    return Change(kind, declaration, stored.version, fields)


def _with_account(declaration: Declaration, stored: Spec | None) -> Declaration:
    """Set the account of a budget: the stored one, or for a new budget one chosen by its name."""
    spec = declaration.spec
    if not isinstance(spec, Budget):
        return declaration
    if isinstance(stored, Budget):
        account = stored.account
    else:
        account = account_name(declaration.name, _ACCOUNT_COUNT)
    return msgspec.structs.replace(declaration, spec=msgspec.structs.replace(spec, account=account))


def _decode_stored(stored: StoredObject) -> Spec:
    return decode_spec(stored.kind, stored.name, msgspec.json.decode(stored.value))


def _write_order_key(declaration: Declaration) -> tuple[int, str]:
    return (_WRITE_ORDER.index(declaration.kind), declaration.name)
