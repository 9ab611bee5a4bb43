"""How much each instance may send to a target that takes few requests. Decisions only, no I/O.

The load that this answers: a target has just started, a whole data hall comes back, or a target in
need says how few requests it takes, while all instances have work for it. It takes some requests a
second from all of them together, and nobody can be asked at the moment of a request. So for each
such target a few of the instances hold a part of the rate, chosen by rendezvous among those that
callers come to, and spend it by a token bucket of their own.
"""

from collections import deque
from collections.abc import Callable, Collection, Mapping

from whinrack.base import rendezvous
from whinrack.dispatch._rate_bounds import RateBound, RateShare, compute_share

__all__ = ["SharedRatePermits"]

# Targets whose buckets are kept; the oldest go first. A bucket that is made anew is full.
_MAX_BUCKETS = 5000
# After an urgent request was turned away, less urgent ones leave it the next permit for so long:
# the time after which it is told to come back, and the way.
_YIELD_SECONDS = 0.5
# Requests that were told so lately when to come back are ahead of a newcomer.
_QUEUE_WINDOW_SECONDS = 1.0
# After which a request is told to come back at least, most likely at another instance, where this
# one has no permits.
_MIN_RETRY_SECONDS = 0.5
# The longest time after which one is told to come back: limits change meanwhile.
_MAX_RETRY_SECONDS = 10.0
# The holders of a target that has said nothing for so long may be gone or without callers; another
# instance, each time the next one, may send it one request. So a limit ends also if they don't
# learn of its end.
_SILENCE_SECONDS = 6.0

_NO_SHARE = RateShare(holders=0, rate=0.0)


class _Bucket:
    """Permits of one target."""

    def __init__(self, now: float):
        self.permits = 1.0
        self.filled_at = now

    def refill(self, rate: float, burst: float, now: float) -> None:
        self.permits = min(burst, self.permits + rate * max(0.0, now - self.filled_at))
        self.filled_at = now


class SharedRatePermits:
    """The permits of one instance for the targets that it is a holder of.

    Parameters
    ----------
    name : str
        This instance.
    members : callable
        Returns the names of the instances that callers come to, this one included; empty while
        it isn't known who is there.
    is_complete : callable, optional
        Returns whether no instance that was there is missing.
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
        # Requests that found no permit, in all.
        self.refused_count = 0
        self._buckets: dict[str, _Bucket] = {}
        # Of targets and their bounds, for the members that were there last; with each share the
        # place of this instance among those that may hold it.
        self._shares: dict[tuple[str, RateBound], tuple[RateShare, int]] = {}
        self._known_members: frozenset[str] = frozenset()
        self._was_complete = False
        # When a request of each rank was turned away last.
        self._refused_at: dict[int, float] = {}
        # When requests were told to come back.
        self._recent_refusals: deque[float] = deque()

    @classmethod
    def for_single_instance(cls) -> "SharedRatePermits":
        """Return the permits of an instance that has no peers."""
        return cls("", lambda: [""], lambda: True)

    def has_permit(
        self, target: str, bound: RateBound, now: float, silent_seconds: float = 0.0
    ) -> bool:
        """Whether a request may be sent to a target now.

        Parameters
        ----------
        silent_seconds : float
            Seconds for which the target has said nothing about what it takes.
        """
        bucket = self._refilled_bucket(target, bound, now, silent_seconds)
        return bucket is not None and bucket.permits >= 1.0

    def take_permit(
        self, target: str, bound: RateBound, now: float, silent_seconds: float = 0.0
    ) -> None:
        """Use up a permit."""
        bucket = self._refilled_bucket(target, bound, now, silent_seconds)
        if bucket is not None:
            bucket.permits -= 1.0

    def max_unanswered(self, target: str, bound: RateBound) -> int:
        """Return the requests to a target that may be on their way from here, one at least.

        What is held up on the way arrives together, beside what all holders send after it.
        """
        share, _ = self._share_and_position(target, bound)
        if not share.holders:
            return 1
        requests_per_holder = (
            bound.max_requests / share.holders - share.burst - share.rate * bound.window_seconds
        )
        return max(1, int(requests_per_holder))

    def has_more_urgent_waiting(self, priority: int, now: float) -> bool:
        """Whether a request leaves the next permit to a more urgent one that is to come back."""
        return any(
            refused_priority < priority and now - at < _YIELD_SECONDS
            for refused_priority, at in self._refused_at.items()
        )

    def record_refusal(self, priority: int, now: float) -> None:
        """Learn that a request found no permit."""
        self.refused_count += 1
        self._refused_at[priority] = now

    def retry_delay(self, bounds: Mapping[str, RateBound], now: float) -> float:
        """Return the seconds after which a request that is turned away now may find a permit.

        Parameters
        ----------
        bounds : mapping of str to RateBound
            Of the targets that it may go to.
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
        """Return the shares of this instance in some targets, without those it has none of."""
        shares = {target: self._share(target, bound) for target, bound in bounds.items()}
        return {target: share for target, share in shares.items() if share is not None}

    def _fair_rate(self, bounds: Mapping[str, RateBound]) -> float:
        """Return the requests a second that fall to each instance, of what all may send."""
        count = len(self.members())
        if not count:
            return 0.0
        shares = [compute_share(bound, count, self.is_complete()) for bound in bounds.values()]
        return sum(share.rate * share.holders for share in shares) / count

    def _share(self, target: str, bound: RateBound) -> RateShare | None:
        """Return what this instance may send to a target, None if it is no holder."""
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
        return share, rendezvous(target, members).index(self.name)

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

    def _has_turn(self, share: RateShare, position: int, silent_seconds: float) -> bool:
        """Whether an instance that is no holder may send to a target that is silent for long."""
        other_members = len(self._known_members) - share.holders
        turn = int(silent_seconds / _SILENCE_SECONDS) - 1
        return other_members > 0 and turn >= 0 and position - share.holders == turn % other_members
