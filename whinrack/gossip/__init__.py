"""Datagrams between instances: who is there, who is leaving, and spare tokens."""

from whinrack.gossip._clocks import ClockCheck
from whinrack.gossip._drawers import FleetDrawer
from whinrack.gossip._link import GossipLink
from whinrack.gossip._messages import (
    DrawAccepted,
    DrawReply,
    DrawRequest,
    GoneTarget,
    Heartbeat,
    Message,
    PeerAddress,
    PeerState,
    ReleaseReply,
    ReleaseRequest,
    SuspectCases,
    TargetLoads,
    TokenReply,
    TokenRequest,
)
from whinrack.gossip._peers import PeerTable, PeerView
from whinrack.gossip._spares import PeerSpares
from whinrack.gossip._strength import Strength, is_strong, prefer_strong, strongest

__all__ = [
    "ClockCheck",
    "DrawAccepted",
    "DrawReply",
    "DrawRequest",
    "FleetDrawer",
    "GoneTarget",
    "GossipLink",
    "Heartbeat",
    "Message",
    "PeerAddress",
    "PeerSpares",
    "PeerState",
    "PeerTable",
    "PeerView",
    "ReleaseReply",
    "ReleaseRequest",
    "SuspectCases",
    "TargetLoads",
    "TokenReply",
    "TokenRequest",
    "Strength",
    "is_strong",
    "prefer_strong",
    "strongest",
]
