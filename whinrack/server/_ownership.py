"""Decides who runs a request, before anything is spent or sent.

The rules, in the order they are asked:

1. A request without a key is its own; it runs here.
2. What this incarnation remembers decides at once.
3. The home, named by the ticket or by rendezvous, cedes the request or says who has it.
4. A request that may not be repeated is claimed in the platform as well.

A home that stopped as planned has left its memory to those who are asked next. One that
can't be reached otherwise leaves the outcome of earlier tries open: what may be
repeated is run with a provisional bill, what may not is refused as unknown.
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
# Seconds that an owner is given to take in what was just ceded to it.
_REPEAT_PAUSE_SECONDS = 0.02


class RunHere(msgspec.Struct, frozen=True):
    """This incarnation runs the request.

    Attributes
    ----------
    provisional_against : str
        An incarnation that may have run it too, "" if there is none.
    has_claim : bool
        A claim is held and must be given up if the request isn't run.
    """

    provisional_against: str = ""
    has_claim: bool = False


class JoinHere(msgspec.Struct, frozen=True):
    """The request runs or ran here."""

    entry: MemoryEntry


class JoinPeer(msgspec.Struct, frozen=True):
    """The request runs or ran at a peer."""

    member: Member


class OwnershipResolver:
    """Finds the owner of each keyed request.

    Parameters
    ----------
    context : ServerContext
        The daemon's parts.
    """

    def __init__(self, context: ServerContext):
        self.context = context
        self.consultation = PeerConsultation(context)

    def resolve(
        self, identity: RequestIdentity, digest: bytes, ticket: Ticket | None, is_repeatable: bool
    ) -> RunHere | JoinHere | JoinPeer:
        """Decide who runs a request.

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
            # A known owner stays on record while it is asked: whoever asks here
            # meanwhile is sent to it and is not given the request a second time.
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
        return self.context.memory

    @property
    def _own_incarnation(self) -> str:
        return self.context.state.incarnation

    def _undo_reservation(self, request: UnresolvedRequest, before: MemoryEntry | None) -> None:
        """Undo an own reservation that came to nothing."""
        entry = self._memory.find(request.identity.name)
        if entry is None or entry.owner != self._own_incarnation:
            return
        self._memory.set_state(request.identity.name, RunState.NOT_RUN, steady())
        if request.known_owner:
            # That owner may have run it: this must not be forgotten.
            self._memory.restore(request.identity.name, before)

    def _first_owner_to_ask(self, request, entry, ticket) -> str | JoinHere:
        """Return the incarnation to ask, this one if nobody else is to be asked."""
        if entry is not None:
            if entry.state is RunState.UNKNOWN and not request.is_repeatable:
                raise OutcomeUnknown("an earlier try may have run", retry_after=_RETRY_AFTER)
            if request.known_owner:
                if entry.state is RunState.FINISHED:
                    raise AnswerNotKept("the request ran at an instance that has stopped")
                return entry.owner
            if entry.state not in (RunState.NOT_RUN, RunState.UNKNOWN):
                return JoinHere(entry)
        if ticket is not None:
            return ticket.home
        own = self.context.own_member()
        return self.context.table.home_incarnation(own, request.identity.name, steady())

    def _ask_owners(self, request: UnresolvedRequest, home: str) -> RunHere | JoinPeer:
        """Ask the home, and go on to the owner that it names."""
        asked_incarnation, lost_owner = home, ""
        already_asked: set[str] = set()
        for _ in range(_MAX_ROUNDS):
            if asked_incarnation == self._own_incarnation:
                return RunHere()
            if asked_incarnation in already_asked:
                eventlet.sleep(_REPEAT_PAUSE_SECONDS)
            already_asked.add(asked_incarnation)
            member = self.context.table.find(asked_incarnation)
            reply = self.consultation.consult(member, request, lost_owner)
            if reply is None:
                if asked_incarnation != home and not lost_owner:
                    # The owner is lost: the home decides again, knowing that.
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
                    raise OutcomeUnknown("an earlier try may have run", retry_after=_RETRY_AFTER)
        return self._decide_without_owner(request, asked_incarnation)

    def _decide_without_owner(self, request: UnresolvedRequest, lost_owner: str) -> RunHere:
        """Decide where an incarnation that may have run the request can't be asked."""
        if request.is_repeatable:
            return RunHere(provisional_against=lost_owner)
        if not request.has_ticket and not request.known_owner:
            # No ticket: the claim in the platform decides instead of the home.
            return RunHere()
        raise OutcomeUnknown(
            "the instance that may have run the request can't be reached",
            retry_after=_RETRY_AFTER,
        )

    def _confirm_reservation(
        self, request: UnresolvedRequest, decision: RunHere
    ) -> RunHere | JoinHere | JoinPeer:
        """Reserve the request for good, unless it was ceded while the home was asked."""
        now = steady()
        name = request.identity.name
        entry = self._memory.find(name)
        if entry is not None and entry.owner not in (self._own_incarnation, request.known_owner):
            return self._join_owner(entry.owner)
        if request.known_owner:
            if entry is not None and entry.owner == self._own_incarnation:
                # Another call of this instance has replaced the known owner meanwhile.
                return JoinHere(entry)
            self._memory.reserve(name, request.digest, now)
        self._memory.set_state(name, RunState.RESERVED, now)
        if request.is_repeatable:
            return decision
        return self._claim(request, decision)

    def _join_owner(self, owner: str) -> JoinPeer:
        member = self.context.table.find(owner)
        if member is None:
            raise OutcomeUnknown("another instance runs the request", retry_after=_RETRY_AFTER)
        return JoinPeer(member)

    def _claim(self, request: UnresolvedRequest, decision: RunHere) -> RunHere | JoinPeer:
        """Ask the platform for the claim on a request that runs at most once."""
        result = self.context.claims.claim(request.identity, request.digest)
        status = evaluate_claim(result, self._own_incarnation, request.digest)
        if isinstance(status, Failure):
            unreachable = isinstance(status.failure(), PlatformUnavailable | RateExceeded)
            if request.has_ticket and unreachable:
                # The ticket's home has promised; the claim would only repeat it.
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
        """Join the answer of the claim's holder, which alone may run the request."""
        member = self.context.table.find(holder)
        reply = self.consultation.consult(member, request, "")
        if reply is not None and reply.decision is ConsultDecision.HERE:
            self._record_owner(request, holder)
            return JoinPeer(member)
        if reply is not None and reply.decision is ConsultDecision.CEDED:
            # The holder did not run it and promises that it won't.
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
