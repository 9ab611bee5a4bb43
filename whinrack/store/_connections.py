"""Pool of connections to the store that is replaced when one of them loses a reply."""

import urllib3
from returns.result import Failure, Result, Success

from whinrack.exceptions import PlatformFailure, PlatformUnavailable
from whinrack.http1 import ReplyBounds, bounded_connection_pool
from whinrack.keepalive import KEEPALIVE_OPTIONS
from whinrack.store.base import lost_reply_failure

__all__ = ["StoreConnections"]

_MAX_REPLY_BYTES = 33_554_432
# Longer than any watch waits.
_MAX_REPLY_SECONDS = 30.0
_CONNECTION_POOL = bounded_connection_pool(ReplyBounds(_MAX_REPLY_BYTES, _MAX_REPLY_SECONDS))


class StoreConnections:
    """Makes single HTTP calls without retries over kept connections.

    A missing reply does not show whether the store is down or only the connection is dead. Other
    open connections may be dead as well, so the next call opens a new one.

    Parameters
    ----------
    address : str
        ``host:port``.
    max_idle : int
        Maximum number of idle connections that are kept open.
    """

    def __init__(self, address: str, max_idle: int):
        self.address = address
        self.max_idle = max_idle
        self._pool = self._new_pool()

    def call(
        self,
        method: str,
        path: str,
        timeout: urllib3.Timeout,
        body: bytes | None = None,
        headers: dict[str, str] | None = None,
    ) -> Result[urllib3.BaseHTTPResponse, PlatformFailure]:
        """Return the reply, whatever its status, or a failure if there is none."""
        pool = self._pool
        try:
            reply = pool.urlopen(
                method, path, body=body, headers=headers or {}, timeout=timeout, retries=False
            )
        except (urllib3.exceptions.ConnectTimeoutError, urllib3.exceptions.NewConnectionError):
            return Failure(PlatformUnavailable("no connection to the store"))
        except urllib3.exceptions.HTTPError as error:
            self._discard(pool)
            return Failure(lost_reply_failure(method, type(error).__name__))
        return Success(reply)

    def _discard(self, pool: urllib3.HTTPConnectionPool) -> None:
        """Replace a pool and close its idle connections; calls in progress are not interrupted."""
        if pool is self._pool:
            self._pool = self._new_pool()
            pool.close()

    def _new_pool(self) -> urllib3.HTTPConnectionPool:
        host, _, port = self.address.rpartition(":")
        return _CONNECTION_POOL(
            host,
            int(port),
            maxsize=self.max_idle,
            block=False,
            retries=False,
            socket_options=[*urllib3.connection.HTTPConnection.default_socket_options]
            + KEEPALIVE_OPTIONS,
        )
