"""Local ejection of targets compared with ejection by majority vote, on the same faults.

Eight instances and ten targets in simulated time. In half of the faults a target is down, so
every instance fails there; in the other half the link of one instance to one target is down.
An instance is wrong if it ejects a healthy target that it can reach, or keeps using one that is
down or unreachable. Failed attempts cost requests.

References
----------
"Consensus based failover with Pgpool-II" proposes to ask the peers first.
"""

import random

from benchmarks.report import print_heading, report
from whinrack.routing import LocalEjection, MajorityEjection

INSTANCES = 8
TARGETS = 10
STEP = 0.05
DURATION = 300.0
RATE = 5.0
NOISE = 0.002


class Simulation:
    """A simulation of faults, with one ejection policy for each instance and target."""

    def __init__(self, voting, seed):
        self.random = random.Random(seed)
        self.target_down_until = {}
        self.link_down_until = {}
        self.now = 0.0
        self.voting = voting
        self.votes = 0
        self.policies = {
            (i, t): self._policy(i, t) for i in range(INSTANCES) for t in range(TARGETS)
        }
        self.failed = self.sent = self.unserved = 0
        self.detections = []
        self.wrong_steps = 0

    def _policy(self, instance, target):
        local = LocalEjection()
        if not self.voting:
            return local

        def count_votes(now):
            self.votes += INSTANCES - 1
            peers = [self.policies[i, target].local for i in range(INSTANCES) if i != instance]
            return sum(peer.is_ejected(now) for peer in peers), len(peers)

        return MajorityEjection(local, count_votes)

    def is_reachable(self, instance, target):
        """Return whether the instance can reach the target now."""
        return (
            self.target_down_until.get(target, 0.0) <= self.now
            and self.link_down_until.get((instance, target), 0.0) <= self.now
        )

    def step(self):
        """Advance by one time step: start faults and send requests."""
        self.now += STEP
        if self.random.random() < STEP / 10.0:
            target, until = self.random.randrange(TARGETS), self.now + 15.0
            if self.random.random() < 0.5:
                self.target_down_until[target] = until
                self._expect_detection(list(range(INSTANCES)), target)
            else:
                instance = self.random.randrange(INSTANCES)
                self.link_down_until[instance, target] = until
                self._expect_detection([instance], target)
        for instance in range(INSTANCES):
            if self.random.random() < RATE * STEP:
                self._send(instance)
        self.wrong_steps += sum(
            policy.is_ejected(self.now) and self.is_reachable(*pair)
            for pair, policy in self.policies.items()
        )

    def _expect_detection(self, instances, target):
        self.detections += [[self.now, instance, target, None] for instance in instances]

    def _send(self, instance):
        usable = [t for t in range(TARGETS) if not self.policies[instance, t].is_ejected(self.now)]
        if not usable:
            self.unserved += 1
            return
        target = self.random.choice(usable)
        self.sent += 1
        policy = self.policies[instance, target]
        if self.is_reachable(instance, target) and self.random.random() > NOISE:
            policy.record_success(self.now)
            return
        self.failed += 1
        policy.record_failure(self.now)
        if policy.is_ejected(self.now):
            for row in self.detections:
                if row[1:3] == [instance, target] and row[3] is None:
                    row[3] = self.now


def main():
    """Compare both policies on the same seeds."""
    print_heading("ejection: local or by vote, 8 instances, 10 targets, 300 s, 5 seeds")
    for voting in (False, True):
        simulations = [Simulation(voting, seed) for seed in range(5)]
        for simulation in simulations:
            while simulation.now < DURATION:
                simulation.step()
        way = "vote" if voting else "alone"
        sent = sum(simulation.sent for simulation in simulations)
        report(
            "ejection_failed_attempts",
            1000 * sum(w.failed for w in simulations) / sent,
            "per 1000",
            way=way,
        )
        rows = [row for simulation in simulations for row in simulation.detections]
        delays = [row[3] - row[0] for row in rows if row[3] is not None]
        report("ejection_noticed", 100 * len(delays) / len(rows), "%", way=way)
        if delays:
            report("ejection_seconds_to_notice", sum(delays) / len(delays), "s", way=way)
        wrong_seconds = sum(simulation.wrong_steps for simulation in simulations) * STEP
        report("ejection_wrong", wrong_seconds, "target s", way=way)
        report(
            "ejection_votes", sum(simulation.votes for simulation in simulations), "calls", way=way
        )


if __name__ == "__main__":
    main()
