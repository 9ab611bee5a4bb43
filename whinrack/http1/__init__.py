"""HTTP/1.1 server and client on eventlet sockets; `h11` parses and serializes messages."""

from whinrack.http1._bounded_replies import ReplyBounds, bounded_connection_pool
from whinrack.http1._caller_resources import CallerResources, ShedReason
from whinrack.http1._client import ConnectionPool, TargetConnection
from whinrack.http1._exchange import Exchange, ServerLimits
from whinrack.http1._messages import (
    Headers,
    RequestHead,
    ResponseHead,
    end_to_end_headers,
    header_value,
)
from whinrack.http1._server import HttpServer

__all__ = [
    "CallerResources",
    "ConnectionPool",
    "Exchange",
    "Headers",
    "HttpServer",
    "ReplyBounds",
    "RequestHead",
    "ResponseHead",
    "ServerLimits",
    "ShedReason",
    "TargetConnection",
    "bounded_connection_pool",
    "end_to_end_headers",
    "header_value",
]
