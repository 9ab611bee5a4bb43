"""One budget's grant at one run: what it holds, may use, and knows of the books."""

from collections.abc import Iterator
from contextlib import AbstractContextManager, ExitStack, contextmanager

import msgspec

from whinrack.budgets._account import DrawResult
from whinrack.budgets._demand import DemandEstimate
from whinrack.budgets._ledger import BudgetLedger
from whinrack.budgets._schedule import ReleaseGuard, ReleaseSchedule, WallClockReading

__all__ = ["Grant", "GrantOptions"]

_HALF_LIFE_SECONDS = 8.0
# A schedule of an idle grant is stated anew after so long, so that it releases little.
_IDLE_SECONDS = 2.0
# For so long after it lent tokens a run counts as a lender: borrowers ask each second or so.
_LENDING_SECONDS = 2.0
# Requests of the largest size that a budget which lasts for long releases at once: they come in
# pairs by chance. With one, 25 of 119 requests of a seldom used budget were refused in outages
# of 8 s though its supplier held ten times as much.
_REQUESTS_WHEN_PLENTIFUL = 2
# Digits that schedules are written with, to keep the books small.
_RATE_DIGITS = 1
_CLOCK_DIGITS = 3


class GrantOptions(msgspec.Struct, frozen=True):
    """How far ahead tokens are drawn.

    Attributes
    ----------
    horizon : float
        Seconds of demand that a grant lasts for.
    young_horizon, young_part, young_seconds : float
        A budget that has been used for less than `young_seconds` is held for so many seconds of
        demand, and for a part of the time that it lasts at most: what its first seconds show
        may be half of what comes.
    release_seconds : float
        Seconds of demand that a schedule releases at once, but at least one request, and two
        of a budget that lasts for long.
    release_factor : float
        Rate of a schedule as a multiple of the demand.
    plenty_seconds, release_most : float
        Both grow where a budget lasts for more than some multiples of so many seconds:
        to that multiple, and to `release_most` at most.
    release_delay : float
        Seconds after which a schedule releases more than that; one that is stated anew
        in time never gets there.
    release_part, release_horizon : float
        Bounds of both by what is left of the budget: the part of an equal share that is
        released at once, and the seconds in which all of it would be.
    outage_seconds, scarce_horizon : float
        A budget that lasts for longer than `scarce_horizon` is held for an outage of so many
        seconds in nearly all cases, also where a few large requests are expected in it.
    store_patience : float
        Seconds without a reply after which the books count as out of reach.
    draw_patience : float
        Seconds that a request waits for an order of its own.
    retry_after : float
        Seconds after which a caller should come back when tokens are held elsewhere.
    away_retry_after : float
        The same while the books are out of reach.
    loan_seconds : float
        Seconds of demand that a peer is asked to draw while the books are out of reach.
    supply_seconds : float
        Seconds of demand beyond a need that the supplier of a budget is asked for.
    report_seconds : float
        Seconds after which a run that another one supplies reports its use.
    opening_part : float
        Part of the limit that is released before any demand is known.
    scarce_seconds : float
        For so long the peers aren't asked for as much as they did not have.
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


class Grant:
    """What this run holds of one budget, and what it knows of its books."""

    def __init__(self, ledger: BudgetLedger, lock: AbstractContextManager):
        self.ledger = ledger
        self.lock = lock
        self.guard = ReleaseGuard()
        self.demand = DemandEstimate(_HALF_LIFE_SECONDS)
        # Of all holders, as the books tell.
        self.total_demand = DemandEstimate(_HALF_LIFE_SECONDS)
        self.last_result: DrawResult | None = None
        self.last_result_at = float("-inf")
        self.last_order_at = float("-inf")
        self.largest_request = 0
        # Tokens of requests that wait for others to be covered.
        self.waiting_tokens = 0
        # Tokens that peers said are used up by requests there, by giver.
        self.unreported_use_by_peer: dict[str, int] = {}
        self.last_schedule: ReleaseSchedule | None = None
        # When a peer was given tokens last.
        self.last_lent_at = float("-inf")
        # The least that peers were asked for in vain, and when.
        self._shortage_tokens = 0
        self._shortage_at = float("-inf")
        # The least that a round of questions failed to bring, and when that round started_at.
        self._failed_tokens = 0
        self._failed_round_started_at = float("-inf")

    @contextmanager
    def locked(self, tokens: int) -> Iterator[None]:
        """Hold the lock; while it is waited for, the tokens count as waiting."""
        with ExitStack() as stack:
            self.waiting_tokens += tokens
            try:
                stack.enter_context(self.lock)
            finally:
                self.waiting_tokens -= tokens
            yield

    def update(self, result: DrawResult, requested_at: float) -> None:
        """Take in the result as they were when they were requested_at."""
        if self.last_result is not None and result.limit_version == self.last_result.limit_version:
            self.total_demand.record(max(0, result.billed - self.last_result.billed), requested_at)
        self.last_result = result
        self.last_result_at = requested_at
        self.ledger.update_taken(result)

    def demand_share(self, now: float) -> float:
        """Return this run's part of the budget's use, an equal one at least."""
        total = self.total_demand.rate(now)
        part = self.demand.rate(now) / total if total > 0 else 0.0
        return min(1.0, max(part, 1.0 / self.last_result.holders))

    def average_holder_rate(self, now: float) -> float:
        """Return an equal share of the tokens a second that all holders use.

        A peer may need them though there is little demand here.
        """
        if self.last_result is None or not self.last_result.holders:
            return 0.0
        return self.total_demand.rate(now) / self.last_result.holders

    def record_shortage(self, tokens: int, now: float) -> None:
        """Learn that all peers together did not have so many tokens."""
        self._shortage_tokens, self._shortage_at = tokens, now

    def has_recent_shortage(self, tokens: int, now: float, seconds: float) -> bool:
        """Whether peers did not have so many tokens a moment ago."""
        return tokens >= self._shortage_tokens and now - self._shortage_at < seconds

    def record_failed_round(self, tokens: int, started_at: float) -> None:
        """Learn that a round of questions did not bring so many tokens."""
        self._failed_tokens, self._failed_round_started_at = tokens, started_at

    def has_failed_round_since(self, moment: float, tokens: int) -> bool:
        """Whether a round that started_at after a moment did not bring as much or less."""
        return self._failed_round_started_at > moment and tokens >= self._failed_tokens

    def usable(self, now: float) -> int:
        """Tokens that may cover a request, or be given to a peer, now."""
        released = self.guard.max_used(now) - self.ledger.used
        return min(self.ledger.spendable, released)

    def make_schedule(
        self, options: GrantOptions, need: int, now: float, wall: WallClockReading
    ) -> ReleaseSchedule:
        """Return what this run may use from now on: what is needed, and some ahead."""
        rate = max(self.demand.rate(now), self.average_holder_rate(now))
        plenty = self._plenty_factor(options, now)
        requests = (
            _REQUESTS_WHEN_PLENTIFUL if self.seconds_left(now) > options.plentiful_seconds else 1
        )
        ahead = max(rate * max(options.release_seconds, plenty), requests * self.largest_request)
        pace = rate * max(options.release_factor, plenty)
        if self.last_result is not None and self.last_result.holders:
            # What is released and not used is lost with this run: the less is left, the
            # less may be lost.
            share = self.last_result.unspent * self.demand_share(now)
            pace = min(pace, share / options.release_horizon)
            ahead = min(ahead, share * options.release_fraction)
        self.last_schedule = ReleaseSchedule(
            base=self.ledger.used + max(need, int(ahead)),
            rate=round(max(0.0, pace), _RATE_DIGITS),
            steady=round(now, _CLOCK_DIGITS),
            wall=round(wall.seconds, _CLOCK_DIGITS),
            wall_checked=wall.is_checked,
            delay=options.release_delay,
        )
        return self.last_schedule

    def _plenty_factor(self, options: GrantOptions, now: float) -> float:
        """Return how freely a budget that lasts for long may be released, 0 for not."""
        seconds_left = self.seconds_left(now)
        return min(options.max_release_factor, seconds_left / options.plenty_seconds)

    def seconds_left(self, now: float) -> float:
        """Return the seconds until the budget is used up, 0 as long as that isn't known."""
        total = max(self.total_demand.rate(now), self.demand.rate(now))
        if self.last_result is None or total <= 0:
            return 0.0
        return self.last_result.unspent / total

    def is_releasing_unused(self, now: float) -> bool:
        """Whether the schedule goes on releasing what nobody uses here."""
        if self.last_schedule is None or self.ledger.spendable <= 0:
            return False
        return now - self.last_schedule.steady >= _IDLE_SECONDS

    def is_lending(self, now: float) -> bool:
        """Whether peers use what the schedule releases here, and report it themselves."""
        return self.last_schedule is not None and now - self.last_lent_at < _LENDING_SECONDS

    def unspent_bound(self) -> int:
        """Tokens that can be had from anywhere, as far as the books and the peers tell."""
        covering = self.ledger.unreported_use + sum(self.unreported_use_by_peer.values())
        return self.last_result.unspent - covering

    def excess(self, seconds: float, now: float) -> int:
        """Return the tokens beyond some seconds of demand, where a peer supplies the budget."""
        kept = int(self.demand.rate(now) * seconds) + self.waiting_tokens
        return max(0, self.ledger.spendable - kept)

    def is_overdrawn(self) -> bool:
        """Whether the limit was lowered below what all hold, and some is held here."""
        return (
            self.last_result is not None and self.last_result.free < 0 and self.ledger.spendable > 0
        )
