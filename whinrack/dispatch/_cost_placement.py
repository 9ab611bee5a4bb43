"""Placement of prompts by their learned cost and the work left at each engine; pure logic.

It applies to pools of engines with a latency objective. See docs/design/placement-by-cost.md.
"""

import random
from collections.abc import Sequence

import msgspec

from whinrack.base import rendezvous_order
from whinrack.dispatch._cost_estimates import OutputEstimates
from whinrack.dispatch._engine_choice import PromptSize
from whinrack.dispatch._engine_speeds import EngineSpeeds
from whinrack.dispatch._size_shares import SizeShares, is_long_prompt

__all__ = [
    "CostPlacement",
    "EngineWork",
    "Objective",
    "Placement",
    "PlacementReason",
    "PlacementRequest",
]

# Prompt tokens equivalent to a running request, whose generation delays the processing of prompts.
_TOKENS_PER_REQUEST = 100
# The engine that has the shared parts is kept while it is expected to answer within this fraction
# of the objective. The rest covers requests of other instances that are not known yet.
_SAFE_FRACTION = 0.5
# Fraction of the shared parts that the engine which is the first choice for them is expected to
# hold: the first request on a part processes it, and unused parts give way to others.
_KEPT_FRACTION = 0.5
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
    tightest_goal : float
        The shortest objective of the pool's routes, in seconds.
    separates_sizes : bool
        Whether the pool's routes have different priorities or objectives.
    tightest_gap_goal : float
        The shortest pause between events that is too long for a route of the pool, in seconds;
        0 if none is stated.
    seconds_left : float
        Seconds until the deadline.
    output_tokens : float
        Output that the request is likely to generate.
    """

    goal: float
    tightest_goal: float
    separates_sizes: bool
    seconds_left: float
    tightest_gap_goal: float = 0.0
    output_tokens: float = 0.0


class EngineWork(msgspec.Struct, frozen=True):
    """Work left at one engine.

    Attributes
    ----------
    name : str
    digest : int
        Digest of the identity of its start, see `TargetState.digest`.
    unread_tokens : int
        Prompt tokens that the engine has yet to process.
    requests : int
        Running and waiting requests.
    slots : int
        Requests that the engine runs concurrently.
    output_left : float
        Output tokens that this instance's requests there are likely to generate yet.
    own_requests : int
        This instance's requests there.
    """

    name: str
    digest: int
    unread_tokens: int
    requests: int
    slots: int
    output_left: float = 0.0
    own_requests: int = 0


class PlacementReason:
    """Why an engine was chosen, for metrics."""

    SHARED = "shared"
    LEAST_COST = "least_cost"
    SPILLED = "spilled"


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
    is_reachable : bool
        Whether the request may begin there before its deadline.
    """

    name: str
    digest: int
    reason: str
    expected_seconds: float
    work_seconds: float
    unread_tokens: int
    is_reachable: bool


class PlacementRequest(msgspec.Struct):
    """A request to place a prompt by cost, and the result once an engine is chosen."""

    objective: Objective
    result: Placement | None = None


class _Cost(msgspec.Struct, frozen=True):
    engine: EngineWork
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
        self._shares: dict[str, SizeShares] = {}
        self._busy_fraction: dict[str, float] = {}

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
        self._observe_busy(pool, engines)
        part = self._part(pool, engines, prompt, objective, now)
        homes = rendezvous_order(affinity, [e.name for e in part])[:1] if affinity else []
        costs = [self._cost(pool, engine, homes, prompt, objective, now) for engine in part]
        reason = PlacementReason.LEAST_COST
        best = min(costs, key=_total_seconds)
        if best.expected_seconds > _SAFE_FRACTION * objective.goal and len(part) < len(engines):
            costs = [self._cost(pool, engine, homes, prompt, objective, now) for engine in engines]
            names = {engine.name for engine in part}
        else:
            names = {engine.name for engine in engines}
        chosen = self._cheapest(costs, objective)
        home = next((cost for cost in costs if cost.engine.name in homes), None)
        if home is not None and home.expected_seconds <= _SAFE_FRACTION * objective.goal:
            chosen = home
        if chosen.engine.name in homes:
            reason = PlacementReason.SHARED
        elif chosen.engine.name not in names:
            reason = PlacementReason.SPILLED
        return self._placement(chosen, costs, reason, objective)

    def _placement(
        self, chosen: _Cost, costs: Sequence[_Cost], reason: str, objective: Objective
    ) -> Placement:
        least_work = min(cost.work_seconds for cost in costs)
        return Placement(
            chosen.engine.name,
            chosen.engine.digest,
            reason,
            chosen.expected_seconds,
            chosen.work_seconds,
            chosen.unread_tokens,
            is_reachable=_CERTAIN_FRACTION * least_work <= objective.seconds_left,
        )

    def _part(
        self,
        pool: str,
        engines: Sequence[EngineWork],
        prompt: PromptSize,
        objective: Objective,
        now: float,
    ) -> Sequence[EngineWork]:
        """Return the engines that are the first choice for prompts of this size."""
        if not objective.separates_sizes:
            return engines
        read_seconds = prompt.tokens * self.speeds.seconds_per_token(pool)
        is_long = is_long_prompt(read_seconds, objective.tightest_goal)
        shares = self._shares.setdefault(pool, SizeShares(pool))
        shares.observe(read_seconds, is_long, now)
        names = set(shares.part([engine.name for engine in engines], is_long))
        return [engine for engine in engines if engine.name in names]

    def _cost(
        self,
        pool: str,
        engine: EngineWork,
        homes: Sequence[str],
        prompt: PromptSize,
        objective: Objective,
        now: float,
    ) -> _Cost:
        is_home = engine.name in homes
        kept_tokens = round(_KEPT_FRACTION * prompt.shared_tokens)
        own_tokens = prompt.tokens - (kept_tokens if is_home else 0)
        ahead = engine.unread_tokens + _TOKENS_PER_REQUEST * engine.requests
        speeds = self.speeds
        slot_wait = self._slot_wait(pool, engine, objective)
        idle = speeds.expected_seconds(pool, engine.digest, own_tokens, now)
        expected = speeds.expected_seconds(pool, engine.digest, own_tokens + ahead, now) + slot_wait
        # Running streams pause while prompts are processed beside them.
        pause_limit = _SAFE_FRACTION * objective.tightest_gap_goal or float("inf")
        pause = max(0.0, expected - slot_wait - pause_limit) * min(engine.requests, engine.slots)
        # Work that is done twice delays the requests after it as well: by this multiple of it on
        # average if the engine is busy for a fraction of the time.
        busy = min(_MAX_BUSY_FRACTION, self._busy_fraction.get(pool, 0.0))
        repeated = 0 if is_home else kept_tokens
        delay = repeated * speeds.seconds_per_token(pool) * busy / (1.0 - busy)
        return _Cost(
            engine, expected, expected - idle, own_tokens + ahead, expected + delay + pause
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
        limit = min(map(_total_seconds, costs)) + _EQUAL_FRACTION * objective.goal
        return self._random.choice([cost for cost in costs if cost.total_seconds <= limit])

    def _observe_busy(self, pool: str, engines: Sequence[EngineWork]) -> None:
        busy = sum(engine.unread_tokens > 0 for engine in engines) / len(engines)
        average = self._busy_fraction.get(pool, 0.0)
        self._busy_fraction[pool] = average + _BUSY_WEIGHT * (busy - average)


def _total_seconds(cost: _Cost) -> float:
    return cost.total_seconds
