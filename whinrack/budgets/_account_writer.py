"""Writer that applies draw orders to account objects, many orders per conditional write."""

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
# Draws stay suspended for this long after the store was restored from a copy, so that holders can
# report what they hold. Holders that get configuration through peers learn of the restore last.
_HOLD_SECONDS = 2.5


class OrderBatch:
    """Orders and releases of earlier runs that share the next write of one account.

    Attributes
    ----------
    released : dict of str to list of ReleasedRow
        What the write released, by the run that requested it.
    """

    def __init__(self):
        self.orders: list[DrawOrder] = []
        self.releases: list[RunRelease] = []
        self.released: dict[str, list[ReleasedRow]] = {}
        self.result: Result[BudgetAccount, PlatformFailure] | None = None

    def apply(self, account: BudgetAccount | None) -> BudgetAccount | None:
        """Modify the account; return None if nothing changed."""
        # Rebuilt on each call: after a conflict, the batch is applied again to a newer account.
        self.released = {
            release.holder: release_earlier_runs(account, release) for release in self.releases
        }
        drawn = apply_draws(account, self.orders)
        return account if drawn is None and any(self.released.values()) else drawn

    @property
    def is_urgent(self) -> bool:
        """Whether a request waits for one of the orders, or a holder is stopping."""
        return any(order.need or order.final for order in self.orders)


def _is_never_superseded(account: str) -> bool:
    """Return False: there is no other writer."""
    return False


def _write_at_once(batch: OrderBatch) -> None:
    """Return at once, so that nothing delays the write."""


class AccountBackend:
    """Executor of a holder's orders for several budgets: the local writer or a peer."""

    def draw_for_holder(
        self, orders: list[DrawOrder]
    ) -> Result[dict[str, DrawResult], PlatformFailure]:
        """Apply one holder's orders for one account; return the state of all its budgets."""
        raise NotImplementedError

    def find_earlier_runs(self, account: str, holder: str) -> Result[list[str], PlatformFailure]:
        """Return the earlier runs of the holder's instance that have open rows."""
        raise NotImplementedError

    def release_runs(
        self, account: str, release: RunRelease
    ) -> Result[list[ReleasedRow], PlatformFailure]:
        """Free what earlier runs of an instance held and can't have used."""
        raise NotImplementedError


class AccountWriter(TokenSource, AccountBackend):
    """Applies orders in the store; orders that arrive during a write share the next one.

    Parameters
    ----------
    store : ObjectStore
        Stores the account objects.
    make_lock : callable
        Makes a lock that green threads can wait for; one is made for each account.
    before_write : callable, optional
        Called with the `OrderBatch` before each write. Orders that arrive until it returns share
        the write.
    clock : callable, optional
        Monotonic clock, replaced in tests.
    is_superseded : callable, optional
        Called with the name of the account after a conflict. If it returns True, another instance
        should write the batch, and its orders fail with the `Conflict`.

    Notes
    -----
    If several writers serve the same account, this costs conflicts and repeated writes but never
    safety, since every write is conditional.
    """

    def __init__(
        self,
        store: ObjectStore,
        make_lock: Callable,
        before_write: Callable[[OrderBatch], None] = _write_at_once,
        clock: Callable[[], float] = steady,
        is_superseded: Callable[[str], bool] = _is_never_superseded,
        **editor_options,
    ):
        self.store = store
        self.make_lock = make_lock
        self.before_write = before_write
        self.clock = clock
        self.is_superseded = is_superseded
        # Latest state of each account that this writer has written or read.
        self._latest: dict[str, BudgetAccount] = {}
        # When this writer first saw that draws on an account are suspended.
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
        """Apply one holder's orders for one account; return the state of all its budgets."""
        holder = orders[0].holder
        return self.draw_many(orders).map(
            lambda account: results_for_holder(account, holder, orders)
        )

    def draw_many(self, orders: list[DrawOrder]) -> Result[BudgetAccount, PlatformFailure]:
        """Apply orders for one account, together with the others that wait for it.

        Returns
        -------
        BudgetAccount
            The whole account after the write.
        """
        account = orders[0].account
        batch = self._batches.setdefault(account, OrderBatch())
        batch.orders.extend(orders)
        return self._write(account, batch)

    def find_earlier_runs(self, account: str, holder: str) -> Result[list[str], PlatformFailure]:
        """Return the earlier runs of the holder's instance that have open rows."""
        result = self._editor.read(account)
        result.map(lambda value: self._update_latest(account, value))
        if isinstance(result, Failure) and isinstance(result.failure(), NotFound):
            return Success([])
        return result.map(lambda value: find_earlier_runs(value, holder))

    def release_runs(
        self, account: str, release: RunRelease
    ) -> Result[list[ReleasedRow], PlatformFailure]:
        """Free what earlier runs of an instance held and can't have used."""
        batch = self._batches.setdefault(account, OrderBatch())
        batch.releases.append(release)
        return self._write(account, batch).map(lambda _: batch.released[release.holder])

    def _write(self, account: str, batch: OrderBatch) -> Result[BudgetAccount, PlatformFailure]:
        """Write a batch unless another of its orders has already done so; return the account."""
        lock = self._locks.setdefault(account, self.make_lock())
        with lock:
            if batch.result is None:
                self.before_write(batch)
                self._batches.pop(account)
                batch.result = self._editor.apply(
                    account,
                    lambda state: self._apply_batch(account, batch, state),
                    lambda: self.is_superseded(account),
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
        """Return the account after a batch, None if nothing changed."""
        state = self._recover(account, state)
        changed = batch.apply(state)
        if changed is not None:
            changed.era = max(changed.era or 0, self.store.era.current)
            changed.edition += 1
        return changed

    def _recover(self, account: str, state: BudgetAccount | None) -> BudgetAccount | None:
        """Return the account to continue with, recovered if the store lost writes to it."""
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
