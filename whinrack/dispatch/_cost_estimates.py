"""Output tokens that requests are likely to generate, learned from ended runs; pure logic.

Callers declare the most that a request may generate. What it does generate differs by route and by
workspace, and tells for how long it holds a slot of its engine.
"""

import math
from collections import OrderedDict
from collections.abc import Hashable

import msgspec

__all__ = ["Moments", "OutputEstimate", "OutputEstimates"]

# Weight of the route's mean in the estimate of a workspace, in runs.
_PRIOR_RUNS = 8.0
# Runs after which a run has lost most of its weight, so that estimates follow changed traffic.
_REMEMBERED_RUNS = 200.0
# Pairs of route and workspace that are remembered, the latest ones.
_MAX_PAIRS = 2000


class OutputEstimate(msgspec.Struct, frozen=True):
    """Expected output of a request.

    Attributes
    ----------
    mean, deviation : float
        Mean and standard deviation in tokens.
    """

    mean: float
    deviation: float


class Moments:
    """Mean and variance of the latest runs; older runs lose weight."""

    def __init__(self):
        self.runs = 0.0
        self.mean = 0.0
        self.variance = 0.0

    def observe(self, tokens: float) -> None:
        """Record one run."""
        self.runs = min(_REMEMBERED_RUNS, self.runs + 1.0)
        weight = 1.0 / self.runs
        difference = tokens - self.mean
        self.mean += weight * difference
        self.variance = (1.0 - weight) * (self.variance + weight * difference * difference)


class OutputEstimates:
    """Learns the output of requests by route and workspace."""

    def __init__(self):
        self._by_route: OrderedDict[str, Moments] = OrderedDict()
        self._by_pair: OrderedDict[tuple[str, str], Moments] = OrderedDict()

    def observe(self, route: str, workspace: str, tokens: int) -> None:
        """Record the output tokens of a run that ended by itself."""
        _latest(self._by_route, route).observe(tokens)
        _latest(self._by_pair, (route, workspace)).observe(tokens)

    def estimate(self, route: str, workspace: str, declared: int) -> OutputEstimate:
        """Return the expected output of a request, at most what it declares.

        A workspace with few runs is taken to be like its route; without any run, a request is
        expected to generate all that it declares.
        """
        of_route = self._by_route.get(route)
        if of_route is None:
            return OutputEstimate(float(declared), 0.0)
        of_pair = self._by_pair.get((route, workspace)) or Moments()
        share = of_pair.runs / (of_pair.runs + _PRIOR_RUNS)
        mean = share * of_pair.mean + (1.0 - share) * of_route.mean
        variance = share * of_pair.variance + (1.0 - share) * of_route.variance
        return OutputEstimate(min(float(declared), mean), math.sqrt(variance))


def _latest(known: OrderedDict, key: Hashable) -> Moments:
    """Return the moments of a key, which becomes the latest one."""
    moments = known.get(key)
    if moments is None:
        moments = known[key] = Moments()
        if len(known) > _MAX_PAIRS:
            known.popitem(last=False)
    known.move_to_end(key)
    return moments
