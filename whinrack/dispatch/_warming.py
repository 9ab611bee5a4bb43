"""How much each instance may send to a target that is cold. Decisions only, no I/O.

The load that this answers: a target has just started, or a whole data hall comes back, while all
instances have work for it. It bears some requests a second from all of them together, and nobody
can be asked at the moment of a request. So for each cold target a few of the instances hold a
part of the rate, chosen by rendezvous among those that callers come to, and spend it by a token
bucket of their own.

The limits: what may reach a target in one second is `rate x overage + slack`. Two halves of a fleet
that know nothing of each other each choose holders of their own, so each half may use half of it.
Of that half one request a holder is the depth of its bucket, and the rest is rate.
"""

from collections import deque
from collections.abc import Callable, Collection

import msgspec

from whinrack.base import rendezvous

__all__ = ["WarmUpLimits", "WarmUpPermits", "WarmUpShare", "share_of"]

# Part of the stated rate that the holders use if the bound allows it.
_USED_PART = 0.75
# Holders of one target at most: each adds the depth of its bucket to what may come in a second.
_MOST_HOLDERS = 4
# Halves of a fleet that may know nothing of each other.
_SEPARATE_VIEWS = 2
# Targets whose buckets are kept; the oldest go first. A bucket that is made anew is full.
_MOST_BUCKETS = 5000
# After an urgent request was turned away, less urgent ones leave it the next permit for so long:
# the time after which it is told to come back, and the way.
_YIELD_SECONDS = 0.5
# Requests that were told so lately when to come back are ahead of a newcomer.
_WAITING_SECONDS = 1.0
# After which a request is told to come back, most likely at another instance, where this one has
# no permits.
_NO_PERMITS_SECONDS = 0.5


class WarmUpLimits(msgspec.Struct, frozen=True):
    """What may reach one cold target in one second: `rate * overage + slack` requests.

    Attributes
    ----------
    overage : float
    slack : float
        Requests.
    """

    overage: float = 1.0
    slack: float = 0.0

    def most_in_a_second(self, rate: float) -> float:
        """Return the requests that may reach a target that bears `rate` a second."""
        return rate * self.overage + self.slack


class WarmUpShare(msgspec.Struct, frozen=True):
    """How the rate of one cold target is divided.

    Attributes
    ----------
    holders : int
        Instances that may send to it.
    rate : float
        Requests a second of each.
    """

    holders: int
    rate: float


def share_of(rate: float, limits: WarmUpLimits, members: int) -> WarmUpShare:
    """Return how many of some instances may send to a cold target, and how much each.

    Parameters
    ----------
    rate : float
        Requests a second that the target bears.
    members : int
        Instances to which callers come, one at least.
    """
    bound = limits.most_in_a_second(rate) / _SEPARATE_VIEWS
    spare = int(bound - _USED_PART * rate)
    holders = max(1, min(_MOST_HOLDERS, spare, members))
    used = min(rate, max(0.0, bound - holders))
    return WarmUpShare(holders, used / holders)


class _Bucket:
    """Permits of one target, one at most."""

    def __init__(self, now: float):
        self.permits = 1.0
        self.at = now

    def fill(self, rate: float, now: float) -> None:
        self.permits = min(1.0, self.permits + rate * max(0.0, now - self.at))
        self.at = now


class WarmUpPermits:
    """The permits of one instance for the cold targets that it is a holder of.

    Parameters
    ----------
    name : str
        This instance.
    limits : WarmUpLimits
    members : callable
        Returns the names of the instances that callers come to, this one included; empty while
        it isn't known who is there.
    """

    def __init__(self, name: str, limits: WarmUpLimits, members: Callable[[], Collection[str]]):
        self.name = name
        self.limits = limits
        self.members = members
        # Requests that found no permit, in all.
        self.turned_away_count = 0
        self._buckets: dict[str, _Bucket] = {}
        # Of targets and their rates, for the members that were there last.
        self._shares: dict[tuple[str, float], WarmUpShare | None] = {}
        self._shared_by: frozenset[str] = frozenset()
        # When a request of each rank was turned away last.
        self._turned_away: dict[int, float] = {}
        # When requests were told to come back.
        self._waiting: deque[float] = deque()

    @classmethod
    def of_one_instance(cls) -> "WarmUpPermits":
        """Return the permits of an instance that has no peers."""
        return cls("", WarmUpLimits(), lambda: [""])

    def holds(self, target: str, rate: float, now: float) -> bool:
        """Whether a request may be sent to a cold target now."""
        bucket = self._filled(target, rate, now)
        return bucket is not None and bucket.permits >= 1.0

    def take(self, target: str, rate: float, now: float) -> None:
        """Use up a permit."""
        bucket = self._filled(target, rate, now)
        if bucket is not None:
            bucket.permits -= 1.0

    def yields(self, rank: int, now: float) -> bool:
        """Whether a request leaves the next permit to a more urgent one that is to come back."""
        return any(
            other < rank and now - at < _YIELD_SECONDS for other, at in self._turned_away.items()
        )

    def turned_away(self, rank: int, now: float) -> None:
        """Learn that a request found no permit."""
        self.turned_away_count += 1
        self._turned_away[rank] = now

    def wait(self, targets: Collection[str], rate: float, now: float) -> float:
        """Return the seconds after which a request that is turned away now may find a permit.

        Parameters
        ----------
        targets : collection of str
            The cold targets that it may go to.
        """
        permits = sum(share.rate for share in self.held(targets, rate))
        if permits <= 0.0:
            return _NO_PERMITS_SECONDS
        while self._waiting and now - self._waiting[0] > _WAITING_SECONDS:
            self._waiting.popleft()
        self._waiting.append(now)
        return len(self._waiting) / permits

    def held(self, targets: Collection[str], rate: float) -> list[WarmUpShare]:
        """Return the shares of this instance in some cold targets, without those it has none of."""
        shares = [self._share(target, rate) for target in targets]
        return [share for share in shares if share is not None]

    def _share(self, target: str, rate: float) -> WarmUpShare | None:
        """Return what this instance may send to a target, None if it is no holder."""
        members = frozenset(self.members())
        if members != self._shared_by or len(self._shares) > _MOST_BUCKETS:
            self._shares.clear()
            self._shared_by = members
        key = (target, rate)
        if key not in self._shares:
            self._shares[key] = self._share_among(target, rate, members)
        return self._shares[key]

    def _share_among(self, target: str, rate: float, members: frozenset[str]) -> WarmUpShare | None:
        if not members:
            return None
        share = share_of(rate, self.limits, len(members))
        return share if self.name in rendezvous(target, members)[: share.holders] else None

    def _filled(self, target: str, rate: float, now: float) -> _Bucket | None:
        share = self._share(target, rate)
        if share is None:
            return None
        bucket = self._buckets.get(target)
        if bucket is None:
            bucket = self._buckets[target] = _Bucket(now)
            while len(self._buckets) > _MOST_BUCKETS:
                del self._buckets[next(iter(self._buckets))]
        bucket.fill(share.rate, now)
        return bucket
