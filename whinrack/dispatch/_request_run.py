"""One request on its way through the pipeline."""

from whinrack.budgets import Cover
from whinrack.clock import steady
from whinrack.dispatch._configuration import Configuration
from whinrack.dispatch._engine_choice import PromptSize
from whinrack.dispatch._target_state import PendingPrompt
from whinrack.dispatch._values import (
    IncomingRequest,
    PoolRecord,
    Route,
    TargetsView,
    WorkspaceRecord,
)
from whinrack.http1 import Exchange
from whinrack.quarantine import RequestSignature, compute_fingerprint

__all__ = ["RequestRun"]


class RequestRun:
    """What is known of a request, and what happened to it so far.

    Attributes
    ----------
    end : float
        Steady clock at which the caller or the route gives up.
    attempts : int
        Targets that the request was sent to.
    tried : set of str
        Their identities.
    may_have_run : bool
        Some target may have begun to work on it.
    events, last_id
        Events relayed so far, and the id of the last one.
    first_after : float
        Seconds until the first event, 0 before it.
    longest_pause : float
        Longest time between two events that were passed on, seconds.
    reading : Reading or None
        The prompt's tokens, as long as they count as unread at the latest target.
    targets_view : TargetsView
        What the latest choice of a target stood on.
    billed : int
        Tokens of an answer that is known to be whole.
    sent_at : float
        Steady clock when the latest target was sent the request.
    beside : int
        Other requests from here that the latest target had then.
    """

    def __init__(
        self,
        exchange: Exchange,
        request: IncomingRequest,
        configuration: Configuration,
        route: Route,
        workspace: WorkspaceRecord | None,
    ):
        self.exchange = exchange
        self.request = request
        self.configuration = configuration
        self.route = route
        self.workspace = workspace
        self.deadline = exchange.arrived + min(
            request.deadline_seconds or route.timeout, route.timeout
        )
        self.reservation: Cover | None = None
        self.billed_tokens = 0
        self.attempts = 0
        self.tried_targets: set[str] = set()
        self.may_have_run = False
        self.events = 0
        self.first_event_seconds = 0.0
        self.max_pause_seconds = 0.0
        self._last_relayed_at = 0.0
        self.last_id = request.resume_after
        self.target = ""
        self.pending_prompt: PendingPrompt | None = None
        self.targets_view = TargetsView()
        self.sent_at = 0.0
        self.concurrent_requests = 0
        self._fingerprint = ""

    @property
    def request_id(self) -> str:
        """The request's id, for logs."""
        return self.request.request_id.decode("latin-1")

    @property
    def fingerprint(self) -> str:
        """The name that all requests with this path, caller and body share."""
        if not self._fingerprint:
            request = self.request
            self._fingerprint = compute_fingerprint(
                request.host, request.target, self.workspace_name, request.body
            )
        return self._fingerprint

    @property
    def request_name(self) -> RequestSignature:
        """What the quarantine knows the request by."""
        return RequestSignature(self.fingerprint, self.workspace_name, self.route.name)

    @property
    def workspace_name(self) -> str:
        """The workspace, empty on public routes."""
        return self.workspace.name if self.workspace is not None else ""

    @property
    def priority(self) -> int:
        """The rank at targets: the workspace's goes before the route's."""
        if self.workspace is not None and self.workspace.priority is not None:
            return self.workspace.priority
        return self.route.priority

    @property
    def affinity(self) -> str:
        """What requests that share a prompt prefix have in common, empty for none."""
        parts = self.request.prompt_parts
        return parts[-2].name.hex() if len(parts) > 1 else ""

    @property
    def prompt(self) -> PromptSize | None:
        """What has to be read for the request, None if its caller doesn't say."""
        if self.request.declared_tokens is None:
            return None
        shared = sum(part.tokens for part in self.request.prompt_parts[:-1])
        return PromptSize(self.request.declared_tokens.prompt, shared)

    def seconds_left(self) -> float:
        """Time until the caller or the route gives up."""
        return self.deadline - steady()

    def record_relayed(self, count: int, last_id: int | None) -> None:
        """Count events that were passed on, and the pause before them."""
        now = steady()
        if self.events:
            self.max_pause_seconds = max(self.max_pause_seconds, now - self._last_relayed_at)
        else:
            self.first_event_seconds = now - self.exchange.arrived
        if self.pending_prompt is not None:
            # The engine has read the prompt.
            self.pending_prompt.finish()
        self._last_relayed_at = now
        self.events += count
        if last_id is not None:
            self.last_id = last_id

    def settle_not_run(self) -> None:
        """Give the whole cover back: no target worked on the request."""
        if self.reservation is not None:
            self.reservation.settle(0)

    def settle_complete(self, pool: PoolRecord) -> None:
        """Bill what the target handed out in an answer that is known to be whole."""
        self._bill(pool, self.events)

    def settle_partial(self, pool: PoolRecord) -> None:
        """Bill what came of a run that its target ended early, and one more event.

        A part of an event may have come as well.
        """
        self._bill(pool, self.events + 1)

    def settle_unknown(self) -> bool:
        """Count the whole cover: nobody knows how much was handed out.

        Returns
        -------
        bool
            False if there was no cover, or it was settled by a known end.
        """
        if self.reservation is None:
            return False
        return self.reservation.settle(0, unproven=self.reservation.tokens)

    def _bill(self, pool: PoolRecord, events: int) -> None:
        if self.reservation is None:
            return
        declared = self.request.declared_tokens
        event_tokens = pool.engine.max_event_tokens if pool.engine is not None else 1
        output_tokens = events * event_tokens
        if self.attempts > 1 and self.may_have_run:
            # An earlier target may have handed out events that never came here.
            output_tokens += declared.output
        self.billed_tokens = min(declared.total, declared.prompt + output_tokens)
        self.reservation.settle(self.billed_tokens)
