"""Strategies to share the rate limit of a cold target between instances, in simulated time.

Six instances of a fleet of 87 have callers, and each has more requests for one cold target than
the target can serve (9.9 requests per second; at most 19.85 may reach it within one second).
The strategies are an equal share for each instance with callers, an equal share for each instance
of the fleet, one holder, four holders, leases of a rate that one instance grants to those that
ask, and the few holders of `SharedRatePermits`. All see the same arrivals and member lists.

The member lists are identical; or a partition splits the instances with callers in two halves, and
each half lists only itself; or each list lacks some instances that have just begun to serve and
includes some that have left.
"""

import random

import simpy

from benchmarks.report import print_heading, report
from whinrack.base import rendezvous_order
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
        """Take a permit if a whole one is available, and return whether it was."""
        self.permits = min(1.0, self.permits + self.rate * (now - self.time))
        self.time = now
        if self.permits < 1.0:
            return False
        self.permits -= 1.0
        return True


class EqualShares:
    """An equal share of the rate for each instance in the view."""

    def __init__(self, name, view, target):
        self.bucket = Bucket(RATE / len(view))

    def try_send(self, now):
        """Send one more request if permitted, and return whether it was sent."""
        return self.bucket.try_take(now)


class EqualSharesOfAll(EqualShares):
    """An equal share for each instance of the fleet, whether it has callers or not."""

    def __init__(self, name, view, target):
        super().__init__(name, FLEET, target)


class OneHolder:
    """Equal shares for the first `count` instances by rendezvous_order hashing."""

    count = 1

    def __init__(self, name, view, target):
        is_holder = name in rendezvous_order(target, view)[: self.count]
        self.bucket = Bucket(RATE / self.count) if is_holder else None

    def try_send(self, now):
        """Send one more request if permitted, and return whether it was sent."""
        return self.bucket is not None and self.bucket.try_take(now)


class FourHolders(OneHolder):
    """Equal shares for the first four instances."""

    count = 4


class Leases:
    """Equal shares leased each second by the first instance by rendezvous_order hashing.

    Leases are announced in heartbeats, so a share is used in the second after its grant.
    """

    def __init__(self, name, view, target):
        grantor = rendezvous_order(target, view)[0]
        self.granted = RATE / len(view) if grantor in view else 0.0
        self.second, self.remaining = -1, 0.0

    def try_send(self, now):
        """Send one more request if permitted, and return whether it was sent."""
        if int(now / LEASE_SECONDS) > self.second:
            self.second = int(now / LEASE_SECONDS)
            self.remaining = (self.remaining % 1.0) + self.granted * LEASE_SECONDS
        if self.remaining < 1.0:
            return False
        self.remaining -= 1.0
        return True


class FewHolders:
    """The strategy of Whinrack, `SharedRatePermits`."""

    def __init__(self, name, view, target):
        self.permits = SharedRatePermits(name, lambda: view)
        self.target = target

    def try_send(self, now):
        """Send one more request if permitted, and return whether it was sent."""
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
    """Return the same member list for every instance."""
    return dict.fromkeys(SERVING, SERVING)


def partitioned_views(rng):
    """Return member lists in which each half of a partition lists only itself."""
    return {name: SERVING[:3] if name in SERVING[:3] else SERVING[3:] for name in SERVING}


def stale_views(rng):
    """Return member lists that each lack about two instances and include two that have left."""
    return {
        name: sorted({name, *rng.sample(SERVING, 4), *rng.sample(FLEET[6:], 2)}) for name in SERVING
    }


VIEWS = {"agree": identical_views, "halves": partitioned_views, "differ": stale_views}


def simulate(strategy_class, views, target, seed):
    """Return the times at which requests are sent to one target."""
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
    """Return the largest number of requests sent within one second."""
    return max(sum(0.0 <= time - first < 1.0 for time in sends) for first in sends) if sends else 0


def main():
    """Compare the strategies."""
    bound = RATE_BOUND.max_requests
    print_heading(f"cold targets: capacity {RATE} per second, at most {bound} within one second")
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
