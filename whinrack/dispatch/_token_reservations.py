"""Reserves the tokens of requests from the budgets of their workspaces."""

from returns.result import Failure

from whinrack.budgets import Cover, GrantManager
from whinrack.dispatch._request_run import RequestRun
from whinrack.dispatch._run_log import log_reservation_refused, log_reserve_held
from whinrack.exceptions import BudgetReserved
from whinrack.observability import Metrics

__all__ = ["TokenReservations"]


class TokenReservations:
    """Reserves tokens before a request is sent, and again for output that was lost.

    Parameters
    ----------
    grant_manager : GrantManager
    metrics : Metrics
    """

    def __init__(self, grant_manager: GrantManager, metrics: Metrics):
        self.grant_manager = grant_manager
        self.metrics = metrics

    def reserve(self, run: RequestRun) -> None:
        """Reserve the declared tokens of a request, if its workspace has a limit.

        Raises
        ------
        Refusal
            If the budget doesn't cover them.
        """
        declared = run.request.declared_tokens
        if declared is None or run.workspace is None:
            return
        if not self.grant_manager.has_limit(run.workspace.name):
            return
        run.reservation = self._cover(run, declared.total, run.route.priority)

    def reserve_repeated_output(self, run: RequestRun, pool_name: str) -> None:
        """Reserve the output that an earlier target may have generated and that was lost.

        The next target generates it again, and both count.

        Raises
        ------
        Refusal
            If the budget doesn't cover it.
        """
        pool = run.configuration.pools.get(pool_name)
        if run.reservation is None or pool is None:
            return
        tokens = run.unreceived_output(pool)
        if tokens:
            # A reserve doesn't break off a stream that has begun.
            run.repeat_reservations.append(self._cover(run, tokens, urgency=0))

    def _cover(self, run: RequestRun, tokens: int, urgency: int) -> Cover:
        reservation = self.grant_manager.cover(run.workspace.name, tokens, urgency)
        if isinstance(reservation, Failure):
            log_reservation_refused(run, tokens, urgency, self.grant_manager)
            if isinstance(reservation.failure(), BudgetReserved):
                self._record_reserved(run, urgency)
            raise reservation.failure()
        return reservation.unwrap()

    def _record_reserved(self, run: RequestRun, urgency: int) -> None:
        self.metrics.reserved_refusals.labels(str(urgency)).inc()
        if self.grant_manager.begin_reserve(run.workspace.name):
            log_reserve_held(run, urgency, self.grant_manager)
