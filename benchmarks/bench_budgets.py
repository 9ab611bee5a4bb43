"""Overspend, false refusals and platform calls of grants, compared with two baselines.

Eight instances draw on one budget in simulated time (simpy). All strategies see the same
seeded arrivals. The baselines are a conditional write at the start and at the end of
each request, and an equal split of the budget at the start.

A refusal is *false* if the budget, minus the tokens used and the cover of open requests,
would still have covered the request. It is *early* if the rest would have covered one
request of every instance.
"""

import random
from contextlib import nullcontext

import simpy
from returns.result import Failure, Success

from benchmarks.report import print_heading, report
from standins.memory_store import MemoryStore
from whinrack.budgets import (
    ACCOUNT_KIND,
    AccountWriter,
    BudgetAccount,
    BudgetManager,
    DrawOrder,
    SpareTokenSource,
    TokenSource,
    TransferTotal,
    apply_draws,
    apply_topups,
)
from whinrack.exceptions import BudgetContended
from whinrack.objects import Weighting
from whinrack.store import ObjectEditor

INSTANCES = 8
LIMIT = 1_000_000
COVER = 600
RATE = 20.0
DURATION = 240.0
UNLIMITED = 10**9
REPORT_INTERVAL = 2.0


class CoverStrategy:
    """Base class of the strategies to cover requests."""

    name = ""

    def __init__(self, env, limit, weighting):
        self.env = env
        self.limit = limit
        self.weighting = weighting
        self.store = MemoryStore()
        self.editor = ObjectEditor(
            self.store, ACCOUNT_KIND, BudgetAccount, sleep=lambda seconds: None, seed=1
        )
        self.editor.apply("a", lambda account: apply_topups(account, "b", {"1": limit}))
        self.store.call_count = 0

    def cover(self, instance, tokens):
        """Return a handle of the covered request, or None if it is refused."""
        raise NotImplementedError

    def settle(self, handle, used):
        """Settle a covered request with the tokens it used."""
        raise NotImplementedError

    def kill(self, instance):
        """Kill an instance; a new one takes its place."""


class Grants(CoverStrategy):
    """The strategy of Whinrack: instances hold grants of tokens."""

    name = "grants"

    def __init__(self, env, limit, weighting, horizon=600.0):
        super().__init__(env, limit, weighting)
        self.horizon = horizon
        self.account_writer = AccountWriter(
            self.store, nullcontext, seed=1, sleep=lambda seconds: None
        )
        self.generations = dict.fromkeys(range(INSTANCES), 1)
        self.managers = {i: self._make_manager(i) for i in range(INSTANCES)}
        env.process(self._report())

    def _make_manager(self, instance):
        return BudgetManager(
            f"r{instance}.{self.generations[instance]}",
            _DirectSource(self.account_writer),
            _PeerSource(self, instance),
            horizon=self.horizon,
            gather_wait=0.0,
            clock=lambda: self.env.now,
        )

    def cover(self, instance, tokens):
        """Cover a request, or return None if the tokens do not suffice."""
        result = self.managers[instance].cover("a", "b", tokens, self.weighting)
        return result.unwrap() if isinstance(result, Success) else None

    def retry(self, instance, tokens):
        """Retry a refused request.

        Returns the cover, or whether another retry is useful: other requests hold tokens now.
        """
        result = self.managers[instance].cover("a", "b", tokens, self.weighting)
        if isinstance(result, Success):
            return result.unwrap()
        return isinstance(result.failure(), BudgetContended)

    def settle(self, handle, used):
        """Settle a request and return its unused tokens."""
        handle.settle(used)

    def kill(self, instance):
        """Kill an instance, which loses the tokens it held."""
        self.generations[instance] += 1
        self.managers[instance] = self._make_manager(instance)

    def _report(self):
        while True:
            yield self.env.timeout(REPORT_INTERVAL)
            for manager in list(self.managers.values()):
                manager.report()


class _DirectSource(TokenSource):
    def __init__(self, account_writer):
        self.account_writer = account_writer

    def draw(self, order):
        return self.account_writer.draw(order)


class _PeerSource(SpareTokenSource):
    def __init__(self, ways, instance):
        self.ways, self.instance = ways, instance

    def request_from_peers(self, budget, need, wish, received):
        own = self.ways.managers[self.instance].holder
        for peer, manager in self.ways.managers.items():
            if peer != self.instance:
                total = manager.give(budget, own, received.get(manager.holder, 0), need, wish)
                yield TransferTotal(manager.holder, total)


class WritePerRequest(CoverStrategy):
    """A conditional write before each request and one after it."""

    name = "write_per_request"

    def __init__(self, env, limit, weighting):
        super().__init__(env, limit, weighting)
        self.sequence = 0
        self.billed = 0
        self.returned = 0

    def cover(self, instance, tokens):
        """Cover a request, or return None if the tokens do not suffice."""
        drawn_before = self._row().drawn
        if not self._write(need=tokens):
            return None
        drawn = self._row().drawn - drawn_before
        if drawn < tokens:
            self.returned += drawn
            self._write(need=0)
            return None
        return tokens

    def settle(self, handle, used):
        """Settle a request and return its unused tokens."""
        self.billed += used
        self.returned += handle - used
        self._write(need=0)

    def _write(self, need):
        self.sequence += 1
        order = DrawOrder(
            account="a",
            budget="b",
            holder="all.1",
            sequence=self.sequence,
            need=need,
            billed=self.billed,
            returned=self.returned,
            opening=True,
        )
        result = self.editor.apply("a", lambda account: apply_draws(account, [order]))
        return not isinstance(result, Failure)

    def _row(self):
        calls, down = self.store.call_count, self.store.down
        self.store.down = False
        rows = self.editor.read("a").unwrap().budgets["b"].rows
        self.store.call_count, self.store.down = calls, down
        return rows.get("all.1") or _NO_ROW


class _NoRow:
    drawn = 0


_NO_ROW = _NoRow()


class StaticSplit(CoverStrategy):
    """An equal split of the budget between the instances, made once."""

    name = "static_split"

    def __init__(self, env, limit, weighting):
        super().__init__(env, limit, weighting)
        self.left = dict.fromkeys(range(INSTANCES), limit // INSTANCES)

    def cover(self, instance, tokens):
        """Cover a request, or return None if the tokens do not suffice."""
        if self.left[instance] < tokens:
            return None
        self.left[instance] -= tokens
        return (instance, tokens)

    def settle(self, handle, used):
        """Settle a request and return its unused tokens."""
        instance, tokens = handle
        self.left[instance] += tokens - used

    def kill(self, instance):
        """Kill an instance, which loses the tokens it held."""
        self.left[instance] = 0


class Simulation:
    """A simulation of one scenario with one strategy."""

    def __init__(self, strategy_class, scenario, seed, weighting, limit):
        self.env = simpy.Environment()
        self.ways = strategy_class(self.env, limit, weighting)
        self.limit = limit
        self.random = random.Random(seed)
        self.weighting = weighting
        self.used = self.open = self.requests = 0
        self.false_refusals = self.early_refusals = self.refused = 0
        self.lost = 0
        self.max_wait = 1.0 if weighting is Weighting.FALSE_REFUSALS else 0.0
        weights = scenario.get("weights", [1] * INSTANCES)
        self.instances = self.random.choices(range(INSTANCES), weights, k=int(RATE * DURATION) + 1)
        self.killed_at = {}
        self.env.process(self._arrivals())
        if "outage" in scenario:
            self.env.process(self._outage(*scenario["outage"]))
        for at, instance in scenario.get("kills", ()):
            self.env.process(self._kill(at, instance))

    def run(self):
        """Simulate the whole scenario."""
        self.env.run(until=DURATION + 20.0)
        return self

    def _arrivals(self):
        for instance in self.instances:
            yield self.env.timeout(self.random.expovariate(RATE))
            tokens, duration = self.random.randint(100, COVER), self.random.uniform(0.5, 4.0)
            self.env.process(self._request(instance, tokens, duration))

    def _request(self, instance, tokens, duration):
        self.requests += 1
        handle = self.ways.cover(instance, COVER)
        waited = 0.0
        while handle is None and waited < self.max_wait and isinstance(self.ways, Grants):
            yield self.env.timeout(0.1)
            waited += 0.1
            retried = self.ways.retry(instance, COVER)
            if retried is False:
                break
            if retried is not True:
                handle = retried
        if handle is None:
            self._count_refusal()
            return
        self.open += COVER
        killed_at = self.killed_at.get(instance)
        yield self.env.timeout(duration)
        self.open -= COVER
        self.used += tokens
        if self.killed_at.get(instance) == killed_at:
            self.ways.settle(handle, tokens)

    def _count_refusal(self):
        self.refused += 1
        left = self.limit - self.used - self.open
        if left >= COVER:
            self.false_refusals += 1
        if left >= COVER * INSTANCES:
            self.early_refusals += 1

    def _outage(self, start, seconds):
        yield self.env.timeout(start)
        self.ways.store.down = True
        yield self.env.timeout(seconds)
        self.ways.store.down = False

    def _kill(self, at, instance):
        yield self.env.timeout(at)
        self.killed_at[instance] = at
        self.ways.kill(instance)


SCENARIOS = {
    "tail": ({}, LIMIT),
    "skew": ({"weights": [30, 1, 1, 1, 1, 1, 1, 1]}, LIMIT),
    "outage_180s": ({"outage": (30.0, 180.0)}, UNLIMITED),
    "outage_45s": ({"outage": (60.0, 45.0)}, UNLIMITED),
    "kills": ({"kills": [(60.0, 1), (90.0, 5)]}, LIMIT),
}
SEEDS = range(3)


def main():
    """Run every scenario with every strategy."""
    for scenario, (fields, limit) in SCENARIOS.items():
        print_heading(f"budgets: {scenario}")
        for weighting in Weighting:
            for strategy_class in (Grants, WritePerRequest, StaticSplit):
                if strategy_class is not Grants and weighting is Weighting.FALSE_REFUSALS:
                    continue
                runs = [
                    Simulation(strategy_class, fields, seed, weighting, limit).run()
                    for seed in SEEDS
                ]
                _report(scenario, strategy_class.name, weighting, runs)


def _report(scenario, strategy_name, weighting, runs):
    labels = {"scenario": scenario, "way": strategy_name, "weighting": str(weighting)}
    requests = sum(run.requests for run in runs)
    overspend = sum(max(0, run.used - run.limit) for run in runs)
    calls = sum(run.ways.store.call_count for run in runs)
    report("overspend", overspend, "tokens", **labels)
    report(
        "false_refusals",
        1000 * sum(r.false_refusals for r in runs) / requests,
        "per 1000",
        **labels,
    )
    report(
        "early_false_refusals",
        1000 * sum(r.early_refusals for r in runs) / requests,
        "per 1000",
        **labels,
    )
    if runs[0].limit != UNLIMITED:
        left = sum(max(0, run.limit - run.used) for run in runs)
        report("unspent_at_the_end", 100 * left / sum(run.limit for run in runs), "%", **labels)
    report("platform_calls", 1000 * calls / requests, "per 1000", **labels)
    report("platform_call_rate", calls / len(runs) / DURATION, "per s", **labels)


if __name__ == "__main__":
    main()
