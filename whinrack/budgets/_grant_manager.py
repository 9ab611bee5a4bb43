"""Short grants of declared budgets: drawn ahead, reported often and recovered after a crash.

`BudgetManager` serves paid budgets with grants that last for minutes. This manager serves budgets
whose limit the configuration declares, on machines without persistent state. A grant lasts for
some seconds of demand, long enough for an outage of the store. Its holder declares a
`ReleaseSchedule`, so that the next run can recover what a killed run did not use.
"""

from collections.abc import Callable, Collection, Iterator
from contextlib import AbstractContextManager, nullcontext
from typing import NamedTuple

from returns.result import Failure, Result, Success

from whinrack.budgets._account import DrawResult
from whinrack.budgets._account_writer import AccountBackend
from whinrack.budgets._budget_manager import SpareTokenSource
from whinrack.budgets._covers import CoverAllocator
from whinrack.budgets._exposure import Exposure, exposure_of
from whinrack.budgets._grant import Grant, GrantOptions
from whinrack.budgets._ledger import BudgetLedger, Cover
from whinrack.budgets._orders import GrantOrders, call_directly, unchecked_wall_clock
from whinrack.budgets._release import ReleasedRow, RunRelease
from whinrack.budgets._schedule import RestartTime, WallClockReading
from whinrack.clock import steady
from whinrack.exceptions import (
    PlatformFailure,
    Refusal,
)

__all__ = ["GrantManager"]


class GivenTotal(NamedTuple):
    """Cumulative tokens of a budget that this run gave to another one."""

    budget: str
    receiver: str
    total: int


class GrantManager:
    """Manages all grants of one run of an instance.

    Parameters
    ----------
    holder : str
        Incarnation of this run.
    account : str
        Name of the account object.
    backend : AccountBackend
        Applies orders to the account and recovers what earlier runs held.
    spares : SpareTokenSource
        Asked when the account has no free tokens or the store is unreachable.
    options : GrantOptions
    clock, make_lock : callable, optional
        Replaced in tests.
    wall_clock : callable, optional
        Reads the time of day and tells whether it was verified.
    isolate : callable, optional
        Runs a function to completion even if its caller is cancelled. Returns its result, or None
        if that takes longer than the given seconds; None as seconds means no limit.
    """

    def __init__(
        self,
        holder: str,
        account: str,
        backend: AccountBackend,
        spares: SpareTokenSource,
        options: GrantOptions,
        clock: Callable[[], float] = steady,
        wall_clock: Callable[[], WallClockReading] = unchecked_wall_clock,
        make_lock: Callable[[], AbstractContextManager] = nullcontext,
        isolate: Callable[[Callable, float | None], Result | None] = call_directly,
    ):
        self.holder = holder
        self.account = account
        self.backend = backend
        self.spares = spares
        self.options = options
        self.clock = clock
        self.make_lock = make_lock
        # Set once the peers are known, so that not every instance draws all budgets ahead.
        self.can_draw_ahead = False
        self._grants: dict[str, Grant] = {}
        self._orders = GrantOrders(
            self._grants, backend, options, clock, wall_clock, isolate, spares.is_supplier
        )
        self._covers = CoverAllocator(self._orders, spares, options, clock)

    @property
    def is_store_reachable(self) -> bool:
        """Whether the store can be reached, as far as is known."""
        return self._orders.is_store_reachable

    @property
    def last_answer_at(self) -> float:
        """Monotonic time when the store last answered an order."""
        return self._orders.last_answer_at

    def set_limits(self, version: int, limits: dict[str, int]) -> None:
        """Apply the limits of a newer version of the configuration."""
        self._orders.set_limits(version, limits)

    def has_limit(self, budget: str) -> bool:
        """Return whether the configuration declares a limit for a budget."""
        return self._orders.has_limit(budget)

    def set_urgencies(self, urgencies: Collection[int]) -> None:
        """Set the priorities of the routes that use tokens; reserves need two at least."""
        self._covers.reserves.set_urgencies(urgencies)

    def cover(self, budget: str, tokens: int, urgency: int = 0) -> Result[Cover, Refusal]:
        """Reserve tokens for one request: held here, from the account, or from peers.

        Parameters
        ----------
        urgency : int
            Priority of the route, 0 for the most urgent. Short budgets keep tokens for the more
            urgent routes.
        """
        return self._covers.cover(self._grant(budget), tokens, urgency)

    def reserve(self, budget: str, urgency: int) -> int:
        """Return the tokens that a budget keeps for more urgent requests now, for logs."""
        grant = self._grants.get(budget)
        return self._covers.reserves.reserve(grant, urgency) if grant is not None else 0

    def begin_reserve(self, budget: str) -> bool:
        """Record that a reserve refused a request; return whether it was not held before."""
        return self._covers.reserves.held.record_refusal(budget, self.clock())

    def take_ended_reserves(self) -> list[str]:
        """Return the budgets whose reserve has refused nothing for a while, once each."""
        return self._covers.reserves.held.take_ended(self.clock())

    def give(
        self,
        budget: str,
        receiver: str,
        already_received: int,
        need: int,
        wish: int,
        draw: bool = False,
    ) -> int:
        """Give tokens to a peer that ran out; return the cumulative total.

        Parameters
        ----------
        draw : bool
            Whether to draw missing tokens from the account first.

        Notes
        -----
        May block: tokens that the stored schedule doesn't release must be covered by a new
        schedule in the account before they are given away.
        """
        grant = self._grants.get(budget)
        if grant is None:
            if not draw or not self.has_limit(budget):
                return 0
            grant = self._grant(budget)
        if grant.ledger.given.get(receiver, 0) <= already_received:
            self._covers.ensure_usable(grant, need + wish, draw)
        usable = max(0, grant.usable(self.clock()))
        return grant.ledger.give(receiver, already_received, need, wish, usable)

    def give_as_supplier(
        self, budget: str, receiver: str, already_received: int, need: int, wish: int
    ) -> int:
        """Give tokens to a peer that this run draws a budget ahead for; never block.

        Returns
        -------
        int
            Cumulative total, unchanged if the usable tokens don't meet the need.
        """
        if not self.has_limit(budget):
            return 0
        grant, now = self._grant(budget), self.clock()
        grant.largest_request = max(grant.largest_request, need)
        usable = grant.usable(now)
        before = grant.ledger.given.get(receiver, 0)
        if usable < need and before <= already_received:
            return before
        total = grant.ledger.give(receiver, already_received, need, wish, usable)
        grant.last_lent_at = now
        # Use by peers counts as demand here, because this run draws ahead for all of them.
        grant.demand.record(total - before, now)
        return total

    def draw_for_peer(self, budget: str, need: int) -> None:
        """Draw immediately if a peer's need could not be met from here; may block."""
        grant = self._grants.get(budget)
        if grant is not None:
            self._covers.ensure_usable(grant, need, draw=True)

    def create_supplied_grants(self) -> None:
        """Create the grants of supplied budgets, to draw them before the first request."""
        for budget in self._orders.limited_budgets():
            if self.spares.is_supplier(budget):
                self._grant(budget)

    def receive(self, budget: str, giver: str, total: int) -> None:
        """Record the total that a peer has given, also if no request waits for it any more."""
        self._grant(budget).ledger.receive(giver, total)

    def given_totals(self) -> Iterator[GivenTotal]:
        """Yield the totals given to peers, to be sent to them again before a stop."""
        for budget, grant in self._grants.items():
            for receiver, total in grant.ledger.given.items():
                yield GivenTotal(budget, receiver, total)

    def renew(self) -> Result[None, PlatformFailure]:
        """Report use, draw ahead and renew schedules, all in one write."""
        if self.can_draw_ahead:
            self.create_supplied_grants()
        due = [grant for grant in self._grants.values() if self._orders.is_due(grant)]
        if not due:
            return Success(None)
        return self._orders.send([self._orders.make_order(grant) for grant in due])

    def handle_store_restored(self, era: int) -> None:
        """Record that the store was restored; the next round reports all grants again."""
        self._orders.handle_store_restored(era)

    def handle_store_reachable(self) -> None:
        """Record that other calls show the store to be reachable again."""
        self._orders.handle_store_reachable()

    def drain(self, final: bool) -> Result[None, PlatformFailure]:
        """Return everything unused for a planned stop.

        Parameters
        ----------
        final : bool
            This run ends now: count open requests in full and close the rows.
        """
        self._orders.is_stopping = True
        orders = []
        for grant in self._grants.values():
            ledger = grant.ledger
            if not ledger.sequence or ledger.is_closed:
                continue
            if final:
                ledger.write_off_open()
            orders.append(self._orders.make_order(grant, final=final))
            # From here on nothing is used, given or drawn.
            ledger.is_closed = final
        return self._orders.send(orders) if orders else Success(None)

    def release_earlier_runs(
        self, restart: RestartTime
    ) -> Result[list[ReleasedRow], PlatformFailure]:
        """Recover what earlier runs of this instance held and can't have used."""
        ended = self.backend.find_earlier_runs(self.account, self.holder)
        if isinstance(ended, Failure):
            return ended
        if not ended.unwrap():
            return Success([])
        return self.backend.release_runs(
            self.account, RunRelease(self.holder, restart, ended.unwrap())
        )

    def summary(self) -> str:
        """Return the known state of every budget, for the log.

        Each entry has the form `budget:spendable/usable/free/outstanding/billed/limit@age`, where
        `age` is the time since the state was requested, in seconds.
        """
        now = self.clock()
        return " ".join(
            f"{name}:{grant.ledger.spendable}/{max(0, grant.usable(now))}"
            f"/{grant.last_result.free}/{grant.last_result.outstanding}/{grant.last_result.billed}"
            f"/{self._orders.limit(name)}"
            f"@{now - grant.last_result_at:.1f}"
            for name, grant in self._grants.items()
            if grant.last_result is not None
        )

    def exposures(self) -> dict[str, Exposure]:
        """Return what would be written off if this run ended now, by budget."""
        now = self.clock()
        return {name: exposure_of(grant, now) for name, grant in self._grants.items()}

    def spendable(self) -> dict[str, int]:
        """Return the spendable tokens held here, by budget."""
        return {name: grant.ledger.spendable for name, grant in self._grants.items()}

    @property
    def has_spendable_tokens(self) -> bool:
        """Whether a peer may obtain tokens from here."""
        return any(grant.ledger.spendable > 0 for grant in self._grants.values())

    def unreported_use(self, budget: str) -> int:
        """Return the tokens of a budget that are reserved or used here but not yet reported."""
        grant = self._grants.get(budget)
        return grant.ledger.unreported_use if grant is not None else 0

    def last_result(self, budget: str) -> DrawResult | None:
        """Return the last known state of a budget, for logs."""
        grant = self._grants.get(budget)
        return grant.last_result if grant is not None else None

    def supplier(self, budget: str) -> str:
        """Return the instance that draws a budget ahead, "" for this one; used in logs."""
        return self.spares.supplier(budget)

    def _grant(self, budget: str) -> Grant:
        grant = self._grants.get(budget)
        if grant is None:
            ledger = BudgetLedger(self.account, budget, self.holder)
            grant = self._grants[budget] = Grant(ledger, self.make_lock())
        return grant
