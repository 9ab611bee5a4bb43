"""Consultation of peers: whether a request may run here, and which incarnation owns it."""

from typing import NamedTuple

import msgspec
from returns.result import Failure

from whinrack.base import rendezvous_order
from whinrack.clock import steady
from whinrack.membership import Member
from whinrack.peers import ConsultQuery
from whinrack.requests import ConsultDecision, ConsultReply, RequestIdentity
from whinrack.server._context import ServerContext

__all__ = ["PeerConsultation", "SuccessorReply", "UnresolvedRequest"]


class UnresolvedRequest(msgspec.Struct, frozen=True):
    """A request whose owner is to be found, and what is known about it.

    Attributes
    ----------
    has_ticket : bool
        Whether the caller sent a ticket, which names the request's home.
    known_owner : str
        Another incarnation that is remembered as the owner, "" if there is none.
    """

    identity: RequestIdentity
    digest: bytes
    is_repeatable: bool
    has_ticket: bool
    known_owner: str = ""


class SuccessorReply(NamedTuple):
    """Reply of a home's successor; `member` is None if that is this incarnation."""

    member: Member | None
    reply: ConsultReply


class PeerConsultation:
    """Consults peers about the ownership of requests, one peer per call.

    Parameters
    ----------
    context : ServerContext
        Components of the daemon.
    """

    def __init__(self, context: ServerContext):
        self.context = context

    def consult_successor(self, request: UnresolvedRequest, home: str) -> SuccessorReply | None:
        """Consult the successor of a home that may have stopped as planned.

        Returns
        -------
        SuccessorReply or None
            None if the successor can't be reached or did not take over the home's memory.
        """
        now = steady()
        own_incarnation = self.context.state.incarnation
        candidates = [own_incarnation, *self.context.membership_table.handover_candidates(now)]
        name = rendezvous_order(request.identity.name, candidates)[0]
        if name == own_incarnation:
            if self.context.request_memory.is_responsible_for(home, now):
                return SuccessorReply(None, ConsultReply(ConsultDecision.CEDED, own_incarnation))
            return None
        member = self.context.membership_table.find(name)
        reply = self.consult(member, request, "", home)
        if reply is None or reply.decision is ConsultDecision.NOT_HEIR:
            return None
        return SuccessorReply(member, reply)

    def consult(
        self, member: Member | None, request: UnresolvedRequest, lost_owner: str, home: str = ""
    ) -> ConsultReply | None:
        """Consult one peer; None if it is unknown or can't be reached."""
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
