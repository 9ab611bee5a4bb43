"""Grant of one budget at one run: what it holds and may use, and what it knows of the account."""

from collections import Counter
from collections.abc import Iterator
from contextlib import AbstractContextManager, ExitStack, contextmanager

import msgspec

from whinrack.budgets._account import DrawResult
from whinrack.budgets._demand import DemandEstimate
from whinrack.budgets._ledger import BudgetLedger
from whinrack.budgets._reserve import UrgencyDemand
from whinrack.budgets._schedule import ReleaseGuard, ReleaseSchedule, WallClockReading

__all__ = ["Grant", "GrantOptions"]

_HALF_LIFE_SECONDS = 8.0
# The schedule of an idle grant is renewed after this time, so that it releases little.
_IDLE_SECONDS = 2.0
# A run counts as lending for this long after it last gave tokens: peers ask about every second.
_LENDING_SECONDS = 2.0
# Largest requests that a plentiful budget releases at once, since requests come in pairs by chance.
# With one, 25 of 119 requests of a seldom used budget were refused in outages of 8 s, although its
# supplier held ten times as much.
_REQUESTS_WHEN_PLENTIFUL = 2
# Decimal digits of the numbers in schedules; few, to keep the stored accounts small.
_RATE_DIGITS = 1
_CLOCK_DIGITS = 3


class GrantOptions(msgspec.Struct, frozen=True):
    """Settings for how far ahead tokens are drawn and released.

    Attributes
    ----------
    horizon : float
        Seconds of demand that a grant should cover.
    young_horizon, young_fraction, young_seconds : float
        A budget that has been used for less than `young_seconds` is held for `young_horizon`
        seconds of demand instead, but for at most `young_fraction` of the time until it is used
        up: the demand of the first seconds may be half of what follows.
    release_seconds : float
        Seconds of demand that a schedule releases at once, but at least one request, and two of a
        plentiful budget.
    release_factor : float
        Rate of a schedule as a multiple of the demand.
    plenty_seconds, max_release_factor : float
        The two settings above are raised to the time until the budget is used up divided by
        `plenty_seconds`, but to `max_release_factor` at most.
    release_delay : float
        Seconds after which the rate of a schedule takes effect. A schedule that is renewed in time
        never reaches this point.
    release_fraction, release_horizon : float
        Bounds by the unspent tokens: of this run's share of them, the fraction that is released
        at once, and the seconds in which the rate would release all of it.
    outage_seconds, plentiful_seconds : float
        A budget that lasts for longer than `plentiful_seconds` is held for an outage of
        `outage_seconds` in nearly all cases, also where only a few large requests are expected.
    store_timeout : float
        Seconds without a reply after which the store counts as unreachable.
    draw_timeout : float
        Seconds that a request waits for its own draw.
    retry_after : float
        Seconds after which callers should retry when the tokens are held elsewhere.
    unreachable_retry_after : float
        The same while the store is unreachable.
    peer_draw_seconds : float
        Seconds of demand that a peer is asked to draw while the store is unreachable.
    supply_seconds : float
        Seconds of demand that the supplier of a budget is asked for beyond the need.
    report_interval : float
        Seconds between reports of a run that is supplied by another one.
    opening_fraction : float
        Fraction of the limit that is released before any demand is known.
    shortage_seconds : float
        Seconds for which peers aren't asked again for as much as they did not have.
    reserve_seconds : float
        Seconds of more urgent demand that a short budget keeps: the time in which an operator's
        automation notices a short budget and raises its limit.
    max_reserve_fraction : float
        Maximum part of the limit that is kept, so that all routes share the rest.
    reserve_retry_after : float
        Seconds after which callers should retry what a reserve refused. By then a raised limit
        has reached all instances, or the urgent demand has become less.
    """

    horizon: float = 12.0
    young_horizon: float = 30.0
    young_fraction: float = 0.5
    young_seconds: float = 15.0
    release_seconds: float = 1.5
    release_factor: float = 1.4
    plenty_seconds: float = 20.0
    max_release_factor: float = 2.5
    release_delay: float = 1.5
    release_fraction: float = 0.1
    release_horizon: float = 15.0
    outage_seconds: float = 8.5
    plentiful_seconds: float = 30.0
    store_timeout: float = 0.4
    draw_timeout: float = 0.7
    retry_after: float = 0.4
    unreachable_retry_after: float = 4.0
    peer_draw_seconds: float = 2.0
    supply_seconds: float = 0.5
    report_interval: float = 1.0
    opening_fraction: float = 0.02
    shortage_seconds: float = 0.15
    reserve_seconds: float = 15.0
    max_reserve_fraction: float = 0.1
    reserve_retry_after: float = 4.0


class Grant:
    """Tokens of one budget held by this run, and the known state of the budget."""

    def __init__(self, ledger: BudgetLedger, lock: AbstractContextManager):
        self.ledger = ledger
        self.lock = lock
        self.guard = ReleaseGuard()
        self.demand = DemandEstimate(_HALF_LIFE_SECONDS)
        # Demand of all holders, according to the account.
        self.total_demand = DemandEstimate(_HALF_LIFE_SECONDS)
        self.last_result: DrawResult | None = None
        self.last_result_at = float("-inf")
        self.last_order_at = float("-inf")
        self.largest_request = 0
        self.demand_by_urgency = UrgencyDemand()
        # Tokens of the requests that wait for the lock.
        self.waiting_tokens = 0
        self.waiting_by_urgency: Counter[int] = Counter()
        # Tokens reserved or used at peers but not yet reported to the account, by giver.
        self.unreported_use_by_peer: dict[str, int] = {}
        self.last_schedule: ReleaseSchedule | None = None
        # When tokens were last given to a peer.
        self.last_lent_at = float("-inf")
        # Number of tokens that the peers last failed to provide, and when.
        self._shortage_tokens = 0
        self._shortage_at = float("-inf")
        # Number of tokens that the last failed refill was for, and when it started.
        self._failed_tokens = 0
        self._failed_round_started_at = float("-inf")

    @contextmanager
    def locked(self, tokens: int, urgency: int = 0) -> Iterator[None]:
        """Hold the lock; `tokens` count as waiting until it is acquired."""
        with ExitStack() as stack:
            self.waiting_tokens += tokens
            self.waiting_by_urgency[urgency] += tokens
            try:
                stack.enter_context(self.lock)
            finally:
                self.waiting_tokens -= tokens
                self.waiting_by_urgency[urgency] -= tokens
            yield

    def more_urgent_waiting_tokens(self, urgency: int) -> int:
        """Return the tokens of the waiting requests that are more urgent."""
        return sum(tokens for each, tokens in self.waiting_by_urgency.items() if each < urgency)

    def update(self, result: DrawResult, requested_at: float) -> None:
        """Record the state of the budget as of the time when it was requested."""
        if self.last_result is not None and result.limit_version == self.last_result.limit_version:
            self.total_demand.record(max(0, result.billed - self.last_result.billed), requested_at)
        self.last_result = result
        self.last_result_at = requested_at
        self.ledger.update_taken(result)

    def demand_share(self, now: float) -> float:
        """Return this run's share of the demand, at least an equal share."""
        total = self.total_demand.rate(now)
        part = self.demand.rate(now) / total if total > 0 else 0.0
        return min(1.0, max(part, 1.0 / self.last_result.holders))

    def average_holder_rate(self, now: float) -> float:
        """Return the average demand of all holders, in tokens per second.

        A peer may need these tokens even if there is little demand here.
        """
        if self.last_result is None or not self.last_result.holders:
            return 0.0
        return self.total_demand.rate(now) / self.last_result.holders

    def record_shortage(self, tokens: int, now: float) -> None:
        """Record that all peers together did not have this many tokens."""
        self._shortage_tokens, self._shortage_at = tokens, now

    def has_recent_shortage(self, tokens: int, now: float, seconds: float) -> bool:
        """Return whether peers recently did not have as many tokens or fewer."""
        return tokens >= self._shortage_tokens and now - self._shortage_at < seconds

    def record_failed_round(self, tokens: int, started_at: float) -> None:
        """Record that a refill did not yield this many tokens."""
        self._failed_tokens, self._failed_round_started_at = tokens, started_at

    def has_failed_round_since(self, moment: float, tokens: int) -> bool:
        """Return whether a refill for as many tokens or fewer, started after `moment`, failed."""
        return self._failed_round_started_at > moment and tokens >= self._failed_tokens

    def usable(self, now: float) -> int:
        """Return the tokens that may cover a request or be given to a peer now."""
        released = self.guard.max_used(now) - self.ledger.used
        return min(self.ledger.spendable, released)

    def make_schedule(
        self, options: GrantOptions, need: int, now: float, wall: WallClockReading
    ) -> ReleaseSchedule:
        """Return a new schedule that releases what is needed and some tokens ahead."""
        rate = max(self.demand.rate(now), self.average_holder_rate(now))
        plenty = self._plenty_factor(options, now)
        requests = (
            _REQUESTS_WHEN_PLENTIFUL if self.seconds_left(now) > options.plentiful_seconds else 1
        )
        ahead = max(rate * max(options.release_seconds, plenty), requests * self.largest_request)
        release_rate = rate * max(options.release_factor, plenty)
        if self.last_result is not None and self.last_result.holders:
            # What is released and not used is lost if this run crashes: the less is left, the
            # less may be lost.
            share = self.last_result.unspent * self.demand_share(now)
            release_rate = min(release_rate, share / options.release_horizon)
            ahead = min(ahead, share * options.release_fraction)
        self.last_schedule = ReleaseSchedule(
            base=self.ledger.used + max(need, int(ahead)),
            rate=round(max(0.0, release_rate), _RATE_DIGITS),
            steady=round(now, _CLOCK_DIGITS),
            wall=round(wall.seconds, _CLOCK_DIGITS),
            wall_checked=wall.is_checked,
            delay=options.release_delay,
        )
        return self.last_schedule

    def _plenty_factor(self, options: GrantOptions, now: float) -> float:
        """Return how much more freely a plentiful budget may be released, 0 if it is unknown."""
        seconds_left = self.seconds_left(now)
        return min(options.max_release_factor, seconds_left / options.plenty_seconds)

    def seconds_left(self, now: float) -> float:
        """Return the seconds until the budget is used up, 0 while that is unknown."""
        total = max(self.total_demand.rate(now), self.demand.rate(now))
        if self.last_result is None or total <= 0:
            return 0.0
        return self.last_result.unspent / total

    def is_releasing_unused(self, now: float) -> bool:
        """Return whether the schedule keeps releasing tokens that nobody uses here."""
        if self.last_schedule is None or self.ledger.spendable <= 0:
            return False
        return now - self.last_schedule.steady >= _IDLE_SECONDS

    def is_lending(self, now: float) -> bool:
        """Return whether peers use what the schedule releases here, and report it themselves."""
        return self.last_schedule is not None and now - self.last_lent_at < _LENDING_SECONDS

    def unspent_bound(self) -> int:
        """Return an upper bound on the tokens available anywhere, as far as is known here."""
        unreported = self.ledger.unreported_use + sum(self.unreported_use_by_peer.values())
        return self.last_result.unspent - unreported

    def excess(self, seconds: float, now: float) -> int:
        """Return the tokens beyond some seconds of demand, if a peer supplies the budget."""
        kept = int(self.demand.rate(now) * seconds) + self.waiting_tokens
        return max(0, self.ledger.spendable - kept)

    def is_overdrawn(self) -> bool:
        """Return whether the limit was lowered below what is held in all, and some is held here."""
        return (
            self.last_result is not None and self.last_result.free < 0 and self.ledger.spendable > 0
        )
