"""What chat and service calls share: ownership, routing, attempts, joining, ending."""

from collections.abc import Iterator

import eventlet
from returns.result import Failure, Result

from whinrack.base import Outcome, rendezvous
from whinrack.clock import steady
from whinrack.exceptions import OutcomeUnknown, PeerUnavailable, Refusal, TargetFailed
from whinrack.requests import RunState
from whinrack.routing import PickQuery, TargetView
from whinrack.server._admission import Slot
from whinrack.server._answers import RunningAnswer
from whinrack.server._call import Call
from whinrack.server._context import ServerContext
from whinrack.server._http import HttpAnswer
from whinrack.server._ownership import JoinHere, JoinPeer, Ownership, RunHere
from whinrack.server._policies import PolicyEvaluator
from whinrack.server._streams import CallerStream, joined_answer

__all__ = ["CallRunner"]

_JOIN_POLL = 0.02
_JOIN_ROUNDS = 5
_MOST_CANDIDATES = 16
_UNANSWERED = (RunState.ASKING, RunState.RESERVED, RunState.RUNNING)


class CallRunner:
    """Base of the endpoints that run requests at targets.

    A subclass provides `kind` and `start`.
    """

    kind = ""

    def __init__(self, context: ServerContext):
        self.context = context
        self.ownership = Ownership(context)
        self.policies = PolicyEvaluator(context.config, context.metrics)

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
        limit = self.context.settings.requests.answer_limit if call.identity.has_caller_key else 0
        call.answer = RunningAnswer(limit)
        self._remember(call, RunState.RUNNING)
        try:
            return self.start(call)
        except Refusal as refusal:
            self._end_refused(call, refusal)
            raise
        except BaseException:
            self._end_refused(call, TargetFailed("failed inside"))
            raise

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
        target.begin_request()
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
        if steady() >= call.deadline:
            return self._deny("deadline")
        if not call.slot.pool.retries.try_retry():
            return self._deny("retry_budget")
        call.avoid = (*call.avoid, call.slot.target.name)
        self.context.metrics.retries.labels(reason).inc()
        return True

    def _deny(self, reason: str) -> bool:
        self.context.metrics.retries_denied.labels(reason).inc()
        return False

    # --- joining -----------------------------------------------------------------

    def _join_here(self, call: Call) -> HttpAnswer | None:
        """Answer from the running or finished answer; None if it came to nothing."""
        while True:
            entry = self.context.memory.find(call.identity.name)
            if entry is None or entry.state not in (*_UNANSWERED, RunState.FINISHED):
                return None
            if entry.answer is not None and entry.answer.status:
                break
            if steady() >= call.deadline:
                raise OutcomeUnknown("another try of this request is running", retry_after=1.0)
            eventlet.sleep(_JOIN_POLL)
        self.context.metrics.joins.labels("here").inc()
        return joined_answer(entry.answer.read())

    def _join_peer(self, call: Call, decision: JoinPeer) -> HttpAnswer | None:
        parts = self.context.peers.join(decision.member.peer_address, call.identity.name)
        try:
            answer = joined_answer(parts)
        except PeerUnavailable:
            # It is asked for again from the start, at whoever has it then.
            eventlet.sleep(_JOIN_POLL)
            return None
        self.context.metrics.joins.labels("peer").inc()
        return answer

    # --- ends --------------------------------------------------------------------

    def caller_stream(self, call: Call, body: Iterator[bytes]) -> CallerStream:
        """Wrap a body so that a caller's hang-up ends or detaches it."""
        return CallerStream(call, body, self.context.settings.requests.join_grace)

    def finish(self, call: Call, whole: bool) -> None:
        """End an answer that has begun."""
        if call.ended:
            return
        call.slot.release()
        call.answer.finish(whole)
        if call.identity.has_caller_key:
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
            given_up = not isinstance(self.context.claims.abandon(call.identity), Failure)
        self._remember(call, RunState.NOT_RUN if given_up else RunState.UNKNOWN)

    def _remember(self, call: Call, state: RunState) -> None:
        if call.identity.has_caller_key:
            self.context.memory.set_state(call.identity.name, state, steady(), call.answer)
