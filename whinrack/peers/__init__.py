"""Calls between the daemons."""

from whinrack.peers._bridge import call_green, run_coroutine
from whinrack.peers._client import PeerClient
from whinrack.peers._server import PeerServer
from whinrack.peers._tls import client_context, server_context
from whinrack.peers.base import (
    AnswerPart,
    ConsultQuery,
    FeedSubscription,
    FeedUpdate,
    PeerHandlers,
    PeerWord,
)

__all__ = [
    "AnswerPart",
    "ConsultQuery",
    "FeedSubscription",
    "FeedUpdate",
    "PeerClient",
    "PeerHandlers",
    "PeerServer",
    "PeerWord",
    "call_green",
    "client_context",
    "run_coroutine",
    "server_context",
]
