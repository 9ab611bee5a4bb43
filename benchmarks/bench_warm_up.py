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

from benchmarks.report import print_heading, report
from whinrack.base import rendezvous
from whinrack.dispatch import SharedRatePermits, WarmUpLimits

RATE = 9.9
RATE_BOUND = WarmUpLimits(1.5, 5.0).rate_bound(RATE)
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
        self.rate, self.permits, self.time = rate, 1.0, 0.0

    def try_take(self, now):
        """Take a permit if there is a whole one."""
        self.permits = min(1.0, self.permits + self.rate * (now - self.time))
        self.time = now
        if self.permits < 1.0:
            return False
        self.permits -= 1.0
        return True


class EqualShares:
    """Each of the counted instances has the same part of the rate."""

    def __init__(self, name, view, target):
        self.bucket = Bucket(RATE / len(view))

    def try_send(self, now):
        """Whether one more request is sent."""
        return self.bucket.try_take(now)


class EqualSharesOfAll(EqualShares):
    """Each instance of the fleet has the same part, whether it has callers or not."""

    def __init__(self, name, view, target):
        super().__init__(name, FLEET, target)


class OneHolder:
    """The first few by rendezvous share the rate."""

    count = 1

    def __init__(self, name, view, target):
        is_holder = name in rendezvous(target, view)[: self.count]
        self.bucket = Bucket(RATE / self.count) if is_holder else None

    def try_send(self, now):
        """Whether one more request is sent."""
        return self.bucket is not None and self.bucket.try_take(now)


class FourHolders(OneHolder):
    """Four of them."""

    count = 4


class Leases:
    """The first by rendezvous leases an equal part to each in its view, second by second.

    The lease is told with a heartbeat: what was granted is used in the second after.
    """

    def __init__(self, name, view, target):
        grantor = rendezvous(target, view)[0]
        self.granted = RATE / len(view) if grantor in view else 0.0
        self.second, self.remaining = -1, 0.0

    def try_send(self, now):
        """Whether one more request is sent."""
        if int(now / LEASE_SECONDS) > self.second:
            self.second = int(now / LEASE_SECONDS)
            self.remaining = (self.remaining % 1.0) + self.granted * LEASE_SECONDS
        if self.remaining < 1.0:
            return False
        self.remaining -= 1.0
        return True


class FewHolders:
    """What the product does."""

    def __init__(self, name, view, target):
        self.permits = SharedRatePermits(name, lambda: view)
        self.target = target

    def try_send(self, now):
        """Whether one more request is sent."""
        if not self.permits.has_permit(self.target, RATE_BOUND, now):
            return False
        self.permits.take_permit(self.target, RATE_BOUND, now)
        return True


STRATEGIES = {
    "equal shares of those with callers": EqualShares,
    "equal shares of the fleet": EqualSharesOfAll,
    "one holder": OneHolder,
    "four holders": FourHolders,
    "leases": Leases,
    "few holders, half the bound each": FewHolders,
}


def identical_views(rng):
    """All count the same instances."""
    return dict.fromkeys(SERVING, SERVING)


def partitioned_views(rng):
    """Each half of a cut counts itself only."""
    return {name: SERVING[:3] if name in SERVING[:3] else SERVING[3:] for name in SERVING}


def stale_views(rng):
    """Each lacks two of the others, and counts two that are gone."""
    return {
        name: sorted({name, *rng.sample(SERVING, 4), *rng.sample(FLEET[6:], 2)}) for name in SERVING
    }


VIEWS = {"agree": identical_views, "halves": partitioned_views, "differ": stale_views}


def simulate(strategy_class, views, target, seed):
    """Return the moments at which requests are sent to one target."""
    rng = random.Random(seed)
    environment = simpy.Environment()
    sends = []

    def caller(strategy):
        while True:
            yield environment.timeout(rng.expovariate(DEMAND))
            if strategy.try_send(environment.now):
                sends.append(environment.now)

    for name, view in views(rng).items():
        environment.process(caller(strategy_class(name, view, target)))
    environment.run(until=SECONDS)
    return sends


def max_sends_per_second(sends):
    """Return the most sends within one second."""
    return max(sum(0.0 <= time - first < 1.0 for time in sends) for first in sends) if sends else 0


def main():
    """Compare the ways."""
    bound = RATE_BOUND.max_requests
    print_heading(f"cold targets: {RATE} a second are borne, {bound} may reach one in a second")
    for strategy_name, strategy_class in STRATEGIES.items():
        for name, views in VIEWS.items():
            runs = [
                simulate(strategy_class, views, target, seed)
                for target in TARGETS
                for seed in SEEDS
            ]
            used = sum(map(len, runs)) / (len(runs) * RATE * SECONDS)
            report("warm_up_rate_used", used, "of rate", way=strategy_name, views=name)
            worst = max(map(max_sends_per_second, runs))
            report("warm_up_most_in_a_second", worst, "requests", way=strategy_name, views=name)


if __name__ == "__main__":
    main()
