"""Choice of engines for prompts of very different lengths, and a simulated burst of prompts."""

import heapq
import itertools
import math
import random

import msgspec
import pytest

from whinrack.dispatch import TargetRecord, TargetRegistry
from whinrack.dispatch._engine_choice import EngineBacklog, PromptSize, choose_engine
from whinrack.dispatch._target_state import PendingPrompt


def engine(name, unread=0, requests=0, slots=32):
    return EngineBacklog(name, unread, requests, slots)


def test_the_engine_with_the_smallest_backlog_is_chosen():
    engines = [engine("a", unread=50_000, requests=1), engine("b", unread=9_000, requests=4)]
    assert choose_engine(None, engines, 0).name == "b"


def test_an_engine_without_a_free_slot_is_chosen_last():
    engines = [engine("a", requests=32), engine("b", unread=15_000, requests=8)]
    assert choose_engine(None, engines, 0).name == "b"


@pytest.mark.parametrize(("unread", "chosen"), [(20_000, "home"), (60_000, "other")])
def test_the_preferred_engine_is_not_used_if_its_backlog_is_much_larger(unread, chosen):
    home, others = engine("home", unread=unread), [engine("other")]
    assert choose_engine(home, others, 5_000).name == chosen


def registry(count):
    targets = TargetRegistry(seed=1)
    targets.replace_all([TargetRecord(f"e{n}", "p", "h", n, slots=32) for n in range(count)])
    return targets


def test_unread_tokens_of_other_instances_count():
    targets = registry(2)
    first, second = targets.targets_in_pool("p")
    targets.remote_loads.update("m2", {first.digest: 1}, 0.0, {first.digest: 40_000})
    chosen = {
        targets.choose("p", "", (), 0.0, uses_remote_loads=True, prompt=PromptSize(100)).address
        for _ in range(10)
    }
    assert chosen == {second.address}


def test_a_prompt_counts_until_it_is_finished_and_only_once():
    (state,) = registry(1).targets_in_pool("p")
    pending, other = PendingPrompt(state, 700), PendingPrompt(state, 50)
    pending.finish()
    pending.finish()
    assert state.unread_tokens == 50
    other.finish()
    assert state.unread_tokens == 0


class Prompt(msgspec.Struct, frozen=True):
    """One request of the simulation.

    Attributes
    ----------
    tokens, shared : int
        Tokens of the whole prompt, and of the parts that requests on the same topic share.
    """

    is_long: bool
    topic: int
    tokens: int
    shared: int


class Burst:
    """Simulation of instances that send prompts to engines, which process them one by one.

    Each instance knows its own requests at once and those of the others every half second.
    """

    INSTANCES, ENGINES, SECONDS = 15, 39, 20.0
    PROMPTS_A_SECOND, TOKENS_A_SECOND = 330.0, 40_000.0
    FIRST_TOKEN, ANSWER = 0.016, 0.4

    def __init__(self, by_backlog):
        self.by_backlog = by_backlog
        self.random_source = random.Random(1)
        self.registries = [registry(self.ENGINES) for _ in range(self.INSTANCES)]
        self.free_at = [0.0] * self.ENGINES
        self.cached = [set() for _ in range(self.ENGINES)]
        self.first_token_seconds = {True: [], False: []}
        self._numbers = itertools.count()
        self._events = []

    def run(self):
        self._schedule_all()
        while self._events:
            now, _, callback, *arguments = heapq.heappop(self._events)
            callback(now, *arguments)
        return self

    def in_time(self, is_long):
        """Return the fraction of prompts whose first token arrived within 0.8 s."""
        first_token_seconds = self.first_token_seconds[is_long]
        return sum(seconds <= 0.8 for seconds in first_token_seconds) / len(first_token_seconds)

    def _schedule_all(self):
        now = 0.0
        while now < self.SECONDS:
            now += self.random_source.expovariate(self.PROMPTS_A_SECOND)
            self._schedule(
                now, self._arrive, self._prompt(), self.random_source.randrange(self.INSTANCES)
            )
        for instance in range(self.INSTANCES):
            report_at = self.random_source.random() / 2
            while report_at < self.SECONDS + 1.0:
                self._schedule(report_at, self._share_loads, instance)
                report_at += 0.5

    def _prompt(self):
        kind = self.random_source.choices((0, 1, 2), (53.5, 70.5, 81.5))[0]
        if kind == 0:
            shared = 512 + self._length(4870, 0.7, 14_600)
            topic, own = self.random_source.randrange(910), self._length(6610, 1.4, 54_600)
        elif kind == 1:
            shared, topic = 198, 1000 + self.random_source.randrange(801)
            own = self._length(628, 1.0, 3310)
        else:
            shared, topic = 568, 2000 + self.random_source.randrange(925)
            own = self._length(1800, 1.3, 6870)
        return Prompt(kind == 0, topic, shared + own, shared)

    def _length(self, mean, spread, most):
        drawn = self.random_source.lognormvariate(math.log(mean) - spread * spread / 2, spread)
        return int(min(most, drawn))

    def _schedule(self, time, callback, *arguments):
        heapq.heappush(self._events, (time, next(self._numbers), callback, *arguments))

    def _arrive(self, now, prompt, instance):
        targets = self.registries[instance]
        need = PromptSize(prompt.tokens, prompt.shared) if self.by_backlog else None
        state = targets.choose("p", str(prompt.topic), (), now, uses_remote_loads=True, prompt=need)
        targets.begin_request(state)
        pending = PendingPrompt(state, prompt.tokens)
        number = state.record.port
        unread = prompt.tokens - (prompt.shared if prompt.topic in self.cached[number] else 0)
        self.cached[number].add(prompt.topic)
        read = max(now, self.free_at[number]) + unread / self.TOKENS_A_SECOND
        self.free_at[number] = read
        first = read + self.FIRST_TOKEN
        self.first_token_seconds[prompt.is_long].append(first - now)
        self._schedule(first, lambda _: pending.finish())
        self._schedule(first + self.ANSWER, lambda _: targets.end_request(state))

    def _share_loads(self, now, instance):
        sender_registry = self.registries[instance]
        for number, receiver_registry in enumerate(self.registries):
            if number != instance:
                receiver_registry.remote_loads.update(
                    str(instance),
                    sender_registry.requests_by_target(),
                    now,
                    sender_registry.unread_tokens(),
                )


def test_choosing_by_backlog_beats_choosing_by_requests_in_a_burst():
    """At 1.7 times the usual load, with engines that are slower by a third."""
    by_backlog, by_requests = Burst(by_backlog=True).run(), Burst(by_backlog=False).run()
    for is_long, least in ((True, 0.87), (False, 0.95)):
        assert by_backlog.in_time(is_long) >= least
        assert by_backlog.in_time(is_long) >= by_requests.in_time(is_long) + 0.04
