"""Simulation of a fleet with targets that state rate limits.

Time and network are simulated; all decisions are taken by the code under test.
"""

import random

import simpy

from whinrack.dispatch import (
    NO_LIMIT,
    SharedRatePermits,
    StatedLimits,
    TargetRecord,
    TargetRegistry,
)

__all__ = ["Fleet", "most_in_window"]

_POOL = "p"
_HEARTBEAT_SECONDS = 0.5
# Number of receivers of each heartbeat, as in a large fleet.
_FANOUT = 6
_CHANGE_DELAY_SECONDS = 0.02
_REMEMBERED_SECONDS = 15.0
_SETTLE_SECONDS = 2.0
_MEMBERS_UPDATE_SECONDS = 0.1
_SILENT_SECONDS = 1.0
WINDOW_SECONDS = 4.0


def most_in_window(times, seconds=WINDOW_SECONDS):
    """Return the maximum number of the sorted times that lie within one window."""
    most, first = 0, 0
    for last, at in enumerate(times):
        while at - times[first] >= seconds:
            first += 1
        most = max(most, last - first + 1)
    return most


class Target:
    """A target that answers after a delay and states a configurable limit.

    Attributes
    ----------
    times : list of float
        Times at which requests arrived.
    limit : float
        Stated limit in requests per second.
    """

    def __init__(self, name, limit=NO_LIMIT):
        self.name = name
        self.limit = limit
        self.times = []


class Instance:
    """One instance of the fleet: its registry and its view of the members."""

    def __init__(self, fleet, name):
        self.fleet = fleet
        self.name = name
        self.start()

    def start(self):
        """Start or restart, knowing only the list of targets."""
        clock = lambda: self.fleet.now  # noqa: E731
        self.started_at = self.fleet.now
        self._members, self._members_updated_at = frozenset(), -1.0
        limits = StatedLimits(f"{self.name}-{self.fleet.now}", clock)
        limits.on_change.append(lambda change: self.fleet.spread(self))
        permits = SharedRatePermits(self.name, self.members, self.is_complete)
        self.registry = TargetRegistry(
            seed=1, rate_permits=permits, stated_limits=limits, clock=clock
        )
        for target in self.fleet.targets:
            self.registry.put(TargetRecord(target.name, _POOL, "h", 1, slots=10_000))

    def members(self):
        """Return the members that this instance knows, as the real membership would."""
        if self.fleet.now - self._members_updated_at >= _MEMBERS_UPDATE_SECONDS:
            self._members_updated_at = self.fleet.now
            self._members = self._known_members()
        return self._members

    def is_complete(self):
        """Return whether neither this instance nor one that it can reach misses a member."""
        fleet = self.fleet
        if not fleet.partition or fleet.now - fleet.split_at < _SILENT_SECONDS:
            return True
        remembering = (
            fleet.reaches(self.name, name) and instance.started_at < fleet.split_at
            for name, instance in fleet.instances.items()
        )
        return not any(remembering)

    def _known_members(self):
        fleet = self.fleet
        if self.started_at > 0.0 and fleet.now - self.started_at < _SETTLE_SECONDS:
            return frozenset()
        remembers = (
            fleet.now - fleet.split_at <= _REMEMBERED_SECONDS and self.started_at < fleet.split_at
        )
        return frozenset(
            name for name in fleet.names if remembers or fleet.reaches(self.name, name)
        )


class Fleet:
    """Instances, targets and callers.

    Parameters
    ----------
    count : int
        Number of instances.
    limits : list of float
        Stated limits, one target for each.
    demand : float
        Requests per second from the callers of each instance.
    idle : collection of str, optional
        Names of the instances without callers.
    """

    def __init__(self, count, limits, demand, seed=1, answer_seconds=0.05, idle=()):
        self.environment = simpy.Environment()
        self.random = random.Random(seed)
        self.demand = demand
        self.answer_seconds = answer_seconds
        self.refused = 0
        # One side of a network partition.
        self.partition = frozenset()
        self.split_at = float("-inf")
        # Time until which the requests of an instance are delayed in the network.
        self.delayed_until = {}
        self.targets = [Target(f"t{number}", limit) for number, limit in enumerate(limits)]
        self.names = [f"m{number}" for number in range(count)]
        self.instances = {}
        for name in self.names:
            self.instances[name] = Instance(self, name)
            if name not in idle:
                self.environment.process(self._callers(self.instances[name]))
            self.environment.process(self._send_heartbeats(self.instances[name]))

    @property
    def now(self):
        """Simulated time in seconds."""
        return self.environment.now

    def run(self, until):
        """Run the simulation up to a time."""
        self.environment.run(until=until)

    def split(self, partition):
        """Partition the fleet."""
        self.partition = frozenset(partition)
        self.split_at = self.now

    def heal(self):
        """End the partition."""
        self.partition = frozenset()

    def reaches(self, sender, receiver):
        """Return whether messages between two instances are delivered."""
        return (sender in self.partition) == (receiver in self.partition)

    def since(self, moment):
        """Return the arrival times at each target after a time."""
        return [[at for at in target.times if at > moment] for target in self.targets]

    def spread(self, instance):
        """Send an extra heartbeat shortly after a change."""
        self.environment.process(self._spread(instance))

    def _spread(self, instance):
        yield self.environment.timeout(_CHANGE_DELAY_SECONDS)
        self._send_heartbeat(instance)

    def _send_heartbeats(self, instance):
        yield self.environment.timeout(self.random.random() * _HEARTBEAT_SECONDS)
        while True:
            self._send_heartbeat(instance)
            yield self.environment.timeout(_HEARTBEAT_SECONDS)

    def _send_heartbeat(self, instance):
        instance.registry.stated_limits.drop_expired()
        reports = instance.registry.stated_limits.next_reports()
        others = [name for name in self.names if name != instance.name]
        for name in self.random.sample(others, min(_FANOUT, len(others))):
            if self.reaches(instance.name, name):
                self.instances[name].registry.stated_limits.merge_reports(reports, instance.name)

    def _callers(self, instance):
        while True:
            yield self.environment.timeout(self.random.expovariate(self.demand))
            registry = instance.registry
            state = registry.choose(_POOL, "", (), self.now)
            if state is None:
                self.refused += 1
                continue
            permit = registry.begin_request(state)
            if not registry.can_still_send(state, None, permit):
                registry.end_request(state)
                continue
            target = self.targets[int(state.record.incarnation[1:])]
            self.environment.process(self._request(registry, state, target, instance.name))

    def _request(self, registry, state, target, sender):
        sent_at = self.now
        state.unanswered_requests += 1
        until = self.delayed_until.get(sender, 0.0)
        if until > self.now:
            yield self.environment.timeout(until - self.now)
        target.times.append(self.now)
        stated = target.limit
        yield self.environment.timeout(self.answer_seconds * self.random.uniform(0.5, 1.5))
        state.unanswered_requests -= 1
        registry.stated_limits.record_answer(state.record.identity, stated, sent_at)
        registry.end_request(state)
