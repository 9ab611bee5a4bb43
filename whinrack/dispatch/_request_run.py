"""The state of one request in the pipeline."""

from whinrack.budgets import Cover
from whinrack.clock import steady
from whinrack.dispatch._configuration import Configuration
from whinrack.dispatch._cost_placement import Placement
from whinrack.dispatch._engine_choice import PromptSize
from whinrack.dispatch._events import EventParser
from whinrack.dispatch._forwarding_mark import ForwardingMark
from whinrack.dispatch._silent_attempts import SilentAttempt
from whinrack.dispatch._target_state import PendingOutput, PendingPrompt
from whinrack.dispatch._values import (
    IncomingRequest,
    PoolRecord,
    Route,
    RouteKind,
    TargetsView,
    WorkspaceRecord,
)
from whinrack.http1 import Exchange, TargetConnection
from whinrack.quarantine import RequestSignature, compute_fingerprint, compute_part_name
from whinrack.streams import StreamOrigin, stream_key

__all__ = ["RequestRun"]

# Parts of a prompt that can be blamed for ends of targets; prompts have a few.
_MAX_NAMED_PARTS = 32
# Share of a request's time that may be kept for the link to its caller.
_MAX_LINK_SHARE = 0.25


class RequestRun:
    """State of one request: its route, its attempts so far and its token reservation.

    Parameters
    ----------
    exchange : Exchange
    request : IncomingRequest
    configuration : Configuration
    route : Route
    workspace : WorkspaceRecord or None
    mark : ForwardingMark, optional
        The mark of a peer that has forwarded the request.
    link_delay : float
        Seconds that a message and its answer take on the link of this instance. The request has
        spent a part of them on its way here, and the answer will spend the rest.

    Attributes
    ----------
    deadline : float
        Steady clock time at which the request times out for the caller or the route.
    reservation : Cover or None
        Tokens reserved from the workspace's budget, None if it has no limit.
    repeat_reservations : list of Cover
        Tokens reserved for output that targets of earlier attempts may have generated and that was
        not received; further attempts generate it again.
    attempts : int
        Number of targets that the request was sent to.
    tried_targets : set of str
        Identities of the targets that were chosen so far.
    may_have_run : bool
        Whether a target may have started to process the request.
    silent_attempt : SilentAttempt or None
        The only attempt that may have run, if its target stayed silent and may still refuse.
    events, last_id
        Number of events relayed so far, and the id of the last one.
    parser : EventParser
        Parser of the answer of the latest target; it counts the events received, which are billed.
    first_event_seconds : float
        Seconds from arrival to the first event, 0 before it.
    max_pause_seconds : float
        Longest pause between two relayed events.
    pending_prompt : PendingPrompt or None
        Prompt tokens counted as unread at the latest target.
    pending_output : PendingOutput or None
        Output tokens that are expected yet of the latest target.
    placement : Placement or None
        How the latest target was chosen, None if not by cost.
    first_at_target : float
        Seconds from sending the request to its first event, 0 before it.
    pool : str
        The pool that was chosen, empty before that.
    software_version : str
        Software version of the latest target when the request was sent to it.
    target_started : int
        Start time of the latest target as recorded when the request was sent to it.
    connected_at : float
        Steady clock time at which the latest attempt to connect began, or the earlier one of a
        reused connection.
    origin : StreamOrigin or None
        Where the stream began; None before its first event and for other requests.
    settles_at : float
        Steady clock time at which the origin of a stream that began here is settled.
    targets_view : TargetsView
        Revision and age of the target list at the latest choice.
    billed_tokens : int
        Tokens billed for the answer, 0 while it is not settled.
    sent_at : float
        Steady clock time at which the request was sent to the latest target, 0 before that.
    is_forwarded : bool
        Whether a peer has forwarded the request to this instance.
    has_begun_long_answer : bool
        Whether a part of an answer was relayed that is too long to be held.
    is_trial : bool
        Whether the run is a trial run of a quarantined request.
    concurrent_requests : int
        Other requests of this instance at the latest target at that time.
    """

    def __init__(
        self,
        exchange: Exchange,
        request: IncomingRequest,
        configuration: Configuration,
        route: Route,
        workspace: WorkspaceRecord | None,
        mark: ForwardingMark | None = None,
        link_delay: float = 0.0,
    ):
        self.exchange = exchange
        self.request = request
        self.configuration = configuration
        self.route = route
        self.workspace = workspace
        seconds = min(request.deadline_seconds or route.timeout, route.timeout)
        self.deadline = exchange.received_at + seconds - min(link_delay, _MAX_LINK_SHARE * seconds)
        self.reservation: Cover | None = None
        self.repeat_reservations: list[Cover] = []
        self.billed_tokens = 0
        self.attempts = 0
        self.is_forwarded = mark is not None
        if mark is not None:
            self.deadline = min(self.deadline, exchange.received_at + mark.seconds_left)
            self.attempts = mark.attempts
        self.tried_targets: set[str] = set()
        self.may_have_run = False
        self.silent_attempt: SilentAttempt | None = None
        self.events = 0
        self._received_from_earlier_targets = 0
        self.parser = EventParser(request.resume_after)
        self.first_event_seconds = 0.0
        self.max_pause_seconds = 0.0
        self._last_relayed_at = 0.0
        self.last_id = request.resume_after
        self.pool = ""
        self.target = ""
        self.software_version = ""
        self.target_started = 0
        self.connected_at = 0.0
        self.origin: StreamOrigin | None = None
        self.settles_at = float("-inf")
        self.pending_prompt: PendingPrompt | None = None
        self.pending_output: PendingOutput | None = None
        self.placement: Placement | None = None
        self.first_at_target = 0.0
        self.targets_view = TargetsView()
        self.sent_at = 0.0
        self.concurrent_requests = 0
        self.is_trial = False
        self.has_begun_long_answer = False
        self._fingerprint = ""
        self._signature: RequestSignature | None = None

    def waits_for(self, connection: TargetConnection) -> bool:
        """Return whether a late refusal may still arrive on a connection."""
        return self.silent_attempt is not None and self.silent_attempt.connection is connection

    @property
    def request_id(self) -> str:
        """The request id as text, for logs."""
        return self.request.request_id.decode("latin-1")

    @property
    def is_continuation(self) -> bool:
        """Whether the request continues a stream that an earlier request began."""
        request = self.request
        names_stream = bool(request.resumed_id) or request.resume_after is not None
        return names_stream and self.route.kind is RouteKind.STREAM

    @property
    def needs_version(self) -> bool:
        """Whether the request must keep to a software version now or after a failure."""
        return self.is_continuation or (
            self.route.is_resumable and self.route.kind is RouteKind.STREAM
        )

    @property
    def stream_key(self) -> bytes:
        """Key of the stream, which is the same for all requests that continue it."""
        first_id = self.request.resumed_id or self.request.request_id
        return stream_key(self.workspace_name, first_id)

    @property
    def resumed_id(self) -> str:
        """Id of the caller's attempt that began the stream, as text, for logs."""
        return self.request.resumed_id.decode("latin-1")

    @property
    def fingerprint(self) -> str:
        """Fingerprint shared by all requests with the same host, target, workspace and body."""
        if not self._fingerprint:
            request = self.request
            self._fingerprint = compute_fingerprint(
                request.host, request.target, self.workspace_name, request.body
            )
        return self._fingerprint

    @property
    def request_name(self) -> RequestSignature:
        """The signature by which the quarantine identifies the request."""
        if self._signature is None:
            # The last part belongs to this request or its session alone.
            shared = self.request.prompt_parts[:-1][:_MAX_NAMED_PARTS]
            self._signature = RequestSignature(
                self.fingerprint,
                self.workspace_name,
                self.route.name,
                self.pool,
                tuple(dict.fromkeys(compute_part_name(self.pool, part.name) for part in shared)),
            )
        return self._signature

    @property
    def has_written(self) -> bool:
        """Whether the target of a complete answer has written any of it."""
        return self.events > 0 or self.route.kind is not RouteKind.STREAM

    @property
    def workspace_name(self) -> str:
        """Name of the workspace, empty on public routes."""
        return self.workspace.name if self.workspace is not None else ""

    @property
    def priority(self) -> int:
        """Priority at targets, 0 is the most urgent; the workspace's overrides the route's."""
        if self.workspace is not None and self.workspace.priority is not None:
            return self.workspace.priority
        return self.route.priority

    @property
    def affinity(self) -> str:
        """Affinity key shared by requests with the same prompt prefix, empty for none."""
        parts = self.request.prompt_parts
        return parts[-2].name.hex() if len(parts) > 1 else ""

    @property
    def prompt(self) -> PromptSize | None:
        """Size of the prompt, None if the caller does not declare it."""
        if self.request.declared_tokens is None:
            return None
        shared = sum(part.tokens for part in self.request.prompt_parts[:-1])
        return PromptSize(self.request.declared_tokens.prompt, shared)

    @property
    def output_seconds(self) -> float:
        """Seconds between the first and the latest relayed event."""
        return self._last_relayed_at - self.exchange.received_at - self.first_event_seconds

    def seconds_left(self) -> float:
        """Return the seconds left until the deadline."""
        return self.deadline - steady()

    @property
    def received_events(self) -> int:
        """Number of events received from all targets, whether they were relayed or not."""
        return self._received_from_earlier_targets + self.parser.received

    def start_attempt(self) -> None:
        """Count an attempt; its target continues after the last relayed event."""
        self.attempts += 1
        self._received_from_earlier_targets = self.received_events
        self.parser = EventParser(self.last_id)

    def record_relayed(self, count: int, last_id: int | None) -> None:
        """Record events that were relayed and the pause before them."""
        now = steady()
        if self.events:
            self.max_pause_seconds = max(self.max_pause_seconds, now - self._last_relayed_at)
        else:
            self.first_event_seconds = now - self.exchange.received_at
        if self.pending_prompt is not None:
            # Output means that the engine has processed the whole prompt.
            self.pending_prompt.finish()
        if self.pending_output is not None:
            pool = self.configuration.pools.get(self.pool)
            self.pending_output.record_generated(count * _event_tokens(pool) if pool else 0)
        self._last_relayed_at = now
        self.events += count
        if last_id is not None:
            self.last_id = last_id

    @property
    def reserved_tokens(self) -> int:
        """All tokens reserved for the request."""
        return sum(cover.tokens for cover in self._covers())

    def unreceived_output(self, pool: PoolRecord) -> int:
        """Return the declared output tokens that have not been received."""
        return max(0, self.request.declared_tokens.output - self._received_output(pool))

    def settle_not_run(self) -> None:
        """Release the whole reservation: no target ran the request."""
        self._settle(0)

    def settle_complete(self, pool: PoolRecord) -> None:
        """Bill the events of a complete answer, as received."""
        self._bill(self._received_output(pool))

    def settle_partial(self, pool: PoolRecord) -> None:
        """Bill the received events of a run that its target ended early, and one more.

        The target may have generated part of a further event.
        """
        self._bill(self._received_output(pool) + _event_tokens(pool))

    def settle_unknown(self) -> bool:
        """Bill the whole reservation as unproven: the tokens generated are unknown.

        Returns
        -------
        bool
            False if there was no reservation or it was settled already.
        """
        if self.reservation is None or self.reservation.is_settled:
            return False
        self._settle(0, unproven=self.reserved_tokens)
        return True

    def _received_output(self, pool: PoolRecord) -> int:
        return self.received_events * _event_tokens(pool)

    def _bill(self, output_tokens: int) -> None:
        if self.reservation is None:
            return
        declared = self.request.declared_tokens
        repeated = sum(cover.tokens for cover in self.repeat_reservations)
        output_tokens = min(declared.output, output_tokens)
        self.billed_tokens = declared.prompt + output_tokens + repeated
        self._settle(self.billed_tokens)

    def _settle(self, billed: int, unproven: int = 0) -> None:
        """Settle the covers, each with the part of the bill that it holds."""
        for cover in self._covers():
            part = min(billed, cover.tokens)
            unproven_part = min(unproven, cover.tokens - part)
            cover.settle(part, unproven=unproven_part)
            billed, unproven = billed - part, unproven - unproven_part

    def _covers(self) -> list[Cover]:
        return [] if self.reservation is None else [self.reservation, *self.repeat_reservations]


def _event_tokens(pool: PoolRecord) -> int:
    return pool.engine.max_event_tokens if pool.engine is not None else 1
