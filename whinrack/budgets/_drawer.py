"""Applies draw orders to account objects, many with one conditional write."""

from collections.abc import Callable

from returns.result import Failure, Result, Success

from whinrack.budgets._account import (
    BudgetAccount,
    DrawOrder,
    DrawResult,
    apply_draws,
    draw_result,
)
from whinrack.budgets._keeper import TokenSource
from whinrack.exceptions import PlatformFailure
from whinrack.store import ObjectEditor, ObjectStore

__all__ = ["ACCOUNT_KIND", "AccountDrawer"]

ACCOUNT_KIND = "BudgetAccount"


class _Batch:
    """Orders that share the next write of one account."""

    def __init__(self):
        self.orders: list[DrawOrder] = []
        self.result: Result[BudgetAccount, PlatformFailure] | None = None


class AccountDrawer(TokenSource):
    """Draws from the platform; orders that arrive during a write share the next one.

    Parameters
    ----------
    store : ObjectStore
        Where the account objects are.
    make_lock : callable
        Makes a lock that waiting green threads queue on, one for each account.

    Notes
    -----
    A wrong choice of drawer costs a conflict and a second write, never safety: the
    write is conditional whoever makes it.
    """

    def __init__(self, store: ObjectStore, make_lock: Callable, **editor_options):
        self.store = store
        self.make_lock = make_lock
        self._editor = ObjectEditor(store, ACCOUNT_KIND, BudgetAccount, **editor_options)
        self._locks: dict[str, object] = {}
        self._batches: dict[str, _Batch] = {}

    def draw(self, order: DrawOrder) -> Result[DrawResult, PlatformFailure]:
        """Apply an order together with the others that wait for the same account."""
        batch = self._batches.setdefault(order.account, _Batch())
        batch.orders.append(order)
        lock = self._locks.setdefault(order.account, self.make_lock())
        with lock:
            if batch.result is None:
                self._batches.pop(order.account)
                batch.result = self._write(order.account, batch.orders)
        if isinstance(batch.result, Failure):
            return Failure(batch.result.failure())
        return Success(draw_result(batch.result.unwrap(), order))

    def _write(self, account: str, orders: list[DrawOrder]):
        return self._editor.apply(account, lambda value: apply_draws(value, orders))
