"""Placement of prompts by their learned cost and the work left at each engine; pure logic.

It applies to pools of engines with a latency objective. See docs/design/placement-by-cost.md.
"""

import math
import random
from collections.abc import Sequence

import msgspec

from whinrack.base import rendezvous_order
from whinrack.dispatch._cost_estimates import Moments, OutputEstimates
from whinrack.dispatch._engine_choice import TOKENS_PER_REQUEST, EngineBacklog, PromptSize
from whinrack.dispatch._engine_speeds import EngineSpeeds

__all__ = [
    "CostPlacement",
    "EngineWork",
    "Objective",
    "Placement",
    "PlacementReason",
    "PlacementRequest",
]

# Work up to this fraction of an objective is safe. The rest covers requests of other instances that
# are not known yet.
_SAFE_FRACTION = 0.5
# An engine with the shared parts is kept while its cost exceeds the least one by less than this
# fraction of the objective.
_HOME_FRACTION = 0.5
# A large prompt exceeds the mean by this many standard deviations.
_LARGE_DEVIATIONS = 2.0
# Fraction of the shared parts that the engine which is the first choice for them is expected to
# hold: the first request on a part processes it, and unused parts give way to others.
_KEPT_FRACTION = 0.5
# Engines that are compared: one in _SAMPLE_DIVISOR, at least _MIN_SAMPLED. Comparing all engines of
# a large pool would take milliseconds for each request.
_SAMPLE_DIVISOR = 4
_MIN_SAMPLED = 8
# Engines whose costs differ by less than this fraction of the objective are equally good. Instances
# that know the same would all choose the same engine otherwise.
_EQUAL_FRACTION = 0.1
# Weight of the latest choice in the average fraction of busy engines, and its maximum.
_BUSY_WEIGHT = 0.02
_MAX_BUSY_FRACTION = 0.8
# A request is refused if not even this fraction of the work ahead of it would end before its
# deadline: engines may be faster than learned, and work ahead may be given up.
_CERTAIN_FRACTION = 0.5


class Objective(msgspec.Struct, frozen=True):
    """What the placement of a request has to reach.

    Attributes
    ----------
    goal : float
        Seconds within which the first event should arrive.
    tightest_gap_goal : float
        The shortest pause between events that is too long for a route of the pool, in seconds;
        0 if none is stated.
    seconds_left : float
        Seconds until the deadline.
    output_tokens : float
        Output that the request is likely to generate.
    """

    goal: float
    seconds_left: float
    tightest_gap_goal: float = 0.0
    output_tokens: float = 0.0


class EngineWork(EngineBacklog, frozen=True):
    """Work left at one engine.

    Attributes
    ----------
    digest : int
        Digest of the identity of its start, see `TargetState.digest`.
    output_left : float
        Output tokens that this instance's requests there are likely to generate yet.
    own_requests : int
        This instance's requests there.
    """

    digest: int = 0
    output_left: float = 0.0
    own_requests: int = 0


class PlacementReason:
    """Why an engine was chosen, for metrics."""

    BACKLOG = "backlog"
    SHARED = "shared"
    LEAST_COST = "least_cost"


class Placement(msgspec.Struct, frozen=True):
    """The engine chosen for a prompt.

    Attributes
    ----------
    name : str
        The chosen engine.
    digest : int
        Its digest, see `TargetState.digest`.
    reason : str
        One of `PlacementReason`.
    expected_seconds : float
        Expected seconds from sending the request to its first event.
    work_seconds : float
        Seconds of work ahead of the request at the engine.
    unread_tokens : int
        Prompt tokens that the engine is expected to process until the first event.
    least_work_seconds : float
        Seconds of work ahead of it at the least busy engine.
    is_reachable : bool
        Whether the request may begin at any engine before its deadline.
    """

    name: str
    digest: int
    reason: str
    expected_seconds: float
    work_seconds: float
    unread_tokens: int
    least_work_seconds: float
    is_reachable: bool


class PlacementRequest(msgspec.Struct):
    """A request to place a prompt by cost, and the result once an engine is chosen."""

    objective: Objective
    result: Placement | None = None


class _Cost(msgspec.Struct, frozen=True):
    engine: EngineWork
    is_home: bool
    expected_seconds: float
    work_seconds: float
    unread_tokens: int
    total_seconds: float


class CostPlacement:
    """Chooses the engine at which a prompt has the smallest cost.

    Parameters
    ----------
    random_source : random.Random
        Decides between equally good engines.
    """

    def __init__(self, random_source: random.Random):
        self.speeds = EngineSpeeds()
        self.outputs = OutputEstimates()
        self._random = random_source
        self._busy_fraction: dict[str, float] = {}
        self._prompts: dict[str, Moments] = {}

    def choose(
        self,
        pool: str,
        engines: Sequence[EngineWork],
        affinity: str,
        prompt: PromptSize,
        objective: Objective,
        now: float,
    ) -> Placement:
        """Choose one of the engines, at least one, for a prompt.

        Parameters
        ----------
        affinity : str
            Key of the prompt's shared parts, empty for none.
        """
        self._observe(pool, engines, prompt)
        risks = self._pause_risks(pool, engines, objective, now)
        home = self._home(risks, affinity, objective)

        def costs_of(some: Sequence[EngineWork]) -> list[_Cost]:
            return [self._cost(pool, e, home, risks[e.name], prompt, objective, now) for e in some]

        costs = costs_of(self._candidates(engines, home))
        if not _is_reachable(costs, objective):
            costs = costs_of(engines)
        chosen = self._cheapest(costs, objective)
        return Placement(
            name=chosen.engine.name,
            digest=chosen.engine.digest,
            reason=PlacementReason.SHARED if chosen.is_home else PlacementReason.LEAST_COST,
            expected_seconds=chosen.expected_seconds,
            work_seconds=chosen.work_seconds,
            unread_tokens=chosen.unread_tokens,
            least_work_seconds=min(cost.work_seconds for cost in costs),
            is_reachable=_is_reachable(costs, objective),
        )

    def describe(
        self,
        pool: str,
        engine: EngineWork,
        prompt: PromptSize,
        has_shared: bool,
        objective: Objective,
        now: float,
    ) -> Placement:
        """Return what is expected at an engine that was chosen by its backlog.

        Parameters
        ----------
        has_shared : bool
            Whether the engine is likely to hold the prompt's shared parts.
        """
        self._observe(pool, [engine], prompt)
        home = engine.name if has_shared else ""
        cost = self._cost(pool, engine, home, 0.0, prompt, objective, now)
        return Placement(
            name=engine.name,
            digest=engine.digest,
            reason=PlacementReason.BACKLOG,
            expected_seconds=cost.expected_seconds,
            work_seconds=cost.work_seconds,
            unread_tokens=cost.unread_tokens,
            least_work_seconds=cost.work_seconds,
            is_reachable=True,
        )

    def _candidates(self, engines: Sequence[EngineWork], home: str) -> Sequence[EngineWork]:
        """Return a random sample of the engines, and the one with the shared parts."""
        count = max(_MIN_SAMPLED, len(engines) // _SAMPLE_DIVISOR)
        if count >= len(engines):
            return engines
        sampled = self._random.sample(engines, count)
        return sampled + [e for e in engines if e.name == home and e not in sampled]

    def _home(self, risks: dict[str, float], affinity: str, objective: Objective) -> str:
        """Return the engine that is likely to hold a prompt's shared parts, empty for none."""
        if not affinity:
            return ""
        return rendezvous_order(affinity, self._fit_names(risks, objective))[0]

    def _fit_names(self, risks: dict[str, float], objective: Objective) -> list[str]:
        """Return the engines where streams are in time beside a large prompt, or else all.

        All instances learn alike which engines are slow, and leave the same ones out.
        """
        limit = (1.0 - _SAFE_FRACTION) * objective.tightest_gap_goal
        return [name for name, risk in risks.items() if risk <= limit] or list(risks)

    def _pause_risks(
        self, pool: str, engines: Sequence[EngineWork], objective: Objective, now: float
    ) -> dict[str, float]:
        """Return by how many seconds a large prompt beside a stream would exceed the safe pause."""
        if not objective.tightest_gap_goal:
            return {engine.name: 0.0 for engine in engines}
        prompts = self._prompts[pool]
        large = prompts.mean + _LARGE_DEVIATIONS * math.sqrt(prompts.variance)
        seconds = large * self.speeds.seconds_per_token(pool)
        limit = _SAFE_FRACTION * objective.tightest_gap_goal
        return {
            engine.name: max(0.0, seconds * self.speeds.slowness(pool, engine.digest, now) - limit)
            for engine in engines
        }

    def _cost(
        self,
        pool: str,
        engine: EngineWork,
        home: str,
        pause_risk: float,
        prompt: PromptSize,
        objective: Objective,
        now: float,
    ) -> _Cost:
        is_home = engine.name == home
        kept_tokens = round(_KEPT_FRACTION * prompt.shared_tokens)
        own_tokens = prompt.tokens - (kept_tokens if is_home else 0)
        ahead = engine.unread_tokens + TOKENS_PER_REQUEST * engine.requests
        speeds = self.speeds
        seconds_per_token = speeds.seconds_per_token(pool)
        slowness = speeds.slowness(pool, engine.digest, now)
        read = slowness * speeds.expected_seconds(pool, own_tokens + ahead)
        slot_wait = self._slot_wait(pool, engine, objective)
        # Running streams pause while prompts are processed beside them.
        pause_limit = _SAFE_FRACTION * objective.tightest_gap_goal or float("inf")
        pauses = max(0.0, read - pause_limit) * min(engine.requests, engine.slots)
        # Work that is done twice delays the requests after it as well: by this multiple of it on
        # average if the engine is busy for a fraction of the time.
        busy = min(_MAX_BUSY_FRACTION, self._busy_fraction[pool])
        repeated = 0 if is_home else kept_tokens
        delay = repeated * seconds_per_token * busy / (1.0 - busy)
        return _Cost(
            engine=engine,
            is_home=is_home,
            expected_seconds=read + slot_wait,
            work_seconds=slowness * ahead * seconds_per_token + slot_wait,
            unread_tokens=own_tokens + ahead,
            total_seconds=read + slot_wait + pauses + pause_risk + delay,
        )

    def _slot_wait(self, pool: str, engine: EngineWork, objective: Objective) -> float:
        """Return the expected wait for a free slot: the requests there end one after the other."""
        waiting = max(0, engine.requests + 1 - engine.slots)
        if not waiting:
            return 0.0
        own = engine.output_left / engine.own_requests if engine.own_requests else 0.0
        output_tokens = max(own, objective.output_tokens / 2)
        return waiting * output_tokens * self.speeds.step_seconds(pool) / engine.slots

    def _cheapest(self, costs: Sequence[_Cost], objective: Objective) -> _Cost:
        """Return an engine of about the least cost, one that has the shared parts if possible."""
        least = min(map(_total_seconds, costs))
        home = min((cost for cost in costs if cost.is_home), key=_total_seconds, default=None)
        if home and home.total_seconds <= least + _HOME_FRACTION * objective.goal:
            return home
        limit = least + _EQUAL_FRACTION * objective.goal
        return self._random.choice([cost for cost in costs if cost.total_seconds <= limit])

    def _observe(self, pool: str, engines: Sequence[EngineWork], prompt: PromptSize) -> None:
        self._prompts.setdefault(pool, Moments()).observe(prompt.tokens)
        busy = sum(engine.unread_tokens > 0 for engine in engines) / len(engines)
        average = self._busy_fraction.get(pool, 0.0)
        self._busy_fraction[pool] = average + _BUSY_WEIGHT * (busy - average)


def _total_seconds(cost: _Cost) -> float:
    return cost.total_seconds


def _is_reachable(costs: Sequence[_Cost], objective: Objective) -> bool:
    """Return whether a request may begin before its deadline at one of the engines."""
    return any(
        (not cost.engine.unread_tokens and cost.engine.requests < cost.engine.slots)
        or _CERTAIN_FRACTION * cost.work_seconds <= objective.seconds_left
        for cost in costs
    )
