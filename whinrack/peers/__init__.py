"""gRPC calls between the daemons: client, server and TLS."""

from whinrack.peers._bridge import run_coroutine, run_in_green_thread
from whinrack.peers._client import PeerClient
from whinrack.peers._server import PeerServer
from whinrack.peers._tls import client_context, server_context
from whinrack.peers.base import (
    AnswerPart,
    ConsultQuery,
    FeedSubscription,
    FeedUpdate,
    PeerHandlers,
    PeerReport,
)

__all__ = [
    "AnswerPart",
    "ConsultQuery",
    "FeedSubscription",
    "FeedUpdate",
    "PeerClient",
    "PeerHandlers",
    "PeerReport",
    "PeerServer",
    "client_context",
    "run_coroutine",
    "run_in_green_thread",
    "server_context",
]
