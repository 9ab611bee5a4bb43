"""Budget cover and bill of one chat request."""

from returns.result import Failure

from whinrack.budgets import Cover
from whinrack.clock import steady
from whinrack.engines import Usage
from whinrack.journal import BillRecord
from whinrack.observability import Event, log_event
from whinrack.requests import RequestIdentity
from whinrack.server._auth import Caller
from whinrack.server._context import ServerContext

__all__ = ["Settlement"]


class Settlement:
    """Covers a request in full before it is sent, and bills the tokens that it used.

    Parameters
    ----------
    context : ServerContext
        Components of the daemon.
    caller : Caller
        Workspace and budget that pay.
    identity : RequestIdentity
        Identity of the billed request.
    token_bound : int
        The proven upper bound on the request's tokens.
    provisional_against : str
        A lost incarnation that may have billed the request too, "" if there is none.
    """

    def __init__(
        self,
        context: ServerContext,
        caller: Caller,
        identity: RequestIdentity,
        token_bound: int,
        provisional_against: str,
    ):
        self.context = context
        self.caller = caller
        self.identity = identity
        self.token_bound = token_bound
        self.provisional_against = provisional_against
        self._cover: Cover | None = None
        self._mark = 0

    def open(self) -> None:
        """Reserve tokens up to the bound.

        Raises
        ------
        BudgetExhausted, BudgetContended
        """
        caller = self.caller
        cover = self.context.budget_manager.cover(
            caller.budget.account,
            caller.budget_name,
            self.token_bound,
            caller.workspace.weighting,
        )
        if isinstance(cover, Failure):
            raise cover.failure()
        self._cover = cover.unwrap()

    def reopen(self) -> None:
        """Reserve cover for another attempt if the last one's was written off."""
        if self._cover is None:
            self.open()

    def settle(self, usage: Usage | None, events: int) -> None:
        """Bill the tokens used; tokens that the engine can't prove unused are not returned.

        Parameters
        ----------
        usage : Usage or None
            The engine's token counts, None if it did not report them.
        events : int
            Content events that were received, each of at least one token.
        """
        cover = self._cover
        if cover is None or cover.is_settled:
            return
        if usage is None:
            billed = min(events, cover.tokens)
            unproven = cover.tokens - billed
        else:
            billed, unproven = min(usage.total_tokens, cover.tokens), 0
            if usage.total_tokens > cover.tokens:
                log_event(Event.COVER_EXCEEDED, budget=self.caller.budget_name)
        cover.settle(billed, unproven)
        self._count_tokens(billed, unproven)
        record = BillRecord(
            identity=self.identity.name,
            workspace=self.caller.workspace_name,
            budget=self.caller.budget_name,
            tokens=billed,
            provisional_against=self.provisional_against,
        )
        self._mark = self.context.bill_keeper.add(record)

    def write_off(self, usage: Usage | None) -> None:
        """Withdraw the tokens of an attempt that may have run, without billing them."""
        cover = self._cover
        if cover is None or cover.is_settled:
            return
        lost = cover.tokens if usage is None else min(usage.total_tokens, cover.tokens)
        cover.settle(0, lost)
        self._count_tokens(0, lost)
        self._cover = None

    def release(self) -> None:
        """Return the whole cover, as nothing was used."""
        if self._cover is not None:
            self._cover.settle(0)

    def wait_committed(self) -> None:
        """Wait until the bill is committed, at most as long as the settings allow."""
        if not self._mark:
            return
        started = steady()
        is_committed = self.context.bill_keeper.wait_committed(
            self._mark, self.context.settings.journal.answer_wait
        )
        self.context.metrics.bills.labels("kept" if is_committed else "unconfirmed").inc()
        if not is_committed:
            waited = steady() - started
            log_event(Event.BILL_UNCONFIRMED, waited=f"{waited:.2f}")

    def _count_tokens(self, billed: int, unproven: int) -> None:
        self.context.metrics.tokens.labels("billed").inc(billed)
        self.context.metrics.tokens.labels("unproven").inc(unproven)
