"""Exchange of store objects between instances, for use while the store is unavailable."""

import zlib
from collections.abc import Callable

import msgspec

from whinrack.clock import steady
from whinrack.edge._options import HostPort
from whinrack.exceptions import Refusal
from whinrack.http1 import (
    CallerResources,
    ConnectionPool,
    Exchange,
    Headers,
    HttpServer,
    RequestHead,
    ServerLimits,
)
from whinrack.store import StoredObject

__all__ = [
    "KnowledgeServer",
    "SharedKnowledge",
    "encode_answer",
    "fetch_knowledge",
    "get_from_peer",
]

_PATH = b"/v1/knowledge"
_OK = 200
_NOT_FOUND = 404
_JSON: Headers = [(b"content-type", b"application/json")]
_DEFLATED: Headers = [*_JSON, (b"content-encoding", b"deflate")]
# Answers of at least this size are compressed.
_MIN_COMPRESSED_BYTES = 2048
# Maximum size of an answer of a peer, as sent and decompressed.
_MAX_ANSWER_BYTES = 33_554_432
_COMPRESSION_LEVEL = 1
_FETCH_SECONDS = 1.0


class SharedKnowledge(msgspec.Struct, frozen=True):
    """Objects of the store as known to an instance.

    Attributes
    ----------
    configuration : StoredObject or None
        Configuration in force at that instance.
    targets : tuple of StoredObject
        Records of targets that are not known to be deleted.
    """

    configuration: StoredObject | None = None
    targets: tuple[StoredObject, ...] = ()


# Size allowed for the mark of a forwarded request, in addition to the head of a caller's request.
_MARK_BYTES = 1024


def _handle_nothing(exchange: Exchange) -> bool:
    return False


class KnowledgeServer:
    """Serves this instance's knowledge to peers.

    Parameters
    ----------
    address : HostPort
        Address to listen at. Peers use the address that they send datagrams to.
    knowledge : callable
        Returns the `SharedKnowledge` of this instance.
    handle_other : callable, optional
        Handles requests for other paths; returns False for paths that it does not know.
    handle_forwarded : callable, optional
        Handles callers' requests that a peer forwards; returns False for other requests.
    limits : callable, optional
        Returns the limits of callers' requests.
    resources : CallerResources, optional
        What the connections of this server share with those of others.
    """

    def __init__(
        self,
        address: HostPort,
        knowledge: Callable[[], SharedKnowledge],
        handle_other: Callable[[Exchange], bool] = _handle_nothing,
        handle_forwarded: Callable[[Exchange], bool] = _handle_nothing,
        limits: Callable[[], ServerLimits] = ServerLimits,
        resources: CallerResources | None = None,
    ):
        self.knowledge = knowledge
        self.handle_other = handle_other
        self.handle_forwarded = handle_forwarded
        self.limits = limits
        self._server = HttpServer(
            address, self._answer, limits=self._server_limits, resources=resources
        )

    @property
    def address(self) -> HostPort:
        """Address that the server listens at."""
        return self._server.address

    def start(self) -> None:
        """Start to listen, in the background."""
        self._server.start()

    def stop(self) -> None:
        """Stop listening."""
        self._server.stop_listening()

    def _server_limits(self) -> ServerLimits:
        limits = self.limits()
        return msgspec.structs.replace(limits, head_bytes=limits.head_bytes + _MARK_BYTES)

    def _answer(self, exchange: Exchange) -> None:
        if self.handle_forwarded(exchange):
            return
        if exchange.head.target == _PATH:
            headers, body = encode_answer(self.knowledge())
            exchange.respond(_OK, headers, body)
        elif not self.handle_other(exchange):
            exchange.respond(_NOT_FOUND, [], b"")


def encode_answer(value: msgspec.Struct) -> tuple[Headers, bytes]:
    """Encode an answer to a peer as headers and body, compressed if it is long."""
    body = msgspec.json.encode(value)
    if len(body) < _MIN_COMPRESSED_BYTES:
        return _JSON, body
    return _DEFLATED, zlib.compress(body, _COMPRESSION_LEVEL)


def fetch_knowledge(
    address: HostPort, on_transfer: Callable[[str, HostPort, int], None] | None = None
) -> SharedKnowledge | None:
    """Fetch the knowledge of a peer; None if it does not answer in time."""
    connections = ConnectionPool()
    try:
        return get_from_peer(
            address, _PATH, _FETCH_SECONDS, connections, SharedKnowledge, on_transfer
        )
    finally:
        connections.close()


def get_from_peer(
    address: HostPort,
    path: bytes,
    seconds: float,
    connections: ConnectionPool,
    answer_type: type,
    on_transfer: Callable[[str, HostPort, int], None] | None = None,
):
    """Send a GET request to a peer and decode the answer.

    Parameters
    ----------
    on_transfer : callable, optional
        Called with the lower-case name of the answer type, the address and the size of the body.

    Returns
    -------
    answer_type or None
        None if there is no valid answer in time.
    """
    end = steady() + seconds
    try:
        connection = connections.acquire(address, end)
    except Refusal:
        return None
    try:
        connection.send(RequestHead(b"GET", path, [(b"host", b"peer")]), b"")
        head = connection.read_head(end, lambda headers: True)
        body = b"".join(connection.iter_data(end, _MAX_ANSWER_BYTES))
    except Refusal:
        return None
    finally:
        connections.release(connection)
    if on_transfer is not None:
        on_transfer(answer_type.__name__.lower(), address, len(body))
    return _decode(body, answer_type) if head.status == _OK else None


def _decode(body: bytes, answer_type: type):
    """Decode an answer, which is compressed unless it starts with a brace."""
    try:
        text = body if body.startswith(b"{") else _decompress(body)
        return msgspec.json.decode(text, type=answer_type)
    except (msgspec.MsgspecError, zlib.error):
        return None


def _decompress(body: bytes) -> bytes:
    """Decompress an answer; what exceeds the maximum size is cut off, so decoding it fails."""
    return zlib.decompressobj().decompress(body, _MAX_ANSWER_BYTES)
