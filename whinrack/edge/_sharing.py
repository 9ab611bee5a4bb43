"""Passes on what the store said, so that peers learn it while they can't ask the store."""

import time
from collections.abc import Callable

import msgspec

from whinrack.edge._options import HostPort
from whinrack.exceptions import Refusal
from whinrack.http1 import Exchange, Headers, HttpServer, RequestHead, TargetConnection
from whinrack.store import StoredObject

__all__ = ["KnowledgeServer", "SharedKnowledge", "fetch_knowledge"]

_PATH = b"/v1/knowledge"
_OK = 200
_NOT_FOUND = 404
_JSON: Headers = [(b"content-type", b"application/json")]
_FETCH_SECONDS = 1.0


class SharedKnowledge(msgspec.Struct, frozen=True):
    """Objects of the store as an instance has met them.

    Attributes
    ----------
    configuration : StoredObject or None
        The one in force there.
    targets : tuple of StoredObject
        Those that are not known to be gone.
    """

    configuration: StoredObject | None = None
    targets: tuple[StoredObject, ...] = ()


class KnowledgeServer:
    """Answers peers that ask what this instance knows.

    Parameters
    ----------
    address : HostPort
        Where to listen; peers find it at the address of the datagrams.
    known : callable
        Returns the `SharedKnowledge`.
    """

    def __init__(self, address: HostPort, known: Callable[[], SharedKnowledge]):
        self.known = known
        self._server = HttpServer(address, self._answer)

    @property
    def address(self) -> HostPort:
        """Where it listens."""
        return self._server.address

    def start(self) -> None:
        """Listen in the background."""
        self._server.start()

    def stop(self) -> None:
        """Listen no more."""
        self._server.stop_listening()

    def _answer(self, exchange: Exchange) -> None:
        if exchange.head.target != _PATH:
            exchange.respond(_NOT_FOUND, [], b"")
            return
        exchange.respond(_OK, _JSON, msgspec.json.encode(self.known()))


def fetch_knowledge(address: HostPort) -> SharedKnowledge | None:
    """Ask a peer what it knows; None if it doesn't answer in time."""
    end = time.monotonic() + _FETCH_SECONDS
    try:
        connection = TargetConnection.open(address, _FETCH_SECONDS)
    except Refusal:
        return None
    try:
        connection.send(RequestHead(b"GET", _PATH, [(b"host", b"peer")]), b"", end)
        head = connection.read_head(end, lambda headers: True)
        body = b"".join(connection.pieces(end))
        if head.status != _OK:
            return None
        return msgspec.json.decode(body, type=SharedKnowledge)
    except (Refusal, msgspec.MsgspecError):
        return None
    finally:
        connection.close()
