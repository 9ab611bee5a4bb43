"""Relays lists and watches of the store to peers, so that few instances call the store.

Each followed kind of object has a cache with its latest changes. A peer requests the list, or the
changes after a revision, by HTTP in the same way as from the store. Revisions are those of the
store, so a peer can continue at another instance or at the store.
"""

from collections import deque
from collections.abc import Callable, Sequence
from urllib.parse import parse_qs, urlsplit

import eventlet
from eventlet.event import Event
from returns.result import Failure, Result, Success

from whinrack.clock import steady
from whinrack.edge._knowledge_exchange import encode_answer, get_from_peer
from whinrack.edge._options import HostPort
from whinrack.exceptions import PlatformFailure, PlatformUnavailable
from whinrack.http1 import ConnectionPool, Exchange, Headers
from whinrack.store import ObjectStore, Snapshot, StoredObject, WatchBatch

__all__ = ["PeerStore", "WatchCache", "WatchRelay"]

_LIST_PATH = "/v1/list/"
_WATCH_PATH = "/v1/watch/"
_OK = 200
_NOT_FOUND = 404
_MAX_WAIT = 10.0
# How long a list request waits at a peer without a list, which first has to call the store.
_LIST_WAIT = 0.5
# Time allowed for an answer, beyond the requested wait.
_REPLY_MARGIN_SECONDS = 0.5
# Number of changes that are kept for peers.
_MAX_CHANGES = 2000
_MAX_ENCODED = 4
# Ages are rounded to tenths of a second, so that concurrent requests share an encoded answer.
_AGE_DIGITS = 1


class WatchCache:
    """Cache of the objects of one kind and of their latest changes.

    Attributes
    ----------
    confirmed_at : float
        Steady clock at which the store last confirmed the cache; 0 if it never did.
    """

    def __init__(self):
        self.revision: int | None = None
        self.confirmed_at = 0.0
        self._objects: dict[str, StoredObject] = {}
        self._changes: deque[tuple[int, StoredObject]] = deque()
        self._complete_since = 0
        self._updated = Event()

    def replace(self, revision: int, objects: Sequence[StoredObject]) -> None:
        """Replace the objects by a complete list; changes before it are unknown."""
        self._objects = {stored.name: stored for stored in objects}
        self._changes.clear()
        self._complete_since = revision
        self._advance(revision)

    def apply(self, revision: int, objects: Sequence[StoredObject]) -> None:
        """Apply the changes up to a revision."""
        for stored in objects:
            if stored.deleted:
                self._objects.pop(stored.name, None)
            else:
                self._objects[stored.name] = stored
            self._changes.append((revision, stored))
        while len(self._changes) > _MAX_CHANGES:
            self._complete_since, _ = self._changes.popleft()
        self._advance(revision)

    def confirm(self, age: float) -> None:
        """Record that the store confirmed the cache some seconds ago."""
        self.confirmed_at = max(self.confirmed_at, steady() - age)

    def age(self) -> float:
        """Return the seconds since the store confirmed the cache, rounded to tenths."""
        return round(steady() - self.confirmed_at, _AGE_DIGITS)

    def snapshot(self, wait: float = 0.0) -> Snapshot | None:
        """Return all objects, waiting for a first list; None if there is none in time."""
        if self.revision is None:
            with eventlet.Timeout(wait, False):
                self._updated.wait()
        if self.revision is None:
            return None
        return Snapshot(self.revision, tuple(self._objects.values()), self.age())

    def changes_since(self, since: int, wait: float) -> WatchBatch | None:
        """Return the changes after a revision, waiting for some; None before the first list."""
        if self.revision is None:
            return None
        if self.revision <= since:
            with eventlet.Timeout(wait, False):
                self._updated.wait()
        age = self.age()
        if self.revision <= since:
            return WatchBatch(since, age=age)
        if since < self._complete_since:
            return WatchBatch(self.revision, gap=True, age=age)
        newer = tuple(stored for revision, stored in self._changes if revision > since)
        return WatchBatch(self.revision, newer, age=age)

    def _advance(self, revision: int) -> None:
        is_newer = self.revision is None or revision > self.revision
        self.revision = revision if self.revision is None else max(revision, self.revision)
        if is_newer:
            updated, self._updated = self._updated, Event()
            updated.send(None)


class WatchRelay:
    """Handles requests of peers for lists and changes.

    Parameters
    ----------
    kinds : sequence of str
        Kinds of objects that this instance follows.
    """

    def __init__(self, kinds: Sequence[str]):
        self.caches = {kind: WatchCache() for kind in kinds}
        self._encoded: dict[tuple, tuple[Headers, bytes]] = {}

    def handle(self, exchange: Exchange) -> bool:
        """Answer a request of a peer.

        Returns
        -------
        bool
            False if the path is not one of the relay's; the request is then unanswered.
        """
        url = urlsplit(exchange.head.target.decode("latin-1"))
        for path, reply in ((_LIST_PATH, self._handle_list), (_WATCH_PATH, self._handle_watch)):
            cache = self.caches.get(url.path.removeprefix(path))
            if url.path.startswith(path) and cache is not None:
                query = {name: values[0] for name, values in parse_qs(url.query).items()}
                reply(exchange, cache, query)
                return True
        return False

    def _handle_list(self, exchange: Exchange, cache: WatchCache, query: dict[str, str]) -> None:
        snapshot = cache.snapshot(_parse_wait(query))
        if snapshot is None:
            exchange.respond(_NOT_FOUND, [], b"")
            return
        self._respond(exchange, (id(cache), snapshot.revision, snapshot.age), snapshot)

    def _handle_watch(self, exchange: Exchange, cache: WatchCache, query: dict[str, str]) -> None:
        since = int(query.get("since", "0"))
        batch = cache.changes_since(since, _parse_wait(query))
        if batch is None:
            exchange.respond(_NOT_FOUND, [], b"")
            return
        self._respond(exchange, (id(cache), since, batch.revision, batch.age), batch)

    def _respond(self, exchange: Exchange, key: tuple, value: Snapshot | WatchBatch) -> None:
        """Send a value, encoding it once for all peers that request it."""
        if key not in self._encoded:
            while len(self._encoded) >= _MAX_ENCODED:
                self._encoded.pop(next(iter(self._encoded)))
            self._encoded[key] = encode_answer(value)
        headers, body = self._encoded[key]
        exchange.respond(_OK, headers, body)


def _parse_wait(query: dict[str, str]) -> float:
    return min(_MAX_WAIT, float(query.get("wait", "0")))


class PeerStore(ObjectStore):
    """Read access to the relay of a peer: lists and watches only.

    Parameters
    ----------
    address : HostPort
    connections : ConnectionPool
    on_transfer : callable, optional
        See `get_from_peer`.
    """

    def __init__(
        self,
        address: HostPort,
        connections: ConnectionPool,
        on_transfer: Callable[[str, HostPort, int], None] | None = None,
    ):
        self.address = address
        self.connections = connections
        self.on_transfer = on_transfer

    def list(self, kinds: Sequence[str]) -> Result[Snapshot, PlatformFailure]:
        """Read all objects of one kind."""
        (kind,) = kinds
        path = f"{_LIST_PATH}{kind}?wait={_LIST_WAIT:.3f}"
        return self._get(path, _LIST_WAIT, Snapshot)

    def watch(
        self, kinds: Sequence[str], since: int, wait: float
    ) -> Result[WatchBatch, PlatformFailure]:
        """Wait at most `wait` seconds for changes after a revision."""
        (kind,) = kinds
        path = f"{_WATCH_PATH}{kind}?since={since}&wait={wait:.3f}"
        return self._get(path, wait, WatchBatch)

    def _get(self, path: str, wait: float, answer_type: type) -> Result:
        seconds = wait + _REPLY_MARGIN_SECONDS
        answer = get_from_peer(
            self.address, path.encode(), seconds, self.connections, answer_type, self.on_transfer
        )
        if answer is None:
            return Failure(
                PlatformUnavailable("the peer did not answer or has no list of this kind")
            )
        return Success(answer)
