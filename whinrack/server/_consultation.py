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

__all__ = ["AskedRequest", "HeirReply", "PeerConsultant"]


class AskedRequest(msgspec.Struct, frozen=True):
    """What is known about a request that is to be placed.

    Attributes
    ----------
    known_owner : str
        Another incarnation that is remembered as the owner, "" if there is none.
    """

    identity: RequestIdentity
    digest: bytes
    repeatable: bool
    ticketed: bool
    known_owner: str = ""


class HeirReply(NamedTuple):
    """What the heir of a home says; `member` is None where this incarnation is the heir."""

    member: Member | None
    verdict: ConsultReply


class PeerConsultant:
    """Puts the question to one peer at a time.

    Parameters
    ----------
    context : ServerContext
        The daemon's parts.
    """

    def __init__(self, context: ServerContext):
        self.context = context

    def ask_heir(self, asked: AskedRequest, home: str) -> HeirReply | None:
        """Ask who inherited the memory of a home that may have stopped as planned."""
        now = steady()
        own = self.context.state.incarnation
        heirs = [own, *self.context.table.handover_candidates(now)]
        name = rendezvous(asked.identity.name, heirs)[0]
        if name == own:
            if self.context.memory.is_responsible_for(home, now):
                return HeirReply(None, ConsultReply(ConsultDecision.CEDED, own))
            return None
        member = self.context.table.find(name)
        reply = self.ask(member, asked, "", home)
        if reply is None or reply.decision is ConsultDecision.NOT_HEIR:
            return None
        return HeirReply(member, reply)

    def ask(
        self, member: Member | None, asked: AskedRequest, lost: str, home: str = ""
    ) -> ConsultReply | None:
        """Ask one peer; None if it can't be reached."""
        if member is None:
            self.context.metrics.consultations.labels("unreachable").inc()
            return None
        query = ConsultQuery(
            identity=asked.identity.name,
            digest=asked.digest,
            asker=self.context.state.incarnation,
            lost_owner=lost,
            repeatable=asked.repeatable,
            home=home,
        )
        reply = self.context.peers.consult(member.peer_address, query)
        if isinstance(reply, Failure):
            self.context.metrics.consultations.labels("unreachable").inc()
            return None
        verdict = reply.unwrap()
        self.context.metrics.consultations.labels(str(verdict.decision)).inc()
        return verdict
