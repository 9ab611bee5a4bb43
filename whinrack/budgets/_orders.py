"""A run's orders to the books of declared budgets, and what their replies tell."""

import time
from collections.abc import Callable

from returns.result import Failure, Result, Success

from whinrack.budgets._account import DrawOrder, DrawResult
from whinrack.budgets._account_writer import AccountBackend
from whinrack.budgets._grant import Grant, GrantOptions
from whinrack.budgets._schedule import ReleaseSchedule, WallClockReading
from whinrack.exceptions import PlatformFailure, PlatformUnavailable

__all__ = ["GrantOrders", "call_directly", "unchecked_wall_clock"]

# What is held beyond so many times the wanted tokens is given back.
_SURPLUS_FACTOR = 1.25
# For so long after the store came back nothing is given back.
_RESTORE_SECONDS = 5.0


def unchecked_wall_clock() -> WallClockReading:
    """Read the time of day of a machine without peers that could check it."""
    return WallClockReading(time.time())


def call_directly(function: Callable, seconds: float | None) -> Result:
    """Call a function to its end, whatever time it takes."""
    return function()


class GrantOrders:
    """Writes and sends orders for the grants of one run.

    Parameters
    ----------
    grants : dict of str to Grant
        Those of the keeper, by budget.
    backend : BookSource
    options : GrantOptions
    clock, wall_clock, isolate : callable
        See `GrantKeeper`.
    is_supplier : callable
        Tells whether this run draws a budget ahead.

    Attributes
    ----------
    stopping : bool
        Nothing is drawn ahead any more, and what isn't needed is given back.
    answered_at : float
        When the books answered last.
    """

    def __init__(
        self,
        grants: dict[str, Grant],
        backend: AccountBackend,
        options: GrantOptions,
        clock: Callable[[], float],
        wall_clock: Callable[[], WallClockReading],
        isolate: Callable[[Callable, float | None], Result | None],
        is_supplier: Callable[[str], bool],
    ):
        self.grants = grants
        self.backend = backend
        self.options = options
        self.clock = clock
        self.wall_clock = wall_clock
        self.isolate = isolate
        self.is_supplier = is_supplier
        self.is_stopping = False
        self.last_answer_at = clock()
        self._is_unreachable = False
        self._waiting_since: float | None = None
        self._limits: dict[str, int] = {}
        self._limit_version = 0
        self._limit_changed_version: dict[str, int] = {}
        # What the store lost is stated again in this era and for some seconds more.
        self._restored_era = 0
        self._restore_ends_at = float("-inf")

    def handle_store_restored(self, era: int) -> None:
        """Learn that the store came back from a copy: the books may lack what is held here."""
        if era > self._restored_era:
            self._restored_era = era
            self._restore_ends_at = self.clock() + _RESTORE_SECONDS

    def _may_be_lost(self, grant: Grant) -> bool:
        """Whether the books may lack what this run stated last of a grant."""
        return bool(grant.ledger.sequence) and (grant.ledger.era or 0) < self._restored_era

    def set_limits(self, version: int, limits: dict[str, int]) -> None:
        """Take in the limits of a newer version of the configuration."""
        if version <= self._limit_version:
            return
        self._limit_version = version
        for budget, limit in limits.items():
            if self._limits.get(budget) != limit:
                self._limit_changed_version[budget] = version
        self._limits = dict(limits)

    def has_limit(self, budget: str) -> bool:
        """Whether the configuration states a limit for a budget."""
        return budget in self._limits

    def limited_budgets(self) -> list[str]:
        """Return the budgets that the configuration states a limit for."""
        return list(self._limits)

    def limit(self, budget: str) -> int:
        """Return the limit that the configuration states for a budget, 0 for none."""
        return self._limits.get(budget, 0)

    @property
    def is_store_reachable(self) -> bool:
        """Whether the books can be reached, as far as is known."""
        if self._is_unreachable:
            return False
        waiting_since = self._waiting_since
        waited = 0.0 if waiting_since is None else self.clock() - waiting_since
        return waited < self.options.store_timeout

    def handle_store_reachable(self) -> None:
        """Learn from others' calls that the books can be reached again.

        An order that still waits was sent before, maybe on a connection that is dead.
        """
        self._is_unreachable = False
        self._waiting_since = None

    def is_limit_stored(self, grant: Grant) -> bool:
        """Whether the books, when they answered last, had the limit that is in force here."""
        changed_in = self._limit_changed_version.get(grant.ledger.budget, 0)
        return grant.last_result is not None and grant.last_result.limit_version >= changed_in

    def is_due(self, grant: Grant) -> bool:
        """Whether the books should hear of a grant now."""
        if grant.ledger.is_closed:
            return False
        if self.is_stopping and grant.ledger.spendable > 0:
            return True
        if not grant.ledger.sequence or self._may_be_lost(grant):
            return True
        if grant.ledger.has_unreported_totals and self._is_report_due(grant):
            return True
        if grant.last_result is None or self._limit_version > grant.last_result.limit_version:
            return True
        if self._excess(grant):
            return True
        # A lender has nothing to report, and stated its schedule as seldom as an idle holder: when
        # all lost power after an outage 0.130 of a large budget was out of use, 0.067 so.
        if grant.is_lending(self.clock()):
            return True
        return grant.is_overdrawn() or grant.is_releasing_unused(self.clock())

    def _is_report_due(self, grant: Grant) -> bool:
        """Whether use has to be told now; a run that another one supplies tells it later."""
        if self.is_stopping or self.is_supplier(grant.ledger.budget):
            return True
        return self.clock() - grant.last_order_at >= self.options.report_interval

    def make_order(self, grant: Grant, need: int = 0, final: bool = False) -> DrawOrder:
        """Report what was used, ask for more and state a schedule, which binds from now on."""
        ledger = grant.ledger
        grant.last_order_at = self.clock()
        is_supplier = self.is_supplier(ledger.budget)
        if self.is_stopping:
            ledger.return_tokens(ledger.spendable - need)
        elif self.clock() < self._restore_ends_at:
            # What came back meanwhile would look like what nobody states again.
            pass
        elif grant.is_overdrawn():
            ledger.return_tokens(min(ledger.spendable, -grant.last_result.free))
        elif not is_supplier:
            ledger.return_tokens(self._excess(grant) - need)
        want = self._wanted_tokens(grant) if is_supplier else grant.waiting_tokens
        if is_supplier and not need and self.clock() >= self._restore_ends_at:
            # What was held while the demand was hardly known.
            ledger.return_tokens(ledger.spendable - int(_SURPLUS_FACTOR * want))
        short = max(0, need - ledger.spendable)
        wish = max(0, want - ledger.spendable - short)
        schedule = self._make_schedule(grant, need + grant.waiting_tokens)
        order = ledger.next_order(
            need=short,
            want=0 if self.is_stopping else wish,
            final=final,
            given=sum(ledger.given.values()) if final else None,
            limit=self.limit(ledger.budget),
            limit_version=self._limit_version if ledger.budget in self._limits else 0,
            schedule=schedule,
        )
        grant.guard.record_sent(order.sequence, schedule)
        return order

    def _excess(self, grant: Grant) -> int:
        """Return the tokens that the supplier of the budget should have instead."""
        if self.is_supplier(grant.ledger.budget):
            return 0
        return grant.excess(self.options.supply_seconds, self.clock())

    def _wanted_tokens(self, grant: Grant) -> int:
        """Return the tokens to hold: for some time, for one request more, and for who waits."""
        now, options = self.clock(), self.options
        ahead = int(grant.demand.rate(now) * self._horizon(grant))
        if grant.seconds_left(now) > options.plentiful_seconds:
            most = grant.demand.upper_bound(now, options.outage_seconds, grant.largest_request)
            ahead = max(ahead, most)
        return (
            max(ahead + grant.largest_request, 2 * self._opening_tokens(grant))
            + grant.waiting_tokens
        )

    def _horizon(self, grant: Grant) -> float:
        """Return the seconds of demand to hold: more while the demand is hardly known.

        A large budget came into use 5 s before an outage of 8 s, and its use grew threefold:
        replayed (ten seeds), 0.58 of its tokens were served with the usual horizon, 0.91 with
        this one.
        """
        options, now = self.options, self.clock()
        if grant.demand.age(now) >= options.young_seconds:
            return options.horizon
        held = min(options.young_horizon, options.young_fraction * grant.seconds_left(now))
        return max(options.horizon, held)

    def _opening_tokens(self, grant: Grant) -> int:
        """Return the tokens to release at first, before any demand is known."""
        if grant.demand.rate(self.clock()) > 0 or not self.is_supplier(grant.ledger.budget):
            return 0
        return int(self.limit(grant.ledger.budget) * self.options.opening_fraction)

    def _make_schedule(self, grant: Grant, need: int) -> ReleaseSchedule:
        """State anew what may be used; unchanged while the books are out of reach.

        Every schedule that may reach the books binds: a new one would only take back
        what the last one has released since.
        """
        if grant.last_schedule is not None and self._is_unreachable:
            return grant.last_schedule
        need = max(need, self._opening_tokens(grant))
        return grant.make_schedule(self.options, need, self.clock(), self.wall_clock())

    def send(
        self, orders: list[DrawOrder], seconds: float | None = None
    ) -> Result[None, PlatformFailure]:
        """Send orders and wait for the reply, for some seconds or for as long as it takes.

        An order that is not waited for any longer runs to its end all the same.
        """
        result = self.isolate(lambda: self._send_blocking(orders), seconds)
        if result is None:
            return Failure(PlatformUnavailable("the books have not answered yet"))
        return result

    def _send_blocking(self, orders: list[DrawOrder]) -> Result[None, PlatformFailure]:
        requested_at = self.clock()
        self._waiting_since = requested_at if self._waiting_since is None else self._waiting_since
        result = self.backend.draw_for_holder(orders)
        self._waiting_since = None
        self._is_unreachable = isinstance(result, Failure)
        if self._is_unreachable:
            return Failure(result.failure())
        self.last_answer_at = self.clock()
        self._apply_results(orders, result.unwrap(), requested_at)
        return Success(None)

    def _apply_results(
        self, orders: list[DrawOrder], results: dict[str, DrawResult], requested_at: float
    ) -> None:
        """Take in the books: the orders' results, and the state of all other budgets."""
        for budget, grant in self.grants.items():
            if requested_at >= grant.last_result_at and budget in results:
                grant.update(results[budget], requested_at)
        for order in orders:
            result = results.get(order.budget, DrawResult())
            grant = self.grants[order.budget]
            grant.ledger.apply_result(order, result)
            if result.sequence >= order.sequence:
                grant.guard.record_applied(result.sequence)
