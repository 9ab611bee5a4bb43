"""Asks peers whether a request may run here, and who owns it."""

from typing import NamedTuple

import msgspec
from returns.result import Failure

from whinrack.base import rendezvous
from whinrack.clock import steady
from whinrack.membership import Member
from whinrack.peers import ConsultQuery
from whinrack.requests import ConsultDecision, ConsultReply, RequestIdentity
from whinrack.server._context import ServerContext

__all__ = ["UnresolvedRequest", "SuccessorReply", "PeerConsultation"]


class UnresolvedRequest(msgspec.Struct, frozen=True):
    """What is known about a request that is to be placed.

    Attributes
    ----------
    known_owner : str
        Another incarnation that is remembered as the owner, "" if there is none.
    """

    identity: RequestIdentity
    digest: bytes
    is_repeatable: bool
    has_ticket: bool
    known_owner: str = ""


class SuccessorReply(NamedTuple):
    """What the heir of a home says; `member` is None where this incarnation is the heir."""

    member: Member | None
    reply: ConsultReply


class PeerConsultation:
    """Puts the question to one peer at a time.

    Parameters
    ----------
    context : ServerContext
        The daemon's parts.
    """

    def __init__(self, context: ServerContext):
        self.context = context

    def consult_successor(self, request: UnresolvedRequest, home: str) -> SuccessorReply | None:
        """Ask who inherited the memory of a home that may have stopped as planned."""
        now = steady()
        own = self.context.state.incarnation
        candidates = [own, *self.context.table.handover_candidates(now)]
        name = rendezvous(request.identity.name, candidates)[0]
        if name == own:
            if self.context.memory.is_responsible_for(home, now):
                return SuccessorReply(None, ConsultReply(ConsultDecision.CEDED, own))
            return None
        member = self.context.table.find(name)
        reply = self.consult(member, request, "", home)
        if reply is None or reply.decision is ConsultDecision.NOT_HEIR:
            return None
        return SuccessorReply(member, reply)

    def consult(
        self, member: Member | None, request: UnresolvedRequest, lost_owner: str, home: str = ""
    ) -> ConsultReply | None:
        """Ask one peer; None if it can't be reached."""
        if member is None:
            self.context.metrics.consultations.labels("unreachable").inc()
            return None
        query = ConsultQuery(
            identity=request.identity.name,
            digest=request.digest,
            asker=self.context.state.incarnation,
            lost_owner=lost_owner,
            repeatable=request.is_repeatable,
            home=home,
        )
        reply = self.context.peer_client.consult(member.peer_address, query)
        if isinstance(reply, Failure):
            self.context.metrics.consultations.labels("unreachable").inc()
            return None
        answer = reply.unwrap()
        self.context.metrics.consultations.labels(str(answer.decision)).inc()
        return answer
