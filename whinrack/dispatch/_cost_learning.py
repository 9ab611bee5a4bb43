"""Learns the costs of prompts from their answers."""

from whinrack.clock import steady
from whinrack.dispatch._cost_placement import CostPlacement
from whinrack.dispatch._request_run import RequestRun
from whinrack.dispatch._values import PoolRecord
from whinrack.observability import Metrics

__all__ = ["CostLearning"]


class CostLearning:
    """Passes what answers show on to the placement by cost.

    Parameters
    ----------
    placement : CostPlacement
    metrics : Metrics
    """

    def __init__(self, placement: CostPlacement, metrics: Metrics):
        self.placement = placement
        self.metrics = metrics

    def record_first_event(self, run: RequestRun, pool: PoolRecord) -> None:
        """Record that the first event of a stream has arrived."""
        placed = run.placement
        if placed is None:
            return
        now = steady()
        run.first_at_target = now - run.sent_at
        self.metrics.first_event_error_seconds.observe(
            abs(run.first_at_target - placed.expected_seconds)
        )
        self.placement.speeds.observe_own_first_event(
            pool.name, placed.digest, placed.unread_tokens, run.first_at_target, now
        )

    def record_ended(self, run: RequestRun, pool: PoolRecord) -> None:
        """Record that a stream has ended by itself."""
        if run.placement is None or run.attempts > 1 or run.is_continuation:
            return
        event_tokens = pool.engine.max_event_tokens
        self.placement.outputs.observe(
            run.route.name, run.workspace_name, run.events * event_tokens
        )
        self.placement.speeds.observe_steps(
            pool.name, (run.events - 1) * event_tokens, run.output_seconds
        )
