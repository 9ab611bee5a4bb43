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
from whinrack.server._consultation import AskedRequest, PeerConsultant
from whinrack.server._context import ServerContext

__all__ = ["JoinHere", "JoinPeer", "Ownership", "RunHere"]

_RETRY_AFTER = 2.0
_ROUNDS = 6
# Seconds that an owner is given to take in what was just ceded to it.
_SETTLING_PAUSE = 0.02


class RunHere(msgspec.Struct, frozen=True):
    """This incarnation runs the request.

    Attributes
    ----------
    provisional_against : str
        An incarnation that may have run it too, "" if there is none.
    claimed : bool
        A claim is held and must be given up if the request isn't run.
    """

    provisional_against: str = ""
    claimed: bool = False


class JoinHere(msgspec.Struct, frozen=True):
    """The request runs or ran here."""

    entry: MemoryEntry


class JoinPeer(msgspec.Struct, frozen=True):
    """The request runs or ran at a peer."""

    member: Member


class Ownership:
    """Finds the owner of each keyed request.

    Parameters
    ----------
    context : ServerContext
        The daemon's parts.
    """

    def __init__(self, context: ServerContext):
        self.context = context
        self.consultant = PeerConsultant(context)

    def settle(
        self, identity: RequestIdentity, digest: bytes, ticket: Ticket | None, repeatable: bool
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
        known_owner = entry.owner if entry is not None and entry.owner != self._own else ""
        asked = AskedRequest(identity, digest, repeatable, ticket is not None, known_owner)
        first = self._first_to_ask(asked, entry, ticket)
        if isinstance(first, JoinHere):
            return first
        if not known_owner:
            # A known owner stays on record while it is asked: whoever asks here
            # meanwhile is sent to it and is not given the request a second time.
            self._memory.reserve(identity.name, digest, steady())
        try:
            decision = self._ask(asked, first)
            if isinstance(decision, RunHere):
                decision = self._confirm(asked, decision)
            return decision
        except Exception:
            self._take_back(asked, entry)
            raise

    @property
    def _memory(self):
        return self.context.memory

    @property
    def _own(self) -> str:
        return self.context.state.incarnation

    def _take_back(self, asked: AskedRequest, before: MemoryEntry | None) -> None:
        """Undo an own reservation that came to nothing."""
        entry = self._memory.find(asked.identity.name)
        if entry is None or entry.owner != self._own:
            return
        self._memory.set_state(asked.identity.name, RunState.NOT_RUN, steady())
        if asked.known_owner:
            # That owner may have run it: this must not be forgotten.
            self._memory.restore(asked.identity.name, before)

    def _first_to_ask(self, asked, entry, ticket) -> str | JoinHere:
        """Return the incarnation to ask, this one if nobody else is to be asked."""
        if entry is not None:
            if entry.state is RunState.UNKNOWN and not asked.repeatable:
                raise OutcomeUnknown("an earlier try may have run", retry_after=_RETRY_AFTER)
            if asked.known_owner:
                if entry.state is RunState.FINISHED:
                    raise AnswerNotKept("the request ran at an instance that has stopped")
                return entry.owner
            if entry.state not in (RunState.NOT_RUN, RunState.UNKNOWN):
                return JoinHere(entry)
        if ticket is not None:
            return ticket.home
        own = self.context.own_member()
        return self.context.table.home_incarnation(own, asked.identity.name, steady())

    def _ask(self, asked: AskedRequest, home: str) -> RunHere | JoinPeer:
        """Ask the home, and go on to the owner that it names."""
        asking, lost = home, ""
        asked_before: set[str] = set()
        for _ in range(_ROUNDS):
            if asking == self._own:
                return RunHere()
            if asking in asked_before:
                eventlet.sleep(_SETTLING_PAUSE)
            asked_before.add(asking)
            member = self.context.table.find(asking)
            reply = self.consultant.ask(member, asked, lost)
            if reply is None:
                if asking != home and not lost:
                    # The owner is lost: the home decides again, knowing that.
                    asking, lost = home, asking
                    continue
                heir = self.consultant.ask_heir(asked, home)
                if heir is None:
                    return self._without(asked, asking)
                member, reply = heir
            match reply.decision:
                case ConsultDecision.RAN:
                    raise AnswerNotKept("the request ran at an instance that has stopped")
                case ConsultDecision.CEDED:
                    return RunHere(provisional_against=lost)
                case ConsultDecision.HERE:
                    self._hand_over(asked, member.incarnation)
                    return JoinPeer(member)
                case ConsultDecision.ELSEWHERE:
                    asking = reply.owner
                case ConsultDecision.BODY_MISMATCH:
                    raise KeyReused("the key was used with another body")
                case ConsultDecision.OUTCOME_UNKNOWN:
                    raise OutcomeUnknown("an earlier try may have run", retry_after=_RETRY_AFTER)
        return self._without(asked, asking)

    def _without(self, asked: AskedRequest, lost: str) -> RunHere:
        """Decide where an incarnation that may have run the request can't be asked."""
        if asked.repeatable:
            return RunHere(provisional_against=lost)
        if not asked.ticketed and not asked.known_owner:
            # No ticket: the claim in the platform decides instead of the home.
            return RunHere()
        raise OutcomeUnknown(
            "the instance that may have run the request can't be reached",
            retry_after=_RETRY_AFTER,
        )

    def _confirm(self, asked: AskedRequest, decision: RunHere) -> RunHere | JoinHere | JoinPeer:
        """Reserve the request for good, unless it was ceded while the home was asked."""
        now = steady()
        name = asked.identity.name
        entry = self._memory.find(name)
        if entry is not None and entry.owner not in (self._own, asked.known_owner):
            return self._join_owner(entry.owner)
        if asked.known_owner:
            if entry is not None and entry.owner == self._own:
                # Another call of this instance has replaced the known owner meanwhile.
                return JoinHere(entry)
            self._memory.reserve(name, asked.digest, now)
        self._memory.set_state(name, RunState.RESERVED, now)
        if asked.repeatable:
            return decision
        return self._claim(asked, decision)

    def _join_owner(self, owner: str) -> JoinPeer:
        member = self.context.table.find(owner)
        if member is None:
            raise OutcomeUnknown("another instance runs the request", retry_after=_RETRY_AFTER)
        return JoinPeer(member)

    def _claim(self, asked: AskedRequest, decision: RunHere) -> RunHere | JoinPeer:
        """Ask the platform for the claim on a request that runs at most once."""
        result = self.context.claims.claim(asked.identity, asked.digest)
        verdict = evaluate_claim(result, self._own, asked.digest)
        if isinstance(verdict, Failure):
            unreachable = isinstance(verdict.failure(), PlatformUnavailable | RateExceeded)
            if asked.ticketed and unreachable:
                # The ticket's home has promised; the claim would only repeat it.
                return decision
            raise ClaimUnavailable(
                "the platform can't be asked whether the request was run before",
                retry_after=_RETRY_AFTER,
            )
        match verdict.unwrap():
            case ClaimStatus.HELD:
                return RunHere(decision.provisional_against, claimed=True)
            case ClaimStatus.BODY_MISMATCH:
                raise KeyReused("the key was used with another body")
        return self._join_holder(asked, result.unwrap().holder)

    def _join_holder(self, asked: AskedRequest, holder: str) -> RunHere | JoinPeer:
        """Join the answer of the claim's holder, which alone may run the request."""
        member = self.context.table.find(holder)
        reply = self.consultant.ask(member, asked, "")
        if reply is not None and reply.decision is ConsultDecision.HERE:
            self._hand_over(asked, holder)
            return JoinPeer(member)
        if reply is not None and reply.decision is ConsultDecision.CEDED:
            # The holder did not run it and promises that it won't.
            return RunHere()
        raise OutcomeUnknown(
            "another instance holds the claim to run the request", retry_after=_RETRY_AFTER
        )

    def _hand_over(self, asked: AskedRequest, owner: str) -> None:
        """Remember that another incarnation owns the request."""
        entry = self._memory.find(asked.identity.name)
        if entry is not None:
            entry.owner = owner
            entry.state = RunState.CEDED
