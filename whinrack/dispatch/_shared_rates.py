"""Division of a target's rate limit among instances; pure logic without I/O.

A target is limited after a start, when a whole data hall comes back, or when it states a limit,
while all instances have requests for it. The limit applies to all instances together, and there is
no time to coordinate for each request. Therefore a few instances per target hold a share of the
rate each. The holders are chosen by rendezvous hashing among the instances that serve callers, and
each spends its share through its own token bucket.
"""

from collections import deque
from collections.abc import Callable, Collection, Mapping

from whinrack.base import rendezvous_order
from whinrack.dispatch._probe_turns import ProbeTurns
from whinrack.dispatch._rate_bounds import RateBound, RateShare, compute_share

__all__ = ["SharedRatePermits"]

# Buckets that are kept; the oldest are dropped first. A new bucket is full.
_MAX_BUCKETS = 5000
# Time for which less urgent requests leave the next permit to a refused urgent request: the delay
# after which it was told to retry, plus the network delay.
_YIELD_SECONDS = 0.5
# Requests refused within this time are expected to retry before a new request gets a permit.
_QUEUE_WINDOW_SECONDS = 1.0
# Minimum retry delay if this instance holds no permits; the retry most likely goes to another
# instance.
_MIN_RETRY_SECONDS = 0.5
# Maximum retry delay, since limits change over time.
_MAX_RETRY_SECONDS = 10.0
# Seconds without a statement of a target after which its holders may be gone or have no callers.
# Then the other instances take turns, one per period, to send it one request each, so that the end
# of a limit is noticed even if the holders do not learn of it.
_SILENCE_SECONDS = 6.0

_NO_SHARE = RateShare(holders=0, rate=0.0)


class _Bucket:
    """Token bucket for one target."""

    def __init__(self, now: float):
        self.permits = 1.0
        self.filled_at = now

    def refill(self, rate: float, burst: float, now: float) -> None:
        self.permits = min(burst, self.permits + rate * max(0.0, now - self.filled_at))
        self.filled_at = now


class SharedRatePermits:
    """One instance's permits to send to rate-limited targets.

    Parameters
    ----------
    name : str
        Name of this instance.
    members : callable
        Returns the names of the instances that serve callers, including this one; empty while
        the members are unknown.
    is_complete : callable, optional
        Returns whether none of the previously known instances is missing.
    """

    def __init__(
        self,
        name: str,
        members: Callable[[], Collection[str]],
        is_complete: Callable[[], bool] = lambda: False,
    ):
        self.name = name
        self.members = members
        self.is_complete = is_complete
        # Total number of requests that found no permit.
        self.refused_count = 0
        self._buckets: dict[str, _Bucket] = {}
        self._probe_turns = ProbeTurns()
        # Shares by target and bound, for the latest known members, each with the position of this
        # instance in the rendezvous order of the target.
        self._shares: dict[tuple[str, RateBound], tuple[RateShare, int]] = {}
        self._known_members: frozenset[str] = frozenset()
        self._was_complete = False
        # Time of the latest refusal, by priority.
        self._refused_at: dict[int, float] = {}
        # Times of the recent refusals.
        self._recent_refusals: deque[float] = deque()

    @classmethod
    def for_single_instance(cls) -> "SharedRatePermits":
        """Create the permits of an instance without peers."""
        return cls("", lambda: [""], lambda: True)

    def has_permit(
        self, target: str, bound: RateBound, now: float, silent_seconds: float = 0.0
    ) -> bool:
        """Return whether a request may be sent to a target now.

        Parameters
        ----------
        silent_seconds : float
            Seconds since the target last stated its limit.
        """
        if bound.is_probed:
            return self._has_probe_turn(target, bound, now, silent_seconds)
        bucket = self._refilled_bucket(target, bound, now, silent_seconds)
        return bucket is not None and bucket.permits >= 1.0

    def take_permit(
        self, target: str, bound: RateBound, now: float, silent_seconds: float = 0.0
    ) -> None:
        """Take one permit."""
        if bound.is_probed:
            self._probe_turns.record_probe(target, now)
            return
        bucket = self._refilled_bucket(target, bound, now, silent_seconds)
        if bucket is not None:
            bucket.permits -= 1.0

    def max_unanswered(self, target: str, bound: RateBound) -> int:
        """Return the maximum number of unanswered requests to a target, at least one.

        Requests that are delayed in the network may arrive all at once, in addition to what all
        holders send afterwards.
        """
        share, _ = self._share_and_position(target, bound)
        if not share.holders:
            return 1
        requests_per_holder = (
            bound.max_requests / share.holders - share.burst - share.rate * bound.window_seconds
        )
        return max(1, int(requests_per_holder))

    def has_more_urgent_waiting(self, priority: int, now: float) -> bool:
        """Return whether a more urgent refused request is expected to retry soon."""
        return any(
            refused_priority < priority and now - at < _YIELD_SECONDS
            for refused_priority, at in self._refused_at.items()
        )

    def record_refusal(self, priority: int, now: float) -> None:
        """Record that a request found no permit."""
        self.refused_count += 1
        self._refused_at[priority] = now

    def retry_delay(self, bounds: Mapping[str, RateBound], now: float) -> float:
        """Return the seconds after which a request refused now is expected to find a permit.

        Parameters
        ----------
        bounds : mapping of str to RateBound
            Bounds of the targets that the request may go to.
        """
        while self._recent_refusals and now - self._recent_refusals[0] > _QUEUE_WINDOW_SECONDS:
            self._recent_refusals.popleft()
        self._recent_refusals.append(now)
        permits = sum(share.rate for share in self.held_shares(bounds).values())
        if permits > 0.0:
            return min(_MAX_RETRY_SECONDS, len(self._recent_refusals) / permits)
        ahead = len(self._recent_refusals) - 1
        fair_rate = self._fair_rate(bounds)
        if not ahead or fair_rate <= 0.0:
            return _MIN_RETRY_SECONDS
        return min(_MAX_RETRY_SECONDS, max(_MIN_RETRY_SECONDS, ahead / fair_rate))

    def held_shares(self, bounds: Mapping[str, RateBound]) -> dict[str, RateShare]:
        """Return the shares that this instance holds, by target; others are left out."""
        shares = {target: self._share(target, bound) for target, bound in bounds.items()}
        return {target: share for target, share in shares.items() if share is not None}

    def _fair_rate(self, bounds: Mapping[str, RateBound]) -> float:
        """Return the mean permitted rate per instance over all targets, in requests per second."""
        count = len(self.members())
        if not count:
            return 0.0
        shares = [compute_share(bound, count, self.is_complete()) for bound in bounds.values()]
        return sum(share.rate * share.holders for share in shares) / count

    def _share(self, target: str, bound: RateBound) -> RateShare | None:
        """Return this instance's share of a target's rate, None if it is not a holder."""
        share, position = self._share_and_position(target, bound)
        return share if position < share.holders else None

    def _share_and_position(self, target: str, bound: RateBound) -> tuple[RateShare, int]:
        members, is_complete = frozenset(self.members()), self.is_complete()
        is_changed = (members, is_complete) != (self._known_members, self._was_complete)
        if is_changed or len(self._shares) > _MAX_BUCKETS:
            self._shares.clear()
            self._known_members, self._was_complete = members, is_complete
        key = (target, bound)
        if key not in self._shares:
            self._shares[key] = self._compute_share(target, bound, members)
        return self._shares[key]

    def _compute_share(
        self, target: str, bound: RateBound, members: frozenset[str]
    ) -> tuple[RateShare, int]:
        if self.name not in members:
            return _NO_SHARE, 0
        share = compute_share(bound, len(members), self._was_complete)
        return share, rendezvous_order(target, members).index(self.name)

    def _refilled_bucket(
        self, target: str, bound: RateBound, now: float, silent_seconds: float
    ) -> _Bucket | None:
        share, position = self._share_and_position(target, bound)
        rate, burst = share.rate, share.burst
        if position >= share.holders:
            if not self._has_turn(share, position, silent_seconds):
                return None
            rate, burst = min(rate, 1.0 / _SILENCE_SECONDS), 1.0
        bucket = self._buckets.get(target)
        if bucket is None:
            bucket = self._buckets[target] = _Bucket(now)
            while len(self._buckets) > _MAX_BUCKETS:
                del self._buckets[next(iter(self._buckets))]
        bucket.refill(rate, burst, now)
        return bucket

    def _has_probe_turn(
        self, target: str, bound: RateBound, now: float, silent_seconds: float
    ) -> bool:
        _, position = self._share_and_position(target, bound)
        members = len(self._known_members)
        is_member = self.name in self._known_members
        return is_member and self._probe_turns.has_turn(
            target, position, members, self._was_complete, silent_seconds, now
        )

    def _has_turn(self, share: RateShare, position: int, silent_seconds: float) -> bool:
        """Return whether it is this non-holder's turn to send to a target that was silent."""
        other_members = len(self._known_members) - share.holders
        turn = int(silent_seconds / _SILENCE_SECONDS) - 1
        return other_members > 0 and turn >= 0 and position - share.holders == turn % other_members
