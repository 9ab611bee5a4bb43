"""Ejecting a target alone against asking the peers first, on the same faults.

Eight instances and ten targets in simulated time. Half of the faults are a target that
is really gone (all instances fail there), half are a link of one instance to one target.
Wrong: an instance sets a healthy target aside for which its own link works, or keeps
using one that is gone or that it cannot reach. Failures cost requests.

References
----------
"Consensus based failover with Pgpool-II" proposes to ask first.
"""

import random

from benchmarks.report import report, section
from whinrack.routing import LocalEjection, MajorityEjection

INSTANCES = 8
TARGETS = 10
STEP = 0.05
DURATION = 300.0
RATE = 5.0
NOISE = 0.002


class World:
    """Faults over time, and one policy for each instance and target."""

    def __init__(self, voting, seed):
        self.random = random.Random(seed)
        self.gone = {}
        self.cut = {}
        self.now = 0.0
        self.voting = voting
        self.votes = 0
        self.policies = {
            (i, t): self._policy(i, t) for i in range(INSTANCES) for t in range(TARGETS)
        }
        self.failed = self.sent = self.unserved = 0
        self.noticed = []
        self.wrong = 0

    def _policy(self, instance, target):
        alone = LocalEjection()
        if not self.voting:
            return alone

        def ask(now):
            self.votes += INSTANCES - 1
            peers = [self.policies[i, target].local for i in range(INSTANCES) if i != instance]
            return sum(peer.is_ejected(now) for peer in peers), len(peers)

        return MajorityEjection(alone, ask)

    def reachable(self, instance, target):
        """Whether the instance can reach the target now."""
        return (
            self.gone.get(target, 0.0) <= self.now
            and self.cut.get((instance, target), 0.0) <= self.now
        )

    def step(self):
        """Let faults begin and requests be sent for one step of time."""
        self.now += STEP
        if self.random.random() < STEP / 10.0:
            target, until = self.random.randrange(TARGETS), self.now + 15.0
            if self.random.random() < 0.5:
                self.gone[target] = until
                self._watch(list(range(INSTANCES)), target)
            else:
                instance = self.random.randrange(INSTANCES)
                self.cut[instance, target] = until
                self._watch([instance], target)
        for instance in range(INSTANCES):
            if self.random.random() < RATE * STEP:
                self._send(instance)
        self.wrong += sum(
            policy.is_ejected(self.now) and self.reachable(*place)
            for place, policy in self.policies.items()
        )

    def _watch(self, instances, target):
        self.noticed += [[self.now, instance, target, None] for instance in instances]

    def _send(self, instance):
        usable = [t for t in range(TARGETS) if not self.policies[instance, t].is_ejected(self.now)]
        if not usable:
            self.unserved += 1
            return
        target = self.random.choice(usable)
        self.sent += 1
        policy = self.policies[instance, target]
        if self.reachable(instance, target) and self.random.random() > NOISE:
            policy.record_success(self.now)
            return
        self.failed += 1
        policy.record_failure(self.now)
        if policy.is_ejected(self.now):
            for row in self.noticed:
                if row[1:3] == [instance, target] and row[3] is None:
                    row[3] = self.now


def main():
    """Compare both policies on the same seeds."""
    section("ejection: alone against after a vote, 8 instances, 10 targets, 300 s, 5 seeds")
    for voting in (False, True):
        worlds = [World(voting, seed) for seed in range(5)]
        for world in worlds:
            while world.now < DURATION:
                world.step()
        way = "vote" if voting else "alone"
        sent = sum(world.sent for world in worlds)
        report(
            "ejection_failed_attempts",
            1000 * sum(w.failed for w in worlds) / sent,
            "per 1000",
            way=way,
        )
        rows = [row for world in worlds for row in world.noticed]
        seen = [row[3] - row[0] for row in rows if row[3] is not None]
        report("ejection_noticed", 100 * len(seen) / len(rows), "%", way=way)
        if seen:
            report("ejection_seconds_to_notice", sum(seen) / len(seen), "s", way=way)
        wrong = sum(world.wrong for world in worlds) * STEP
        report("ejection_wrong", wrong, "target s", way=way)
        report("ejection_votes", sum(world.votes for world in worlds), "calls", way=way)


if __name__ == "__main__":
    main()
