"""Conversion between the structs of the subpackages and protobuf messages."""

import msgspec

from whinrack.budgets import DrawOrder, DrawResult
from whinrack.membership import Member
from whinrack.peers._pb import peer_pb2 as pb
from whinrack.requests import ConsultDecision, ConsultReply, HandoverEntry, RunState
from whinrack.store import StoredObject

__all__ = [
    "consult_reply_from_pb",
    "consult_reply_to_pb",
    "handover_entry_from_pb",
    "handover_entry_to_pb",
    "member_from_pb",
    "member_to_pb",
    "object_from_pb",
    "object_to_pb",
    "order_from_pb",
    "order_to_pb",
    "result_from_pb",
    "result_to_pb",
]

_MEMBER_FIELDS = Member.__struct_fields__
# Fields that only short grants use are sent through `whinrack.gossip`, not through gRPC.
_ORDER_FIELDS = tuple(
    name
    for name in DrawOrder.__struct_fields__
    if name in pb.Draw.DESCRIPTOR.fields_by_name and name != "received"
)
_RESULT_FIELDS = tuple(
    name for name in DrawResult.__struct_fields__ if name in pb.DrawReply.DESCRIPTOR.fields_by_name
)
_PB_DECISIONS = {
    ConsultDecision.CEDED: pb.CEDED,
    ConsultDecision.HERE: pb.HERE,
    ConsultDecision.ELSEWHERE: pb.ELSEWHERE,
    ConsultDecision.BODY_MISMATCH: pb.BODY_MISMATCH,
    ConsultDecision.OUTCOME_UNKNOWN: pb.OUTCOME_UNKNOWN,
    ConsultDecision.RAN: pb.RAN,
    ConsultDecision.NOT_HEIR: pb.NOT_HEIR,
}
_DECISIONS = {value: key for key, value in _PB_DECISIONS.items()}


def member_to_pb(member: Member) -> pb.Member:
    """Encode a member."""
    return pb.Member(**{name: getattr(member, name) for name in _MEMBER_FIELDS})


def member_from_pb(message: pb.Member) -> Member:
    """Decode a member."""
    return Member(**{name: getattr(message, name) for name in _MEMBER_FIELDS})


def order_to_pb(order: DrawOrder) -> pb.Draw:
    """Encode a draw order."""
    message = pb.Draw(**{name: getattr(order, name) for name in _ORDER_FIELDS})
    for giver, tokens in order.received.items():
        message.received.add(giver=giver, tokens=tokens)
    return message


def order_from_pb(message: pb.Draw) -> DrawOrder:
    """Decode a draw order."""
    fields = {name: getattr(message, name) for name in _ORDER_FIELDS}
    received = {transfer.giver: transfer.tokens for transfer in message.received}
    return DrawOrder(received=received, **fields)


def result_to_pb(result: DrawResult) -> pb.DrawReply:
    """Encode a draw result; negative `free` and `outstanding` counts become 0."""
    fields = {name: getattr(result, name) for name in _RESULT_FIELDS}
    fields["free"] = max(0, result.free)
    fields["outstanding"] = max(0, result.outstanding)
    return pb.DrawReply(**fields)


def result_from_pb(message: pb.DrawReply) -> DrawResult:
    """Decode a draw result."""
    return DrawResult(**{name: getattr(message, name) for name in _RESULT_FIELDS})


def handover_entry_to_pb(entry: HandoverEntry) -> pb.HandoverEntry:
    """Encode an entry of request memory."""
    return pb.HandoverEntry(
        identity=entry.identity,
        body_hash=entry.digest,
        owner=entry.owner,
        state=str(entry.state),
    )


def handover_entry_from_pb(message: pb.HandoverEntry) -> HandoverEntry:
    """Decode an entry of request memory."""
    state = RunState(message.state)
    return HandoverEntry(message.identity, message.body_hash, message.owner, state)


def consult_reply_to_pb(reply: ConsultReply) -> pb.ConsultReply:
    """Encode the reply to a consultation."""
    return pb.ConsultReply(consultation=_PB_DECISIONS[reply.decision], owner=reply.owner)


def consult_reply_from_pb(message: pb.ConsultReply) -> ConsultReply:
    """Decode the reply to a consultation."""
    return ConsultReply(_DECISIONS[message.consultation], message.owner)


def object_to_pb(stored: StoredObject) -> pb.FeedObject:
    """Encode a stored object."""
    return pb.FeedObject(
        kind=stored.kind,
        name=stored.name,
        version=stored.version,
        deleted=stored.deleted,
        value=bytes(stored.value),
    )


def object_from_pb(message: pb.FeedObject) -> StoredObject:
    """Decode a stored object."""
    return StoredObject(
        kind=message.kind,
        name=message.name,
        version=message.version,
        value=msgspec.Raw(message.value),
        deleted=message.deleted,
    )
