"""A run's orders to the books of declared budgets, and what their replies tell."""

import time
from collections.abc import Callable

from returns.result import Failure, Result, Success

from whinrack.budgets._account import DrawOrder, DrawResult
from whinrack.budgets._account_writer import AccountBackend
from whinrack.budgets._grant import Grant, GrantOptions
from whinrack.budgets._schedule import ReleaseSchedule, WallClockReading
from whinrack.exceptions import PlatformFailure, PlatformUnavailable

__all__ = ["BookOrders", "call_here", "unchecked_wall_clock"]

# What is held beyond so many times the wanted tokens is given back.
_SURPLUS = 1.25
# For so long after the store came back nothing is given back.
_RESTATING_SECONDS = 5.0


def unchecked_wall_clock() -> WallClockReading:
    """Read the time of day of a machine without peers that could check it."""
    return WallClockReading(time.time())


def call_here(function: Callable, seconds: float | None) -> Result:
    """Call a function to its end, whatever time it takes."""
    return function()


class BookOrders:
    """Writes and sends orders for the grants of one run.

    Parameters
    ----------
    grants : dict of str to Grant
        Those of the keeper, by budget.
    books : BookSource
    options : GrantOptions
    clock, wall_clock, isolate : callable
        See `GrantKeeper`.
    supplies : callable
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
        books: AccountBackend,
        options: GrantOptions,
        clock: Callable[[], float],
        wall_clock: Callable[[], WallClockReading],
        isolate: Callable[[Callable, float | None], Result | None],
        supplies: Callable[[str], bool],
    ):
        self.grants = grants
        self.books = books
        self.options = options
        self.clock = clock
        self.wall_clock = wall_clock
        self.isolate = isolate
        self.supplies = supplies
        self.stopping = False
        self.answered_at = clock()
        self._lost = False
        self._asked_at: float | None = None
        self._limits: dict[str, int] = {}
        self._limit_version = 0
        self._limit_changed_in: dict[str, int] = {}
        # What the store lost is stated again in this era and for some seconds more.
        self._restated_era = 0
        self._restated_until = float("-inf")

    def restate(self, era: int) -> None:
        """Learn that the store came back from a copy: the books may lack what is held here."""
        if era > self._restated_era:
            self._restated_era = era
            self._restated_until = self.clock() + _RESTATING_SECONDS

    def _is_lost(self, grant: Grant) -> bool:
        """Whether the books may lack what this run stated last of a grant."""
        return bool(grant.ledger.sequence) and (grant.ledger.era or 0) < self._restated_era

    def declare(self, version: int, limits: dict[str, int]) -> None:
        """Take in the limits of a newer version of the configuration."""
        if version <= self._limit_version:
            return
        self._limit_version = version
        for budget, limit in limits.items():
            if self._limits.get(budget) != limit:
                self._limit_changed_in[budget] = version
        self._limits = dict(limits)

    def limited(self, budget: str) -> bool:
        """Whether the configuration states a limit for a budget."""
        return budget in self._limits

    def limited_budgets(self) -> list[str]:
        """Return the budgets that the configuration states a limit for."""
        return list(self._limits)

    def limit(self, budget: str) -> int:
        """Return the limit that the configuration states for a budget, 0 for none."""
        return self._limits.get(budget, 0)

    @property
    def books_answer(self) -> bool:
        """Whether the books can be reached, as far as is known."""
        if self._lost:
            return False
        waiting_since = self._asked_at
        waited = 0.0 if waiting_since is None else self.clock() - waiting_since
        return waited < self.options.store_patience

    def regained(self) -> None:
        """Learn from others' calls that the books can be reached again.

        An order that still waits was sent before, maybe on a connection that is dead.
        """
        self._lost = False
        self._asked_at = None

    def books_know_limit(self, grant: Grant) -> bool:
        """Whether the books, when they answered last, had the limit that is in force here."""
        changed_in = self._limit_changed_in.get(grant.ledger.budget, 0)
        return grant.last is not None and grant.last.limit_version >= changed_in

    def due(self, grant: Grant) -> bool:
        """Whether the books should hear of a grant now."""
        if grant.ledger.is_closed:
            return False
        if self.stopping and grant.ledger.spendable > 0:
            return True
        if not grant.ledger.sequence or self._is_lost(grant):
            return True
        if grant.ledger.has_unreported_totals and self._report_is_due(grant):
            return True
        if grant.last is None or self._limit_version > grant.last.limit_version:
            return True
        if self._excess(grant):
            return True
        # A lender has nothing to report, and stated its schedule as seldom as an idle holder: when
        # all lost power after an outage 0.130 of a large budget was out of use, 0.067 so.
        if grant.lends(self.clock()):
            return True
        return grant.overdrawn() or grant.releases_idly(self.clock())

    def _report_is_due(self, grant: Grant) -> bool:
        """Whether use has to be told now; a run that another one supplies tells it later."""
        if self.stopping or self.supplies(grant.ledger.budget):
            return True
        return self.clock() - grant.ordered_at >= self.options.report_seconds

    def order(self, grant: Grant, need: int = 0, final: bool = False) -> DrawOrder:
        """Report what was used, ask for more and state a schedule, which binds from now on."""
        ledger = grant.ledger
        grant.ordered_at = self.clock()
        supplies = self.supplies(ledger.budget)
        if self.stopping:
            ledger.give_back(ledger.spendable - need)
        elif self.clock() < self._restated_until:
            # What came back meanwhile would look like what nobody states again.
            pass
        elif grant.overdrawn():
            ledger.give_back(min(ledger.spendable, -grant.last.free))
        elif not supplies:
            ledger.give_back(self._excess(grant) - need)
        want = self._wanted(grant) if supplies else grant.waiting
        if supplies and not need and self.clock() >= self._restated_until:
            # What was held while the demand was hardly known.
            ledger.give_back(ledger.spendable - int(_SURPLUS * want))
        short = max(0, need - ledger.spendable)
        wish = max(0, want - ledger.spendable - short)
        schedule = self._schedule(grant, need + grant.waiting)
        order = ledger.next_order(
            need=short,
            want=0 if self.stopping else wish,
            final=final,
            given=sum(ledger.given.values()) if final else None,
            limit=self.limit(ledger.budget),
            limit_version=self._limit_version if ledger.budget in self._limits else 0,
            schedule=schedule,
        )
        grant.guard.stated(order.sequence, schedule)
        return order

    def _excess(self, grant: Grant) -> int:
        """Return the tokens that the supplier of the budget should have instead."""
        if self.supplies(grant.ledger.budget):
            return 0
        return grant.excess(self.options.supply_seconds, self.clock())

    def _wanted(self, grant: Grant) -> int:
        """Return the tokens to hold: for some time, for one request more, and for who waits."""
        now, options = self.clock(), self.options
        ahead = int(grant.demand.rate(now) * self._horizon(grant))
        if grant.lasts_for(now) > options.scarce_horizon:
            most = grant.demand.most(now, options.outage_seconds, grant.largest)
            ahead = max(ahead, most)
        return max(ahead + grant.largest, 2 * self._opening(grant)) + grant.waiting

    def _horizon(self, grant: Grant) -> float:
        """Return the seconds of demand to hold: more while the demand is hardly known.

        A large budget came into use 5 s before an outage of 8 s, and its use grew threefold:
        replayed (ten seeds), 0.58 of its tokens were served with the usual horizon, 0.91 with
        this one.
        """
        options, now = self.options, self.clock()
        if grant.demand.age(now) >= options.young_seconds:
            return options.horizon
        held = min(options.young_horizon, options.young_part * grant.lasts_for(now))
        return max(options.horizon, held)

    def _opening(self, grant: Grant) -> int:
        """Return the tokens to release at first, before any demand is known."""
        if grant.demand.rate(self.clock()) > 0 or not self.supplies(grant.ledger.budget):
            return 0
        return int(self.limit(grant.ledger.budget) * self.options.opening_part)

    def _schedule(self, grant: Grant, need: int) -> ReleaseSchedule:
        """State anew what may be used; unchanged while the books are out of reach.

        Every schedule that may reach the books binds: a new one would only take back
        what the last one has released since.
        """
        if grant.stated is not None and self._lost:
            return grant.stated
        need = max(need, self._opening(grant))
        return grant.schedule(self.options, need, self.clock(), self.wall_clock())

    def send(
        self, orders: list[DrawOrder], seconds: float | None = None
    ) -> Result[None, PlatformFailure]:
        """Send orders and wait for the reply, for some seconds or for as long as it takes.

        An order that is not waited for any longer runs to its end all the same.
        """
        result = self.isolate(lambda: self._send_now(orders), seconds)
        if result is None:
            return Failure(PlatformUnavailable("the books have not answered yet"))
        return result

    def _send_now(self, orders: list[DrawOrder]) -> Result[None, PlatformFailure]:
        asked = self.clock()
        self._asked_at = asked if self._asked_at is None else self._asked_at
        result = self.books.draw_for_holder(orders)
        self._asked_at = None
        self._lost = isinstance(result, Failure)
        if self._lost:
            return Failure(result.failure())
        self.answered_at = self.clock()
        self._learn(orders, result.unwrap(), asked)
        return Success(None)

    def _learn(self, orders: list[DrawOrder], books: dict[str, DrawResult], asked: float) -> None:
        """Take in the books: the orders' results, and the state of all other budgets."""
        for budget, grant in self.grants.items():
            if asked >= grant.learnt_at and budget in books:
                grant.learn(books[budget], asked)
        for order in orders:
            answer = books.get(order.budget, DrawResult())
            grant = self.grants[order.budget]
            grant.ledger.apply_result(order, answer)
            if answer.sequence >= order.sequence:
                grant.guard.applied(answer.sequence)
