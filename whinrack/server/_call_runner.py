"""Steps that chat and service calls share: ownership, slots, attempts, joining, ending."""

from collections.abc import Iterator

import eventlet
from returns.result import Failure, Result

from whinrack.base import Outcome, rendezvous_order
from whinrack.clock import steady
from whinrack.exceptions import OutcomeUnknown, PeerUnavailable, Refusal, TargetFailed
from whinrack.requests import RunState
from whinrack.routing import PickQuery, TargetView
from whinrack.server._admission import Slot
from whinrack.server._answers import SharedAnswer
from whinrack.server._call import Call
from whinrack.server._context import ServerContext
from whinrack.server._http import HttpAnswer
from whinrack.server._ownership import JoinHere, JoinPeer, OwnershipResolver, RunHere
from whinrack.server._policies import PolicyEvaluator
from whinrack.server._streams import CallerStream, joined_answer

__all__ = ["CallRunner"]

_JOIN_POLL_SECONDS = 0.02
_MAX_JOIN_ROUNDS = 5
_MAX_CANDIDATES = 16
_UNFINISHED_STATES = (RunState.ASKING, RunState.RESERVED, RunState.RUNNING)


class CallRunner:
    """Base class of the endpoints that run requests at targets.

    Subclasses define `kind` and `start`.
    """

    kind = ""

    def __init__(self, context: ServerContext):
        self.context = context
        self.ownership = OwnershipResolver(context)
        self.policies = PolicyEvaluator(context.config, context.metrics)

    def start(self, call: Call) -> HttpAnswer:
        """Run a request at a target.

        Raises
        ------
        Refusal
        """
        raise NotImplementedError

    def run(self, call: Call) -> HttpAnswer:
        """Run a request, or join the answer of an earlier attempt."""
        for _ in range(_MAX_JOIN_ROUNDS):
            decision = self.ownership.resolve(
                call.identity, call.digest, call.ticket, call.is_repeatable
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
        raise OutcomeUnknown("another attempt at this request is in progress", retry_after=1.0)

    def _run_here(self, call: Call, decision: RunHere) -> HttpAnswer:
        call.has_claim = decision.has_claim
        call.provisional_against = decision.provisional_against
        limit = self.context.settings.requests.answer_limit if call.identity.has_caller_key else 0
        call.answer = SharedAnswer(limit)
        self._record_state(call, RunState.RUNNING)
        try:
            return self.start(call)
        except Refusal as refusal:
            self._end_with_refusal(call, refusal)
            raise
        except BaseException:
            self._end_with_refusal(call, TargetFailed("internal error in whinrack"))
            raise

    # --- attempts ----------------------------------------------------------------

    def acquire_slot(self, call: Call) -> Slot:
        """Acquire a slot at a target, waiting in the queue if need be."""
        query = PickQuery(
            request_class=call.decision.request_class,
            spread=call.decision.spread,
            affinity_key=call.affinity_key,
            avoided_targets=call.avoided_targets,
        )
        slot = self.context.pool_directory.admit(call.decision, query, call.deadline)
        if isinstance(slot, Failure):
            raise slot.failure()
        call.slot = slot.unwrap()
        return call.slot

    def take_slot(self, call: Call, target: TargetView) -> Slot:
        """Take a slot at a given target, whether or not it has room."""
        pool = self.context.pool_directory.pools()[target.spec.pool]
        target.begin_request()
        call.slot = Slot(self.context.pool_directory, pool, target)
        return call.slot

    def candidates(self, call: Call) -> list[TargetView]:
        """Return targets of the allowed pools, up to a maximum number."""
        pools = self.context.pool_directory.pools()
        targets = {
            target.name: target
            for name in call.decision.pools
            if name in pools
            for target in pools[name].targets.values()
        }
        names = rendezvous_order(call.identity.name, targets)[:_MAX_CANDIDATES]
        return [targets[name] for name in names]

    def send(self, call: Call, slot: Slot, path: str, headers) -> Result:
        """Send one attempt to a target."""
        call.attempts += 1
        if call.attempts == 1:
            slot.pool.retry_budget.record_request()
        reply = self.context.target_client.send(
            slot.target.spec.address,
            call.request.method,
            path,
            headers,
            call.body,
            call.time_left(),
        )
        if isinstance(reply, Failure):
            self.context.pool_directory.record_failure(slot.target)
        return reply

    def prepare_retry(self, call: Call, refusal: Refusal) -> bool:
        """Decide whether to make another attempt, and count the reason.

        Returns
        -------
        bool
            True if the caller is to make the attempt; it avoids the last target.
        """
        if refusal.outcome is Outcome.NOT_RUN:
            reason = "not_started"
        elif call.is_repeatable:
            reason = "failed"
        else:
            return self._deny_retry("not_repeatable")
        if call.attempts >= call.decision.attempts:
            return self._deny_retry("attempts")
        if steady() >= call.deadline:
            return self._deny_retry("deadline")
        if not call.slot.pool.retry_budget.try_acquire():
            return self._deny_retry("retry_budget")
        call.avoided_targets = (*call.avoided_targets, call.slot.target.name)
        self.context.metrics.retries.labels(reason).inc()
        return True

    def _deny_retry(self, reason: str) -> bool:
        self.context.metrics.retries_denied.labels(reason).inc()
        return False

    # --- joining -----------------------------------------------------------------

    def _join_here(self, call: Call) -> HttpAnswer | None:
        """Join the running or finished answer at this instance; None if there is none."""
        while True:
            entry = self.context.request_memory.find(call.identity.name)
            if entry is None or entry.state not in (*_UNFINISHED_STATES, RunState.FINISHED):
                return None
            if entry.answer is not None and entry.answer.status:
                break
            if steady() >= call.deadline:
                raise OutcomeUnknown("another attempt at this request is running", retry_after=1.0)
            eventlet.sleep(_JOIN_POLL_SECONDS)
        self.context.metrics.joined_retries.labels("here").inc()
        return joined_answer(entry.answer.read())

    def _join_peer(self, call: Call, decision: JoinPeer) -> HttpAnswer | None:
        """Join the answer at a peer; None if the peer was lost before the answer began."""
        parts = self.context.peer_client.join_answer(
            decision.member.peer_address, call.identity.name
        )
        try:
            answer = joined_answer(parts)
        except PeerUnavailable:
            # `run` decides again which instance owns the request.
            eventlet.sleep(_JOIN_POLL_SECONDS)
            return None
        self.context.metrics.joined_retries.labels("peer").inc()
        return answer

    # --- ends --------------------------------------------------------------------

    def caller_stream(self, call: Call, body: Iterator[bytes]) -> CallerStream:
        """Wrap a body so that it is ended or detached when the caller disconnects."""
        return CallerStream(call, body, self.context.settings.requests.join_grace)

    def finish(self, call: Call, is_complete: bool) -> None:
        """End a call whose answer has begun."""
        if call.has_ended:
            return
        call.slot.release()
        call.answer.finish(is_complete)
        if call.identity.has_caller_key:
            self.context.answer_cache.add(call.answer)
        if is_complete:
            self._record_state(call, RunState.FINISHED)
        else:
            self._record_state(call, RunState.UNKNOWN)
        self.record_end(call, Outcome.RAN)

    def record_end(self, call: Call, outcome: Outcome) -> None:
        """Record and count the end of a call."""
        call.has_ended = True
        self.context.metrics.requests.labels(self.kind, str(outcome)).inc()
        if outcome is Outcome.NOT_RUN:
            self._release_claim(call)

    def _end_with_refusal(self, call: Call, refusal: Refusal) -> None:
        """End a call that was refused or has failed."""
        refusal.attempts = call.attempts
        if call.slot is not None:
            call.slot.release()
        if call.has_ended:
            return
        if refusal.outcome is Outcome.NOT_RUN:
            self.record_end(call, Outcome.NOT_RUN)
            return
        self._record_state(call, RunState.UNKNOWN)
        self.record_end(call, refusal.outcome)

    def _release_claim(self, call: Call) -> None:
        """Give up the claim if one is held, then let others run the request.

        The order matters: as long as a late write may still give the claim up, no instance
        may run the request by virtue of that claim.
        """
        given_up = True
        if call.has_claim:
            given_up = not isinstance(self.context.claim_store.abandon(call.identity), Failure)
        self._record_state(call, RunState.NOT_RUN if given_up else RunState.UNKNOWN)

    def _record_state(self, call: Call, state: RunState) -> None:
        if call.identity.has_caller_key:
            self.context.request_memory.set_state(call.identity.name, state, steady(), call.answer)
