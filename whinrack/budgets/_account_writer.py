"""Applies draw orders to account objects, many with one conditional write."""

from collections.abc import Callable

from returns.result import Failure, Result, Success

from whinrack.budgets._account import BudgetAccount, DrawOrder, DrawResult
from whinrack.budgets._account_updates import apply_draws
from whinrack.budgets._budget_manager import TokenSource
from whinrack.budgets._draw_results import draw_result, results_for_holder
from whinrack.budgets._release import (
    ReleasedRow,
    RunRelease,
    find_earlier_runs,
    release_earlier_runs,
)
from whinrack.budgets._store_restore import (
    end_hold,
    is_account_of_earlier_era,
    is_later,
    restore_account,
)
from whinrack.clock import steady
from whinrack.exceptions import NotFound, PlatformFailure
from whinrack.store import ObjectEditor, ObjectStore

__all__ = ["ACCOUNT_KIND", "AccountWriter", "AccountBackend", "OrderBatch"]

ACCOUNT_KIND = "BudgetAccount"
# For so long after the store came back from a copy holders state what they hold before anybody
# draws: one that is fed by peers hears of it last.
_HOLD_SECONDS = 2.5


class OrderBatch:
    """Orders, and releases of earlier runs, that share the next write of one account.

    Attributes
    ----------
    released : dict of str to list of ReleasedRow
        What the write released, by the run that asked for it.
    """

    def __init__(self):
        self.orders: list[DrawOrder] = []
        self.releases: list[RunRelease] = []
        self.released: dict[str, list[ReleasedRow]] = {}
        self.result: Result[BudgetAccount, PlatformFailure] | None = None

    def apply(self, account: BudgetAccount | None) -> BudgetAccount | None:
        """Change the books; None where nothing is left to do."""
        # Anew with newer books after a conflict.
        self.released = {
            release.holder: release_earlier_runs(account, release) for release in self.releases
        }
        drawn = apply_draws(account, self.orders)
        return account if drawn is None and any(self.released.values()) else drawn

    @property
    def is_urgent(self) -> bool:
        """Whether a request waits for one of the orders, or its holder stops."""
        return any(order.need or order.final for order in self.orders)


def _write_at_once(batch: OrderBatch) -> None:
    """Write at once."""


class AccountBackend:
    """Where a holder's orders for several budgets go: the books, or a peer that writes."""

    def draw_for_holder(
        self, orders: list[DrawOrder]
    ) -> Result[dict[str, DrawResult], PlatformFailure]:
        """Apply one holder's orders for one account; returns the state of all budgets."""
        raise NotImplementedError

    def find_earlier_runs(self, account: str, holder: str) -> Result[list[str], PlatformFailure]:
        """Read which earlier runs of the holder's instance have open rows."""
        raise NotImplementedError

    def release_runs(
        self, account: str, release: RunRelease
    ) -> Result[list[ReleasedRow], PlatformFailure]:
        """Give back what earlier runs of an instance held and can't have used."""
        raise NotImplementedError


class AccountWriter(TokenSource, AccountBackend):
    """Draws from the platform; orders that arrive during a write share the next one.

    Parameters
    ----------
    store : ObjectStore
        Where the account objects are.
    make_lock : callable
        Makes a lock that waiting green threads queue on, one for each account.
    before_write : callable, optional
        Called with the `OrderBatch` before each write; orders that arrive while it pauses
        share the write.
    clock : callable, optional
        The steady clock, replaced in tests.

    Notes
    -----
    A wrong choice of drawer costs a conflict and a second write, never safety: the
    write is conditional whoever makes it.
    """

    def __init__(
        self,
        store: ObjectStore,
        make_lock: Callable,
        before_write: Callable[[OrderBatch], None] = _write_at_once,
        clock: Callable[[], float] = steady,
        **editor_options,
    ):
        self.store = store
        self.make_lock = make_lock
        self.before_write = before_write
        self.clock = clock
        # The latest books of an account that this writer has written or read.
        self._latest: dict[str, BudgetAccount] = {}
        # Since when books are held, as far as this writer knows.
        self._held_since: dict[str, float] = {}
        self._editor = ObjectEditor(store, ACCOUNT_KIND, BudgetAccount, **editor_options)
        self._locks: dict[str, object] = {}
        self._batches: dict[str, OrderBatch] = {}

    def draw(self, order: DrawOrder) -> Result[DrawResult, PlatformFailure]:
        """Apply an order together with the others that wait for the same account."""
        return self.draw_many([order]).map(lambda account: draw_result(account, order))

    def draw_for_holder(
        self, orders: list[DrawOrder]
    ) -> Result[dict[str, DrawResult], PlatformFailure]:
        """Apply one holder's orders for one account; returns the state of all budgets."""
        holder = orders[0].holder
        return self.draw_many(orders).map(
            lambda account: results_for_holder(account, holder, orders)
        )

    def draw_many(self, orders: list[DrawOrder]) -> Result[BudgetAccount, PlatformFailure]:
        """Apply orders for one account, with the others that wait for it.

        Returns
        -------
        BudgetAccount
            All state of the account after the write.
        """
        account = orders[0].account
        batch = self._batches.setdefault(account, OrderBatch())
        batch.orders.extend(orders)
        return self._write(account, batch)

    def find_earlier_runs(self, account: str, holder: str) -> Result[list[str], PlatformFailure]:
        """Read which earlier runs of the holder's instance have open rows."""
        result = self._editor.read(account)
        result.map(lambda value: self._update_latest(account, value))
        if isinstance(result, Failure) and isinstance(result.failure(), NotFound):
            return Success([])
        return result.map(lambda value: find_earlier_runs(value, holder))

    def release_runs(
        self, account: str, release: RunRelease
    ) -> Result[list[ReleasedRow], PlatformFailure]:
        """Give back what earlier runs of an instance held and can't have used."""
        batch = self._batches.setdefault(account, OrderBatch())
        batch.releases.append(release)
        return self._write(account, batch).map(lambda _: batch.released[release.holder])

    def _write(self, account: str, batch: OrderBatch) -> Result[BudgetAccount, PlatformFailure]:
        """Write a batch unless another of its orders has done so; returns the books."""
        lock = self._locks.setdefault(account, self.make_lock())
        with lock:
            if batch.result is None:
                self.before_write(batch)
                self._batches.pop(account)
                batch.result = self._editor.apply(
                    account, lambda state: self._apply_batch(account, batch, state)
                )
                batch.result.map(lambda state: self._update_latest(account, state))
        return batch.result

    def _update_latest(self, account: str, state: BudgetAccount) -> None:
        latest = self._latest.get(account)
        if latest is None or is_later(state, latest):
            self._latest[account] = state

    def _apply_batch(
        self, account: str, batch: OrderBatch, state: BudgetAccount | None
    ) -> BudgetAccount | None:
        """Return the books after a batch, None where nothing is left to do."""
        state = self._recover(account, state)
        changed = batch.apply(state)
        if changed is not None:
            changed.era = max(changed.era or 0, self.store.era.current)
            changed.edition += 1
        return changed

    def _recover(self, account: str, state: BudgetAccount | None) -> BudgetAccount | None:
        """Return books to go on with, whatever the store lost of them."""
        era, now = self.store.era.current, self.clock()
        latest = self._latest.get(account)
        is_lost = state is None and latest is not None
        if is_lost or (state is not None and is_account_of_earlier_era(state, era)):
            state = restore_account(state, latest, era)
            self._held_since[account] = now
        if state is not None and state.is_held:
            since = self._held_since.setdefault(account, now)
            if now - since >= _HOLD_SECONDS:
                end_hold(state)
        return state
