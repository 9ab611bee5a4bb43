"""Applies draw orders to account objects, many with one conditional write."""

from collections.abc import Callable

from returns.result import Result

from whinrack.budgets._books import BudgetAccount, DrawOrder, DrawResult
from whinrack.budgets._draws import apply_draws
from whinrack.budgets._keeper import TokenSource
from whinrack.budgets._reading import books_for, draw_result
from whinrack.budgets._release import ReleasedRow, release_earlier_runs
from whinrack.budgets._schedule import RestartMoment
from whinrack.exceptions import PlatformFailure
from whinrack.store import ObjectEditor, ObjectStore

__all__ = ["ACCOUNT_KIND", "AccountDrawer", "BookSource", "OrderBatch"]

ACCOUNT_KIND = "BudgetAccount"


class OrderBatch:
    """Orders that share the next write of one account."""

    def __init__(self):
        self.orders: list[DrawOrder] = []
        self.result: Result[BudgetAccount, PlatformFailure] | None = None

    @property
    def is_urgent(self) -> bool:
        """Whether a request waits for one of the orders, or its holder stops."""
        return any(order.need or order.final for order in self.orders)


def _no_pause(batch: OrderBatch) -> None:
    """Write at once."""


class BookSource:
    """Where a holder's orders for several budgets go: the books, or a peer that writes."""

    def draw_books(self, orders: list[DrawOrder]) -> Result[dict[str, DrawResult], PlatformFailure]:
        """Apply one holder's orders for one account; returns the state of all budgets."""
        raise NotImplementedError


class AccountDrawer(TokenSource, BookSource):
    """Draws from the platform; orders that arrive during a write share the next one.

    Parameters
    ----------
    store : ObjectStore
        Where the account objects are.
    make_lock : callable
        Makes a lock that waiting green threads queue on, one for each account.
    collect : callable, optional
        Called with the `OrderBatch` before each write; orders that arrive while it pauses
        share the write.

    Notes
    -----
    A wrong choice of drawer costs a conflict and a second write, never safety: the
    write is conditional whoever makes it.
    """

    def __init__(
        self,
        store: ObjectStore,
        make_lock: Callable,
        collect: Callable[[OrderBatch], None] = _no_pause,
        **editor_options,
    ):
        self.store = store
        self.make_lock = make_lock
        self.collect = collect
        self._editor = ObjectEditor(store, ACCOUNT_KIND, BudgetAccount, **editor_options)
        self._locks: dict[str, object] = {}
        self._batches: dict[str, OrderBatch] = {}

    def draw(self, order: DrawOrder) -> Result[DrawResult, PlatformFailure]:
        """Apply an order together with the others that wait for the same account."""
        return self.draw_many([order]).map(lambda account: draw_result(account, order))

    def draw_books(self, orders: list[DrawOrder]) -> Result[dict[str, DrawResult], PlatformFailure]:
        """Apply one holder's orders for one account; returns the state of all budgets."""
        holder = orders[0].holder
        return self.draw_many(orders).map(lambda account: books_for(account, holder, orders))

    def draw_many(self, orders: list[DrawOrder]) -> Result[BudgetAccount, PlatformFailure]:
        """Apply orders for one account, with the others that wait for it.

        Returns
        -------
        BudgetAccount
            All books of the account after the write.
        """
        account = orders[0].account
        batch = self._batches.setdefault(account, OrderBatch())
        batch.orders.extend(orders)
        lock = self._locks.setdefault(account, self.make_lock())
        with lock:
            if batch.result is None:
                self.collect(batch)
                self._batches.pop(account)
                batch.result = self._write(account, batch.orders)
        return batch.result

    def release_earlier_runs(
        self, account: str, holder: str, restart: RestartMoment
    ) -> Result[list[ReleasedRow], PlatformFailure]:
        """Give back what earlier runs of the holder's instance can't have used."""
        rows: list[ReleasedRow] = []

        def release(value: BudgetAccount | None) -> BudgetAccount | None:
            # Called again with newer books after a conflict.
            rows[:] = release_earlier_runs(value, holder, restart)
            return value if rows else None

        return self._editor.apply(account, release).map(lambda _: rows)

    def _write(self, account: str, orders: list[DrawOrder]):
        return self._editor.apply(account, lambda value: apply_draws(value, orders))
