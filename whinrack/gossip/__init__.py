"""Gossip between instances over UDP: membership, leaving targets and spare tokens."""

from whinrack.gossip._capacity import (
    Capacity,
    has_high_capacity,
    max_capacity,
    prefer_high_capacity,
)
from whinrack.gossip._clock_check import ClockCheck
from whinrack.gossip._draw_coordinator import DrawCoordinator
from whinrack.gossip._link import GossipLink
from whinrack.gossip._messages import (
    DrawAccepted,
    DrawReply,
    DrawRequest,
    Heartbeat,
    Message,
    PeerAddress,
    PeerState,
    ReleaseReply,
    ReleaseRequest,
    RemovedTarget,
    StreamAnswer,
    StreamBegan,
    StreamQuestion,
    SuspectCases,
    TargetLoads,
    TokenReply,
    TokenRequest,
)
from whinrack.gossip._peers import PeerTable, PeerView
from whinrack.gossip._request_ids import request_ids
from whinrack.gossip._token_source import GossipTokenSource

__all__ = [
    "ClockCheck",
    "DrawAccepted",
    "DrawReply",
    "DrawRequest",
    "DrawCoordinator",
    "RemovedTarget",
    "GossipLink",
    "Heartbeat",
    "Message",
    "PeerAddress",
    "GossipTokenSource",
    "PeerState",
    "PeerTable",
    "PeerView",
    "ReleaseReply",
    "ReleaseRequest",
    "StreamAnswer",
    "StreamBegan",
    "StreamQuestion",
    "SuspectCases",
    "TargetLoads",
    "TokenReply",
    "TokenRequest",
    "Capacity",
    "has_high_capacity",
    "prefer_high_capacity",
    "max_capacity",
    "request_ids",
]
