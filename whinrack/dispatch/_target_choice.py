"""Selection of a target among candidates; pure logic without I/O."""

import math
import random
from collections.abc import Callable

from whinrack.base import rendezvous_order
from whinrack.dispatch._cost_placement import CostPlacement, EngineWork, PlacementRequest
from whinrack.dispatch._engine_choice import PromptSize, choose_engine
from whinrack.dispatch._rate_limiter import RateLimiter
from whinrack.dispatch._remote_loads import RemoteLoads
from whinrack.dispatch._target_state import TargetState
from whinrack.dispatch._values import ColdStart

__all__ = ["TargetSelector"]

# A request leaves its affinity target if the load there reaches this multiple of the mean load plus
# the slack.
_MAX_IMBALANCE = 1.25
_IMBALANCE_SLACK = 2
# Affinity is kept in any case while fewer than this fraction of the target's slots are in use.
_AFFINITY_SLOT_FRACTION = 0.6
# With remote loads, the least loaded target of a random sample is chosen: one candidate in
# _SAMPLE_DIVISOR, at least _MIN_SAMPLED. Remote counts lag, so without sampling all instances
# would choose the same target.
_SAMPLE_DIVISOR = 4
_MIN_SAMPLED = 2


class TargetSelector:
    """Selects targets by affinity, load and pending prompt tokens.

    Parameters
    ----------
    remote_loads : RemoteLoads
        Loads that other instances put on the targets.
    rate_limiter : RateLimiter
        Rate limits of targets and this instance's share of them.
    seed : int, optional
        Seeds the choice between equally good targets.
    """

    def __init__(
        self, remote_loads: RemoteLoads, rate_limiter: RateLimiter, seed: int | None = None
    ):
        self.remote_loads = remote_loads
        self.rate_limiter = rate_limiter
        self._random = random.Random(seed)
        self.placement = CostPlacement(self._random)

    def choose(
        self,
        candidates: list[TargetState],
        affinity: str,
        now: float,
        uses_remote_loads: bool,
        prompt: PromptSize | None,
        cold_start: ColdStart | None = None,
        priority: int = 0,
        placement: PlacementRequest | None = None,
    ) -> TargetState | None:
        """Choose one of the candidates; see `TargetRegistry.choose`."""
        if uses_remote_loads:
            self.remote_loads.expire(now)
        load = self._total_load if uses_remote_loads else self._local_load
        states = [state for state in candidates if state.is_available(now)] or candidates
        states = self._within_rate_limits(states, cold_start, priority, now, load)
        if not states:
            return None
        not_busy = [state for state in states if state.busy_until <= now] or states
        if prompt is not None and placement is not None and self._is_uneven(not_busy, now):
            return self._place(not_busy, affinity, prompt, placement, now)
        preferred = self._by_affinity(not_busy, affinity, load) if affinity else None
        if preferred is not None and prompt is None:
            return preferred
        if uses_remote_loads:
            count = max(_MIN_SAMPLED, len(not_busy) // _SAMPLE_DIVISOR)
            not_busy = self._random.sample(not_busy, min(count, len(not_busy)))
        if prompt is not None:
            chosen = self._choose_engine(preferred, not_busy, prompt)
            if placement is not None:
                placement.result = self.placement.describe(
                    chosen.record.pool,
                    self._engine_work(chosen),
                    prompt,
                    chosen is preferred,
                    placement.objective,
                    now,
                )
            return chosen
        return min(not_busy, key=lambda state: (load(state), self._random.random()))

    def _within_rate_limits(
        self,
        states: list[TargetState],
        cold_start: ColdStart | None,
        priority: int,
        now: float,
        load: Callable[[TargetState], int],
    ) -> list[TargetState]:
        """Return the targets that may be sent one more request.

        Rate-limited targets are used only if no unlimited target has a free slot, and only with
        a permit. Targets that state a limit are probed from time to time to learn whether the
        limit still holds.
        """
        limiter = self.rate_limiter
        if limiter.is_pool_unlimited(cold_start):
            return states
        unlimited: list[TargetState] = []
        limited: list[TargetState] = []
        for state in states:
            is_unlimited = limiter.rate_bound(state, cold_start, now) is None
            (unlimited if is_unlimited else limited).append(state)
        if not limited:
            return unlimited
        due_for_probe = [state for state in limited if limiter.is_probe_due(state, cold_start, now)]
        if due_for_probe and not limiter.rate_permits.has_more_urgent_waiting(priority, now):
            return due_for_probe
        if any(load(state) < state.record.slots for state in unlimited):
            return unlimited
        if not unlimited and limiter.rate_permits.has_more_urgent_waiting(priority, now):
            return []
        permitted = [state for state in limited if limiter.can_send(state, cold_start, now)]
        if not unlimited and not permitted:
            limiter.rate_permits.record_refusal(priority, now)
        return permitted or unlimited

    def _choose_engine(
        self, preferred: TargetState | None, sampled: list[TargetState], prompt: PromptSize
    ) -> TargetState:
        """Return the engine that is expected to process the prompt first.

        The preferred engine, which has the shared parts of the prompt, is favoured.
        """
        by_name = {state.record.incarnation: state for state in sampled}
        backlogs = [self._engine_work(state) for state in sampled]
        preferred_backlog = None
        if preferred is not None:
            by_name[preferred.record.incarnation] = preferred
            preferred_backlog = self._engine_work(preferred)
        return by_name[choose_engine(preferred_backlog, backlogs, prompt.shared_tokens).name]

    def _place(
        self,
        states: list[TargetState],
        affinity: str,
        prompt: PromptSize,
        request: PlacementRequest,
        now: float,
    ) -> TargetState:
        """Return the engine at which a prompt has the smallest cost."""
        engines = [self._engine_work(state) for state in states]
        request.result = self.placement.choose(
            states[0].record.pool, engines, affinity, prompt, request.objective, now
        )
        return next(s for s in states if s.record.incarnation == request.result.name)

    def _is_uneven(self, states: list[TargetState], now: float) -> bool:
        digests = (state.digest for state in states)
        return self.placement.speeds.is_uneven(states[0].record.pool, digests, now)

    def _engine_work(self, state: TargetState) -> EngineWork:
        return EngineWork(
            name=state.record.incarnation,
            digest=state.digest,
            unread_tokens=state.unread_tokens + self.remote_loads.unread_tokens_at(state.digest),
            requests=self._total_load(state),
            slots=state.record.slots,
            output_left=state.output_left,
            own_requests=state.in_flight,
        )

    def _by_affinity(
        self, states: list[TargetState], affinity: str, load: Callable[[TargetState], int]
    ) -> TargetState:
        mean = sum(map(load, states)) / len(states)
        max_load = math.ceil(_MAX_IMBALANCE * mean) + _IMBALANCE_SLACK
        by_name = {state.record.incarnation: state for state in states}
        for name in rendezvous_order(affinity, by_name):
            state = by_name[name]
            if load(state) < max(max_load, _AFFINITY_SLOT_FRACTION * state.record.slots):
                return state
        return min(states, key=load)

    def _local_load(self, state: TargetState) -> int:
        return state.in_flight

    def _total_load(self, state: TargetState) -> int:
        return state.in_flight + self.remote_loads.requests_at(state.digest)
