"""Adapter of the platform's object API over HTTP and JSON.

The protocol of the users' own platform is not known yet; only this module would have to change
for it. It implements the protocol of the stand-in platform in this repository:

- ``GET|PUT|DELETE /v1/objects/<kind>/<name>``, writes with ``If-Match: <version>``
  (0: must not exist); a conflict gives 409 with the current object;
- ``GET /v1/objects?kinds=a,b`` for a snapshot;
- ``GET /v1/watch?kinds=a,b&since=<revision>&wait=<seconds>``;
- ``GET /v1/instances``.
"""

import time
from collections.abc import Callable, Sequence
from urllib.parse import quote

import msgspec
import urllib3
from returns.result import Failure, Result, Success

from whinrack.clock import steady
from whinrack.exceptions import (
    Conflict,
    NotFound,
    PlatformFailure,
    PlatformUnavailable,
    RateExceeded,
    WriteUnknown,
)
from whinrack.store._connections import StoreConnections
from whinrack.store._token_bucket import TokenBucket
from whinrack.store._types import InstanceRecord, Snapshot, StoredObject, WatchBatch
from whinrack.store.base import ObjectStore, lost_reply_failure

__all__ = ["HttpObjectStore"]

_CONNECT_TIMEOUT_SECONDS = 1.0
_WATCH_MARGIN_SECONDS = 5.0
_MIN_BACKOFF_SECONDS = 0.05
_MAX_BACKOFF_SECONDS = 1.0
_MAX_IDLE_CONNECTIONS = 16
_JSON = "application/json"
_SNAPSHOT = msgspec.json.Decoder(Snapshot)
_OBJECT = msgspec.json.Decoder(StoredObject)
_BATCH = msgspec.json.Decoder(WatchBatch)
_INSTANCES = msgspec.json.Decoder(tuple[InstanceRecord, ...])


def _ignore(_operation: str, _result: str) -> None:
    pass


class HttpObjectStore(ObjectStore):
    """HTTP client of the platform's object API with a limited call rate.

    Parameters
    ----------
    address : str
        ``host:port`` of the object API.
    timeout : float
        Seconds to wait for a reply.
    rate : float
        Maximum number of calls per second of this process.
    max_wait : float
        Maximum number of seconds that a call is delayed to keep the rate; otherwise it fails.
    on_call : callable, optional
        Called with the operation and the result of each call, for metrics.
    clock, sleep : callable, optional
        Replaced in tests.
    """

    def __init__(
        self,
        address: str,
        timeout: float = 2.0,
        rate: float = 50.0,
        max_wait: float = 1.0,
        on_call: Callable[[str, str], None] = _ignore,
        clock: Callable[[], float] = steady,
        sleep: Callable[[float], None] = time.sleep,
    ):
        self.address = address
        self.timeout = timeout
        self.rate = rate
        self.max_wait = max_wait
        self.on_call = on_call
        self.clock = clock
        self.sleep = sleep
        self._bucket = TokenBucket(rate, burst=rate)
        self._retry_at = float("-inf")
        self._backoff_seconds = 0.0
        self._connections = StoreConnections(address, _MAX_IDLE_CONNECTIONS)

    def get(self, kind: str, name: str) -> Result[StoredObject, PlatformFailure]:
        """Read one object."""
        reply = self._call("get", "GET", _object_path(kind, name))
        return reply.map(lambda body: _OBJECT.decode(body))

    def list(self, kinds: Sequence[str]) -> Result[Snapshot, PlatformFailure]:
        """Read all objects of some kinds at one revision."""
        reply = self._call("list", "GET", f"/v1/objects?kinds={','.join(kinds)}")
        return reply.map(lambda body: _SNAPSHOT.decode(body))

    def put(
        self, kind: str, name: str, value: bytes, version: int
    ) -> Result[StoredObject, PlatformFailure]:
        """Write an object if it is at `version`; 0 means that it must not exist."""
        reply = self._call("put", "PUT", _object_path(kind, name), body=value, version=version)
        return reply.map(lambda body: _OBJECT.decode(body))

    def delete(self, kind: str, name: str, version: int) -> Result[None, PlatformFailure]:
        """Delete an object if it is at `version`."""
        reply = self._call("delete", "DELETE", _object_path(kind, name), version=version)
        return reply.map(lambda _body: None)

    def watch(
        self, kinds: Sequence[str], since: int, wait: float
    ) -> Result[WatchBatch, PlatformFailure]:
        """Wait at most `wait` seconds for changes after the revision `since`."""
        path = f"/v1/watch?kinds={','.join(kinds)}&since={since}&wait={wait}"
        reply = self._call("watch", "GET", path, timeout=wait + _WATCH_MARGIN_SECONDS)
        return reply.map(lambda body: _BATCH.decode(body))

    def instances(self) -> Result[tuple[InstanceRecord, ...], PlatformFailure]:
        """Read the instance list."""
        reply = self._call("instances", "GET", "/v1/instances")
        return reply.map(lambda body: _INSTANCES.decode(body))

    def _call(
        self,
        operation: str,
        method: str,
        path: str,
        body: bytes | None = None,
        version: int | None = None,
        timeout: float | None = None,
    ) -> Result[bytes, PlatformFailure]:
        if self.clock() < self._retry_at:
            return Failure(PlatformUnavailable(f"{operation}: no call until the backoff ends"))
        result = self._send_paced(operation, method, path, body, version, timeout)
        self._back_off(result)
        code = "ok" if isinstance(result, Success) else result.failure().code
        self.on_call(operation, code)
        return result

    def _back_off(self, result: Result) -> None:
        """Update the backoff after a call; until the backoff ends, calls fail at once."""
        is_unavailable = isinstance(result, Failure) and isinstance(
            result.failure(), PlatformUnavailable | WriteUnknown
        )
        if not is_unavailable:
            self._backoff_seconds = 0.0
            return
        self._retry_at = self.clock() + self._backoff_seconds
        self._backoff_seconds = min(
            _MAX_BACKOFF_SECONDS, max(_MIN_BACKOFF_SECONDS, 2 * self._backoff_seconds)
        )

    def _send_paced(self, operation, method, path, body, version, timeout):
        delay = self._bucket.reserve(self.clock())
        if delay > self.max_wait:
            return Failure(RateExceeded(f"{operation}: more than {self.rate:g} calls per second"))
        if delay > 0.0:
            self.sleep(delay)
        headers = {"Content-Type": _JSON}
        if version is not None:
            headers["If-Match"] = str(version)
        limit = urllib3.Timeout(connect=_CONNECT_TIMEOUT_SECONDS, read=timeout or self.timeout)
        reply = self._connections.call(method, path, limit, body, headers)
        return reply.bind(lambda answer: _parse_reply(operation, method, answer))


def _object_path(kind: str, name: str) -> str:
    """Return the path of an object; any character may occur in its name."""
    return f"/v1/objects/{kind}/{quote(name, safe='')}"


def _parse_reply(operation: str, method: str, reply) -> Result[bytes, PlatformFailure]:
    match reply.status:
        case 200:
            return Success(reply.data)
        case 404:
            return Failure(NotFound(operation))
        case 409:
            current = _OBJECT.decode(reply.data) if reply.data else None
            return Failure(Conflict(operation, current))
        case 429 | 503:
            return Failure(PlatformUnavailable(f"{operation}: status {reply.status}"))
        case _:
            return Failure(lost_reply_failure(method, f"{operation}: status {reply.status}"))
