"""Which requests the reserves of an instance's budgets refuse."""

from collections.abc import Callable, Collection

from whinrack.budgets._budget_manager import SpareTokenSource
from whinrack.budgets._grant import Grant, GrantOptions
from whinrack.budgets._orders import GrantOrders
from whinrack.budgets._reserve import (
    BudgetOutlook,
    HeldReserves,
    UrgencyDemand,
    is_reserved,
    more_urgent_share,
)

__all__ = ["ReservePolicy"]


class ReservePolicy:
    """Decides which requests are refused to keep tokens for more urgent ones.

    Parameters
    ----------
    orders : GrantOrders
    spares : SpareTokenSource
    options : GrantOptions
    clock : callable
        Reads the monotonic clock, in seconds.

    Attributes
    ----------
    held : HeldReserves
    """

    def __init__(
        self,
        orders: GrantOrders,
        spares: SpareTokenSource,
        options: GrantOptions,
        clock: Callable[[], float],
    ):
        self.orders = orders
        self.spares = spares
        self.options = options
        self.clock = clock
        self.held = HeldReserves()
        self._urgencies: frozenset[int] = frozenset()
        self._overall = UrgencyDemand()

    def set_urgencies(self, urgencies: Collection[int]) -> None:
        """Set the priorities that the configuration gives to routes that use tokens."""
        self._urgencies = frozenset(urgencies)

    @property
    def is_active(self) -> bool:
        """Whether the configuration tells more urgent routes from less urgent ones."""
        return len(self._urgencies) > 1

    def record_asked(self, grant: Grant, tokens: int, urgency: int) -> None:
        """Record a request before the decision on it."""
        if self.is_active:
            now = self.clock()
            self._overall.record_asked(urgency, tokens, now)
            grant.demand_by_urgency.record_asked(urgency, tokens, now)

    def record_covered(self, grant: Grant, tokens: int, urgency: int) -> None:
        """Record a request whose tokens were reserved."""
        if self.is_active:
            grant.demand_by_urgency.record_covered(urgency, tokens, self.clock())

    def refuses(self, grant: Grant, tokens: int, urgency: int) -> bool:
        """Return whether a request is refused for the sake of more urgent ones."""
        if not self._may_hold(urgency):
            return False
        share, bound = self._share(grant, urgency), self._bound(grant)
        return any(
            is_reserved(outlook, tokens, outlook.reserve(share, bound))
            for outlook in self._outlooks(grant)
        )

    def reserve(self, grant: Grant, urgency: int) -> int:
        """Return the tokens that are kept for requests more urgent than `urgency`."""
        if not self._may_hold(urgency):
            return 0
        share, bound = self._share(grant, urgency), self._bound(grant)
        return max((each.reserve(share, bound) for each in self._outlooks(grant)), default=0)

    def _may_hold(self, urgency: int) -> bool:
        return self.is_active and urgency > min(self._urgencies)

    def _share(self, grant: Grant, urgency: int) -> float:
        return more_urgent_share(grant.demand_by_urgency, self._overall, urgency, self.clock())

    def _bound(self, grant: Grant) -> float:
        return self.options.max_reserve_fraction * self.orders.limit(grant.ledger.budget)

    def _outlooks(self, grant: Grant) -> list[BudgetOutlook]:
        """Return the outlook of the whole budget, and in an outage that of what is held here."""
        outlooks = []
        # A changed limit makes the last known state worthless.
        if self.orders.is_limit_stored(grant):
            outlooks.append(self._budget_outlook(grant))
        if not self.orders.is_store_reachable and self.spares.is_supplier(grant.ledger.budget):
            outlooks.append(self._outage_outlook(grant))
        return outlooks

    def _budget_outlook(self, grant: Grant) -> BudgetOutlook:
        """Return what all holders together have left, less what was probably used meanwhile."""
        now, options = self.clock(), self.options
        used = grant.total_demand.rate(now)
        unreported_seconds = now - grant.last_result_at + options.report_interval
        available = grant.last_result.unspent - used * unreported_seconds
        return BudgetOutlook(available, self._demand(grant, used), options.reserve_seconds)

    def _demand(self, grant: Grant, used: float) -> float:
        """Return the expected tokens per second of all holders.

        A young run knows little of what the others use. After a restart of all instances nothing
        is used until the tokens of earlier runs are free again: what is asked for here then tells
        the demand, as though all holders were alike.
        """
        now = self.clock()
        if grant.total_demand.age(now) >= self.options.young_seconds:
            return used
        asked = grant.demand_by_urgency.asked_rate(now)
        return max(used, asked) if used > 0 else asked * grant.last_result.holders

    def _outage_outlook(self, grant: Grant) -> BudgetOutlook:
        """Return what is held here for this run and the peers that it supplies.

        It has to last for the rest of an outage of the usual length. A longer one is expected to
        last as long again as it has lasted.
        """
        now = self.clock()
        lasted = now - self.orders.last_answer_at
        horizon = max(self.options.outage_seconds - lasted, lasted)
        return BudgetOutlook(grant.ledger.spendable, grant.demand.rate(now), horizon)
