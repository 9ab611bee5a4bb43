"""What chat and service calls share: ownership, routing, attempts, joining, ending."""

import time
from collections.abc import Iterator

import eventlet
from returns.result import Failure, Result

from whinrack.base import Outcome, rendezvous
from whinrack.exceptions import (
    BadRequest,
    DeadlineUnreachable,
    OutcomeUnknown,
    PeerUnavailable,
    PolicyFailure,
    Refusal,
    TargetFailed,
)
from whinrack.objects import RequestClass, RoutingPolicy, TargetPool
from whinrack.observability import Event, log_event
from whinrack.requests import Identity, RunState, Ticket, body_digest, read_ticket
from whinrack.routing import (
    PickQuery,
    PoolState,
    RequestFacts,
    RouteDecision,
    RoutingProgram,
    TargetView,
    default_decision,
)
from whinrack.server._admission import Slot
from whinrack.server._answers import RunningAnswer
from whinrack.server._auth import Caller
from whinrack.server._context import ServerContext
from whinrack.server._http import (
    CLASS_HEADER,
    TICKET_HEADER,
    HttpAnswer,
    HttpRequest,
    error_body,
)
from whinrack.server._ownership import JoinHere, JoinPeer, Ownership, RunHere

__all__ = ["Call", "CallRunner", "deadline_of", "request_class_of"]

_JOIN_POLL = 0.02
_JOIN_ROUNDS = 5
_MOST_CANDIDATES = 16
_UNANSWERED = (RunState.ASKING, RunState.RESERVED, RunState.RUNNING)


def request_class_of(request: HttpRequest, caller: Caller) -> RequestClass:
    """Return the class that a caller asks for, or its workspace's."""
    text = request.header(CLASS_HEADER).lower()
    if not text:
        return caller.workspace.default_class
    try:
        return RequestClass(text)
    except ValueError as error:
        allowed = ", ".join(RequestClass)
        raise BadRequest(
            f"{CLASS_HEADER}: allowed is one of {allowed}", param=CLASS_HEADER
        ) from error


def deadline_of(request: HttpRequest, pool: TargetPool) -> float:
    """Return the clock time by which a request must have ended."""
    seconds = request.deadline()
    limit = pool.request_timeout
    return request.arrived + (limit if seconds is None else min(seconds, limit))


class Call:
    """One request on its way, whatever its protocol.

    Parameters
    ----------
    identity : Identity
        Who it is.
    caller : Caller
        Who pays.
    decision : RouteDecision
        Where it may go.
    body : bytes
        What is sent to the target.
    digest_parts : tuple of bytes
        What must be the same each time a key is used.
    deadline : float
        Clock time by which it must have ended.
    repeatable : bool
        Whether it may run again after a try that may have run.
    affinity_key : str
        For the pickers.
    request : HttpRequest
        As it came.
    """

    def __init__(
        self,
        identity: Identity,
        caller: Caller,
        decision: RouteDecision,
        body: bytes,
        digest_parts: tuple[bytes, ...],
        deadline: float,
        repeatable: bool,
        affinity_key: str,
        request: HttpRequest,
    ):
        self.identity = identity
        self.caller = caller
        self.decision = decision
        self.body = body
        self.digest = body_digest(*digest_parts)
        self.deadline = deadline
        self.repeatable = repeatable
        self.affinity_key = affinity_key
        self.request = request
        # Learnt at run time.
        self.attempts = 0
        self.avoid: tuple[str, ...] = ()
        self.slot: Slot | None = None
        self.answer: RunningAnswer | None = None
        self.claimed = False
        self.provisional_against = ""
        self.ended = False

    @property
    def ticket(self) -> Ticket | None:
        """The ticket that the caller sent."""
        return read_ticket(self.request.header(TICKET_HEADER))

    def time_left(self) -> float:
        """Return the seconds until the deadline, never quite nothing."""
        return max(0.001, self.deadline - time.monotonic())


class CallRunner:
    """Base of the endpoints that run requests at targets.

    A subclass provides `kind` and `start`.
    """

    kind = ""

    def __init__(self, context: ServerContext):
        self.context = context
        self.ownership = Ownership(context)
        self._programs: dict[str, RoutingProgram] = {}

    def start(self, call: Call) -> HttpAnswer:
        """Run a request at a target; raises `Refusal`."""
        raise NotImplementedError

    def run(self, call: Call) -> HttpAnswer:
        """Run a request, or join the answer it already has."""
        for _ in range(_JOIN_ROUNDS):
            decision = self.ownership.settle(
                call.identity, call.digest, call.ticket, call.repeatable
            )
            match decision:
                case RunHere():
                    return self._run_here(call, decision)
                case JoinHere():
                    answer = self._join_here(call)
                case JoinPeer():
                    answer = self._join_peer(call, decision)
            if answer is not None:
                return answer
        raise OutcomeUnknown("another try of this request is in progress", retry_after=1.0)

    def _run_here(self, call: Call, decision: RunHere) -> HttpAnswer:
        call.claimed = decision.claimed
        call.provisional_against = decision.provisional_against
        call.answer = RunningAnswer(self.context.settings.requests.answer_limit)
        self._remember(call, RunState.RUNNING)
        try:
            return self.start(call)
        except Refusal as refusal:
            self._end_refused(call, refusal)
            raise
        except BaseException:
            self._end_refused(call, TargetFailed("failed inside"))
            raise

    # --- routing -----------------------------------------------------------------

    def decide(
        self, caller: Caller, facts: RequestFacts, serving: dict[str, PoolState]
    ) -> RouteDecision:
        """Evaluate the workspace's routing program, or fall to the default."""
        name = caller.workspace.policy
        policy = self.context.config.get(RoutingPolicy, name) if name else None
        default = default_decision(facts, tuple(serving))
        if policy is None:
            return default
        now = time.monotonic()
        try:
            program = self._program(policy.program)
        except PolicyFailure as error:
            return self._policy_failed(name, error, default)
        decided = program.decide(facts, {key: pool.facts(now) for key, pool in serving.items()})
        if isinstance(decided, Failure):
            return self._policy_failed(name, decided.failure(), default)
        return decided.unwrap()

    def _program(self, source: str) -> RoutingProgram:
        program = self._programs.get(source)
        if program is None:
            if len(self._programs) > 1000:
                self._programs.clear()
            program = self._programs[source] = RoutingProgram(source)
        return program

    def _policy_failed(self, name, error: PolicyFailure, default: RouteDecision) -> RouteDecision:
        self.context.metrics.policy_failures.labels(name).inc()
        log_event(Event.POLICY_FAILED, policy=name, error=error.message[:200])
        return default

    # --- attempts ----------------------------------------------------------------

    def place(self, call: Call) -> Slot:
        """Find a target, waiting in the queue if need be."""
        query = PickQuery(
            request_class=call.decision.request_class,
            spread=call.decision.spread,
            affinity_key=call.affinity_key,
            avoid=call.avoid,
        )
        slot = self.context.directory.admit(call.decision, query, call.deadline)
        if isinstance(slot, Failure):
            raise slot.failure()
        call.slot = slot.unwrap()
        return call.slot

    def place_at(self, call: Call, target: TargetView) -> Slot:
        """Take a place at a given target."""
        pool = self.context.directory.pools()[target.spec.pool]
        target.started()
        call.slot = Slot(self.context.directory, pool, target)
        return call.slot

    def candidates(self, call: Call) -> list[TargetView]:
        """Return the targets of the allowed pools, a bounded number of them."""
        pools = self.context.directory.pools()
        targets = {
            target.name: target
            for name in call.decision.pools
            if name in pools
            for target in pools[name].targets.values()
        }
        names = rendezvous(call.identity.name, targets)[:_MOST_CANDIDATES]
        return [targets[name] for name in names]

    def send(self, call: Call, slot: Slot, path: str, headers) -> Result:
        """Send one attempt."""
        call.attempts += 1
        if call.attempts == 1:
            slot.pool.retries.record_request()
        reply = self.context.targets.send(
            slot.target.spec.address,
            call.request.method,
            path,
            headers,
            call.body,
            call.time_left(),
        )
        if isinstance(reply, Failure):
            self.context.directory.failed(slot.target)
        return reply

    def may_retry(self, call: Call, refusal: Refusal) -> bool:
        """Whether another attempt is made, counting why or why not."""
        if refusal.outcome is Outcome.NOT_RUN:
            reason = "not_started"
        elif call.repeatable:
            reason = "failed"
        else:
            return self._deny("not_repeatable")
        if call.attempts >= call.decision.attempts:
            return self._deny("attempts")
        if time.monotonic() >= call.deadline:
            return self._deny("deadline")
        if not call.slot.pool.retries.try_retry():
            return self._deny("retry_budget")
        call.avoid = (*call.avoid, call.slot.target.name)
        self.context.metrics.retries.labels(reason).inc()
        return True

    def _deny(self, reason: str) -> bool:
        self.context.metrics.retries_denied.labels(reason).inc()
        return False

    def final_refusal(self, call: Call, refusal: Refusal) -> Refusal:
        """Return what the caller is told after the last attempt."""
        if refusal.outcome is Outcome.NOT_RUN and refusal.retry_after is None:
            return DeadlineUnreachable(refusal.message, retry_after=1.0)
        return refusal

    # --- joining -----------------------------------------------------------------

    def _join_here(self, call: Call) -> HttpAnswer | None:
        """Answer from the running or finished answer; None if it came to nothing."""
        while True:
            entry = self.context.memory.find(call.identity.name)
            if entry is None or entry.state not in (*_UNANSWERED, RunState.FINISHED):
                return None
            if entry.answer is not None and entry.answer.status:
                break
            if time.monotonic() >= call.deadline:
                raise OutcomeUnknown("another try of this request is running", retry_after=1.0)
            eventlet.sleep(_JOIN_POLL)
        self.context.metrics.joins.labels("here").inc()
        return self._joined(entry.answer.read())

    def _join_peer(self, call: Call, decision: JoinPeer) -> HttpAnswer | None:
        parts = self.context.peers.join(decision.member.peer_address, call.identity.name)
        try:
            answer = self._joined(parts)
        except PeerUnavailable:
            self._forget_lost(call)
            return None
        self.context.metrics.joins.labels("peer").inc()
        return answer

    def _forget_lost(self, call: Call) -> None:
        """An answer that a peer can't give is asked for again, from the start."""
        eventlet.sleep(_JOIN_POLL)

    def _joined(self, parts: Iterator) -> HttpAnswer:
        """Turn the parts of an answer into one for this caller."""
        first = next(parts)
        headers = [*first.headers, ("Whinrack-Joined", "yes")]
        if any(name.lower() == "content-length" for name, _ in headers):
            body = b"".join(part.body for part in parts)
            return HttpAnswer(first.status, headers, [body])
        return HttpAnswer(first.status, headers, _joined_stream(parts))

    # --- ends --------------------------------------------------------------------

    def caller_stream(self, call: Call, body: Iterator[bytes]) -> "CallerStream":
        """Wrap a body so that a caller's hang-up ends or detaches it."""
        return CallerStream(self, call, body)

    def finish(self, call: Call, whole: bool) -> None:
        """End an answer that has begun."""
        if call.ended:
            return
        call.slot.release()
        call.answer.finish(whole)
        if call.identity.keyed:
            self.context.shelf.add(call.answer)
        if whole:
            self._remember(call, RunState.FINISHED)
        else:
            self._remember(call, RunState.UNKNOWN)
        self.ended(call, Outcome.RAN)

    def ended(self, call: Call, outcome: Outcome) -> None:
        """Count the end of a call."""
        call.ended = True
        self.context.metrics.requests.labels(self.kind, str(outcome)).inc()
        if outcome is Outcome.NOT_RUN:
            self._not_run(call)

    def _end_refused(self, call: Call, refusal: Refusal) -> None:
        refusal.attempts = call.attempts
        if call.slot is not None:
            call.slot.release()
        if call.ended:
            return
        if refusal.outcome is Outcome.NOT_RUN:
            self.ended(call, Outcome.NOT_RUN)
            return
        self._remember(call, RunState.UNKNOWN)
        self.ended(call, refusal.outcome)

    def _not_run(self, call: Call) -> None:
        """Give a claim up, then let others run the request.

        In this order: while the claim may still be given up by a late write, nobody
        may run the request by virtue of it.
        """
        given_up = True
        if call.claimed:
            given_up = not isinstance(self.context.claims.give_up(call.identity), Failure)
        self._remember(call, RunState.NOT_RUN if given_up else RunState.UNKNOWN)

    def _remember(self, call: Call, state: RunState) -> None:
        if call.identity.keyed:
            self.context.memory.set_state(call.identity.name, state, time.monotonic(), call.answer)


class CallerStream:
    """A streamed body towards its caller.

    When the caller hangs up, an answer that nobody can ask for again is ended at once.
    A keyed one runs on for a while, so that a retry can join it; one that may not be
    repeated runs to its end.
    """

    def __init__(self, runner: CallRunner, call: Call, body: Iterator[bytes]):
        self.runner = runner
        self.call = call
        self.body = body

    def __iter__(self) -> Iterator[bytes]:
        return self.body

    def close(self) -> None:
        """End or detach the body; the server calls this in every case."""
        if self.call.ended or not self.call.identity.keyed:
            self.body.close()
            return
        eventlet.spawn_n(self._run_on)

    def _run_on(self) -> None:
        grace = self.runner.context.settings.requests.join_grace
        end = time.monotonic() + grace
        for _ in self.body:
            if self.call.answer.readers or not self.call.repeatable:
                end = time.monotonic() + grace
            if time.monotonic() >= end:
                break
        self.body.close()


def _joined_stream(parts: Iterator) -> Iterator[bytes]:
    try:
        for part in parts:
            if part.body:
                yield part.body
    except (PeerUnavailable, Refusal) as error:
        refusal = error if isinstance(error, Refusal) else TargetFailed(error.message)
        yield b"data: " + error_body(refusal) + b"\n\n"
