"""Ownership of requests: which incarnation runs one, before tokens are spent or work is sent.

The rules, in the order in which they are applied:

1. A request without an idempotency key runs here.
2. An entry in this incarnation's request memory decides at once.
3. The home of the request, named by the ticket or chosen by rendezvous hashing, cedes the
   request or names its owner.
4. A request that may not be repeated is claimed in the platform as well.

A home that stopped as planned has handed its request memory over to successors, which
are asked instead. If a home can't be reached for another reason, the outcome of earlier attempts
is unknown: a repeatable request runs with a provisional bill, any other is refused.
"""

import eventlet
import msgspec
from returns.result import Failure

from whinrack.clock import steady
from whinrack.exceptions import (
    AnswerNotKept,
    ClaimUnavailable,
    KeyReused,
    OutcomeUnknown,
    PlatformUnavailable,
    RateExceeded,
)
from whinrack.membership import Member
from whinrack.requests import (
    ClaimStatus,
    ConsultDecision,
    MemoryEntry,
    RequestIdentity,
    RunState,
    Ticket,
    evaluate_claim,
)
from whinrack.server._consultation import PeerConsultation, UnresolvedRequest
from whinrack.server._context import ServerContext

__all__ = ["JoinHere", "JoinPeer", "OwnershipResolver", "RunHere"]

_RETRY_AFTER = 2.0
_MAX_ROUNDS = 6
# Seconds before an incarnation is asked again, so that it can record what was ceded to it.
_REPEAT_PAUSE_SECONDS = 0.02


class RunHere(msgspec.Struct, frozen=True):
    """Decision that this incarnation runs the request.

    Attributes
    ----------
    provisional_against : str
        An incarnation that may have run the request too, "" if there is none.
    has_claim : bool
        A claim is held in the platform and must be given up if the request isn't run.
    """

    provisional_against: str = ""
    has_claim: bool = False


class JoinHere(msgspec.Struct, frozen=True):
    """Decision to join the answer of this incarnation, which runs or ran the request."""

    entry: MemoryEntry


class JoinPeer(msgspec.Struct, frozen=True):
    """Decision to join the answer of a peer, which runs or ran the request."""

    member: Member


class OwnershipResolver:
    """Finds the owner of each request with an idempotency key.

    Parameters
    ----------
    context : ServerContext
        Components of the daemon.
    """

    def __init__(self, context: ServerContext):
        self.context = context
        self.consultation = PeerConsultation(context)

    def resolve(
        self, identity: RequestIdentity, digest: bytes, ticket: Ticket | None, is_repeatable: bool
    ) -> RunHere | JoinHere | JoinPeer:
        """Decide which incarnation runs a request.

        Raises
        ------
        KeyReused, OutcomeUnknown, ClaimUnavailable
        """
        if not identity.has_caller_key:
            return RunHere()
        entry = self._memory.find(identity.name)
        if entry is not None and entry.digest != digest:
            raise KeyReused("the key was used with another body")
        known_owner = (
            entry.owner if entry is not None and entry.owner != self._own_incarnation else ""
        )
        request = UnresolvedRequest(
            identity, digest, is_repeatable, ticket is not None, known_owner
        )
        first = self._first_owner_to_ask(request, entry, ticket)
        if isinstance(first, JoinHere):
            return first
        if not known_owner:
            # A known owner stays recorded while it is asked: peers that consult this
            # instance meanwhile are sent to it and are not ceded the request as well.
            self._memory.reserve(identity.name, digest, steady())
        try:
            decision = self._ask_owners(request, first)
            if isinstance(decision, RunHere):
                decision = self._confirm_reservation(request, decision)
            return decision
        except Exception:
            self._undo_reservation(request, entry)
            raise

    @property
    def _memory(self):
        return self.context.request_memory

    @property
    def _own_incarnation(self) -> str:
        return self.context.state.incarnation

    def _undo_reservation(self, request: UnresolvedRequest, before: MemoryEntry | None) -> None:
        """Undo this incarnation's reservation after a refused decision."""
        entry = self._memory.find(request.identity.name)
        if entry is None or entry.owner != self._own_incarnation:
            return
        self._memory.set_state(request.identity.name, RunState.NOT_RUN, steady())
        if request.known_owner:
            # The known owner may have run the request: its entry must be kept.
            self._memory.restore(request.identity.name, before)

    def _first_owner_to_ask(self, request, entry, ticket) -> str | JoinHere:
        """Return the incarnation to ask first, this one if no other is to be asked."""
        if entry is not None:
            if entry.state is RunState.UNKNOWN and not request.is_repeatable:
                raise OutcomeUnknown("an earlier attempt may have run", retry_after=_RETRY_AFTER)
            if request.known_owner:
                if entry.state is RunState.FINISHED:
                    raise AnswerNotKept("the request ran at an instance that has stopped")
                return entry.owner
            if entry.state not in (RunState.NOT_RUN, RunState.UNKNOWN):
                return JoinHere(entry)
        if ticket is not None:
            return ticket.home
        own_member = self.context.own_member()
        return self.context.membership_table.home_incarnation(
            own_member, request.identity.name, steady()
        )

    def _ask_owners(self, request: UnresolvedRequest, home: str) -> RunHere | JoinPeer:
        """Ask the home, then the owner that it names."""
        asked_incarnation, lost_owner = home, ""
        already_asked: set[str] = set()
        for _ in range(_MAX_ROUNDS):
            if asked_incarnation == self._own_incarnation:
                return RunHere()
            if asked_incarnation in already_asked:
                eventlet.sleep(_REPEAT_PAUSE_SECONDS)
            already_asked.add(asked_incarnation)
            member = self.context.membership_table.find(asked_incarnation)
            reply = self.consultation.consult(member, request, lost_owner)
            if reply is None:
                if asked_incarnation != home and not lost_owner:
                    # The owner can't be reached: the home decides again, knowing that.
                    asked_incarnation, lost_owner = home, asked_incarnation
                    continue
                successor = self.consultation.consult_successor(request, home)
                if successor is None:
                    return self._decide_without_owner(request, asked_incarnation)
                member, reply = successor
            match reply.decision:
                case ConsultDecision.RAN:
                    raise AnswerNotKept("the request ran at an instance that has stopped")
                case ConsultDecision.CEDED:
                    return RunHere(provisional_against=lost_owner)
                case ConsultDecision.HERE:
                    self._record_owner(request, member.incarnation)
                    return JoinPeer(member)
                case ConsultDecision.ELSEWHERE:
                    asked_incarnation = reply.owner
                case ConsultDecision.BODY_MISMATCH:
                    raise KeyReused("the key was used with another body")
                case ConsultDecision.OUTCOME_UNKNOWN:
                    raise OutcomeUnknown(
                        "an earlier attempt may have run", retry_after=_RETRY_AFTER
                    )
        return self._decide_without_owner(request, asked_incarnation)

    def _decide_without_owner(self, request: UnresolvedRequest, lost_owner: str) -> RunHere:
        """Decide when an incarnation that may have run the request can't be asked."""
        if request.is_repeatable:
            return RunHere(provisional_against=lost_owner)
        if not request.has_ticket and not request.known_owner:
            # Without a ticket, the claim in the platform decides instead of the home.
            return RunHere()
        raise OutcomeUnknown(
            "the instance that may have run the request can't be reached",
            retry_after=_RETRY_AFTER,
        )

    def _confirm_reservation(
        self, request: UnresolvedRequest, decision: RunHere
    ) -> RunHere | JoinHere | JoinPeer:
        """Reserve the request finally, unless it was ceded while the home was asked."""
        now = steady()
        name = request.identity.name
        entry = self._memory.find(name)
        if entry is not None and entry.owner not in (self._own_incarnation, request.known_owner):
            return self._join_owner(entry.owner)
        if request.known_owner:
            if entry is not None and entry.owner == self._own_incarnation:
                # Another call at this instance has replaced the known owner meanwhile.
                return JoinHere(entry)
            self._memory.reserve(name, request.digest, now)
        self._memory.set_state(name, RunState.RESERVED, now)
        if request.is_repeatable:
            return decision
        return self._claim(request, decision)

    def _join_owner(self, owner: str) -> JoinPeer:
        member = self.context.membership_table.find(owner)
        if member is None:
            raise OutcomeUnknown("another instance runs the request", retry_after=_RETRY_AFTER)
        return JoinPeer(member)

    def _claim(self, request: UnresolvedRequest, decision: RunHere) -> RunHere | JoinPeer:
        """Claim a request that must run at most once in the platform."""
        result = self.context.claim_store.claim(request.identity, request.digest)
        status = evaluate_claim(result, self._own_incarnation, request.digest)
        if isinstance(status, Failure):
            unreachable = isinstance(status.failure(), PlatformUnavailable | RateExceeded)
            if request.has_ticket and unreachable:
                # The ticket's home has granted the request; a claim would only confirm that.
                return decision
            raise ClaimUnavailable(
                "the platform can't be asked whether the request was run before",
                retry_after=_RETRY_AFTER,
            )
        match status.unwrap():
            case ClaimStatus.HELD:
                return RunHere(decision.provisional_against, has_claim=True)
            case ClaimStatus.BODY_MISMATCH:
                raise KeyReused("the key was used with another body")
        return self._join_holder(request, result.unwrap().holder)

    def _join_holder(self, request: UnresolvedRequest, holder: str) -> RunHere | JoinPeer:
        """Join the answer of the claim's holder, the only one that may run the request."""
        member = self.context.membership_table.find(holder)
        reply = self.consultation.consult(member, request, "")
        if reply is not None and reply.decision is ConsultDecision.HERE:
            self._record_owner(request, holder)
            return JoinPeer(member)
        if reply is not None and reply.decision is ConsultDecision.CEDED:
            # The holder did not run the request and will not run it.
            return RunHere()
        raise OutcomeUnknown(
            "another instance holds the claim to run the request", retry_after=_RETRY_AFTER
        )

    def _record_owner(self, request: UnresolvedRequest, owner: str) -> None:
        """Remember that another incarnation owns the request."""
        entry = self._memory.find(request.identity.name)
        if entry is not None:
            entry.owner = owner
            entry.state = RunState.CEDED
