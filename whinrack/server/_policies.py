"""Evaluation of the declared routing programs, with fallback to the documented default."""

from returns.result import Failure

from whinrack.clock import steady
from whinrack.exceptions import PolicyFailure
from whinrack.feed import ConfigStore
from whinrack.objects import RoutingPolicy
from whinrack.observability import Event, Metrics, log_event
from whinrack.routing import (
    PoolState,
    RequestFacts,
    RouteDecision,
    RoutingProgram,
    default_decision,
)

__all__ = ["PolicyEvaluator"]

_MAX_CACHED_PROGRAMS = 1000
_MAX_ERROR_LENGTH = 200


class PolicyEvaluator:
    """Decides by routing programs where requests may go.

    Parameters
    ----------
    config : ConfigStore
        Holds the declared routing policies.
    metrics : Metrics
        Counts failed evaluations.
    """

    def __init__(self, config: ConfigStore, metrics: Metrics):
        self.config = config
        self.metrics = metrics
        self._programs: dict[str, RoutingProgram] = {}

    def decide(
        self, name: str, facts: RequestFacts, serving: dict[str, PoolState]
    ) -> RouteDecision:
        """Evaluate a policy's program for one request; the default if it fails.

        Parameters
        ----------
        name : str
            Name of the RoutingPolicy object, "" for the default.
        serving : dict of str to PoolState
            The pools that can serve the request, by name.
        """
        policy = self.config.get(RoutingPolicy, name) if name else None
        default = default_decision(facts, tuple(serving))
        if policy is None:
            return default
        now = steady()
        try:
            program = self._compile(policy.program)
        except PolicyFailure as error:
            return self._fall_back(name, error, default)
        pools = {key: pool.facts(now) for key, pool in serving.items()}
        decided = program.decide(facts, pools)
        if isinstance(decided, Failure):
            return self._fall_back(name, decided.failure(), default)
        return decided.unwrap()

    def _compile(self, source: str) -> RoutingProgram:
        program = self._programs.get(source)
        if program is None:
            if len(self._programs) >= _MAX_CACHED_PROGRAMS:
                self._programs.clear()
            program = self._programs[source] = RoutingProgram(source)
        return program

    def _fall_back(self, name: str, error: PolicyFailure, default: RouteDecision) -> RouteDecision:
        self.metrics.policy_failures.labels(name).inc()
        log_event(Event.POLICY_FAILED, policy=name, error=error.message[:_MAX_ERROR_LENGTH])
        return default
