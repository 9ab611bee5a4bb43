"""Ways to share what a cold target bears, on the same arrivals and views, in simulated time.

Six instances have callers, of a fleet of 87, and each has more for one cold target than that bears
(9.9 requests a second; 19.85 may reach it in one second). Compared are an equal share for each
instance with callers, an equal share for each of the fleet, one holder, four holders, leases of a
rate that one instance grants to those that ask, and the few holders of `SharedRatePermits`.

The views: all agree; a cut has parted the instances with callers in two and each half counts itself
only; and each view lacks some that have just begun to serve and has some that are gone.
"""

import random

import simpy

from benchmarks.report import report, section
from whinrack.base import rendezvous_order
from whinrack.dispatch import SharedRatePermits, WarmUpLimits

RATE = 9.9
BOUND = WarmUpLimits(1.5, 5.0).rate_bound(RATE)
FLEET = [f"m{number}" for number in range(87)]
SERVING = FLEET[:6]
DEMAND = 8.0
SECONDS = 30.0
SEEDS = range(5)
TARGETS = [f"t{number}" for number in range(8)]
LEASE_SECONDS = 1.0


class Bucket:
    """A token bucket of depth one."""

    def __init__(self, rate):
        self.rate, self.permits, self.at = rate, 1.0, 0.0

    def try_take(self, now):
        """Take a permit if there is a whole one."""
        self.permits = min(1.0, self.permits + self.rate * (now - self.at))
        self.at = now
        if self.permits < 1.0:
            return False
        self.permits -= 1.0
        return True


class EqualShares:
    """Each of the counted instances has the same part of the rate."""

    def __init__(self, name, view, target):
        self.bucket = Bucket(RATE / len(view))

    def may_send(self, now):
        """Whether one more request is sent."""
        return self.bucket.try_take(now)


class EqualSharesOfAll(EqualShares):
    """Each instance of the fleet has the same part, whether it has callers or not."""

    def __init__(self, name, view, target):
        super().__init__(name, FLEET, target)


class Holders:
    """The first few by rendezvous share the rate."""

    count = 1

    def __init__(self, name, view, target):
        holds = name in rendezvous_order(target, view)[: self.count]
        self.bucket = Bucket(RATE / self.count) if holds else None

    def may_send(self, now):
        """Whether one more request is sent."""
        return self.bucket is not None and self.bucket.try_take(now)


class FourHolders(Holders):
    """Four of them."""

    count = 4


class Leases:
    """The first by rendezvous leases an equal part to each in its view, second by second.

    The lease is told with a heartbeat: what was granted is used in the second after.
    """

    def __init__(self, name, view, target):
        grantor = rendezvous_order(target, view)[0]
        self.granted = RATE / len(view) if grantor in view else 0.0
        self.second, self.left = -1, 0.0

    def may_send(self, now):
        """Whether one more request is sent."""
        if int(now / LEASE_SECONDS) > self.second:
            self.second = int(now / LEASE_SECONDS)
            self.left = (self.left % 1.0) + self.granted * LEASE_SECONDS
        if self.left < 1.0:
            return False
        self.left -= 1.0
        return True


class FewHolders:
    """What the product does."""

    def __init__(self, name, view, target):
        self.permits = SharedRatePermits(name, lambda: view)
        self.target = target

    def may_send(self, now):
        """Whether one more request is sent."""
        if not self.permits.has_permit(self.target, BOUND, now):
            return False
        self.permits.take_permit(self.target, BOUND, now)
        return True


WAYS = {
    "equal shares of those with callers": EqualShares,
    "equal shares of the fleet": EqualSharesOfAll,
    "one holder": Holders,
    "four holders": FourHolders,
    "leases": Leases,
    "few holders, half the bound each": FewHolders,
}


def agreeing(draw):
    """All count the same instances."""
    return dict.fromkeys(SERVING, SERVING)


def halves(draw):
    """Each half of a cut counts itself only."""
    return {name: SERVING[:3] if name in SERVING[:3] else SERVING[3:] for name in SERVING}


def differing(draw):
    """Each lacks two of the others, and counts two that are gone."""
    return {
        name: sorted({name, *draw.sample(SERVING, 4), *draw.sample(FLEET[6:], 2)})
        for name in SERVING
    }


VIEWS = {"agree": agreeing, "halves": halves, "differ": differing}


def play(way, views, target, seed):
    """Return the moments at which requests are sent to one target."""
    draw = random.Random(seed)
    environment = simpy.Environment()
    sends = []

    def caller(share):
        while True:
            yield environment.timeout(draw.expovariate(DEMAND))
            if share.may_send(environment.now):
                sends.append(environment.now)

    for name, view in views(draw).items():
        environment.process(caller(way(name, view, target)))
    environment.run(until=SECONDS)
    return sends


def most_in_a_second(sends):
    """Return the most sends within one second."""
    return max(sum(0.0 <= at - first < 1.0 for at in sends) for first in sends) if sends else 0


def main():
    """Compare the ways."""
    bound = BOUND.max_requests
    section(f"cold targets: {RATE} a second are borne, {bound} may reach one in a second")
    for way, kind in WAYS.items():
        for name, views in VIEWS.items():
            plays = [play(kind, views, target, seed) for target in TARGETS for seed in SEEDS]
            used = sum(map(len, plays)) / (len(plays) * RATE * SECONDS)
            report("warm_up_rate_used", used, "of rate", way=way, views=name)
            worst = max(map(most_in_a_second, plays))
            report("warm_up_most_in_a_second", worst, "requests", way=way, views=name)


if __name__ == "__main__":
    main()
