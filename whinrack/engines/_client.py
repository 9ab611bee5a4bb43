"""Client for targets, which are chat engines or plain services; based on urllib3."""

import math
import re
from collections.abc import Iterable, Iterator

import msgspec
import urllib3
from returns.result import Failure, Result, Success

from whinrack.base import Outcome
from whinrack.exceptions import AnswerCut, Refusal, TargetFailed, TargetUnavailable
from whinrack.http1 import ReplyBounds, bounded_connection_pool

__all__ = [
    "EngineLoad",
    "TargetClient",
    "Usage",
    "body_chunks",
    "read_body",
    "is_busy_response",
    "retry_after_seconds",
]

_CONNECT_TIMEOUT = 1.0
_CONTROL_TIMEOUT = 1.0
_MAX_POOLED_CONNECTIONS = 256
_BUSY_STATUSES = (429, 503)
_SECONDS_PATTERN = re.compile(r"[0-9]{1,12}(\.[0-9]{1,12})?")
_CHUNK_BYTES = 65_536
_MAX_BODY_BYTES = 67_108_864
# Callers bound the time of single requests.
_CONNECTION_POOL = bounded_connection_pool(ReplyBounds(_MAX_BODY_BYTES, math.inf))
_TIMEOUT_ERRORS = (urllib3.exceptions.ReadTimeoutError,)
_NOT_SENT_ERRORS = (
    urllib3.exceptions.NewConnectionError,
    urllib3.exceptions.ConnectTimeoutError,
)


class Usage(msgspec.Struct, frozen=True):
    """Token counts of a request, as reported by an engine."""

    prompt_tokens: int = 0
    completion_tokens: int = 0
    total_tokens: int = 0


class EngineLoad(msgspec.Struct, frozen=True):
    """Load of an engine, as reported by itself."""

    running: int = 0
    waiting: int = 0
    leaving: bool = False


class _CancelResponse(msgspec.Struct, frozen=True):
    usage: Usage


class TargetClient:
    """HTTP client that sends requests to targets.

    Every failure states whether the request may have run: `not_run` only if no byte of
    it was sent, or the target itself stated that it did not start the request.
    """

    def __init__(self):
        self._pool = urllib3.PoolManager(
            num_pools=_MAX_POOLED_CONNECTIONS,
            maxsize=_MAX_POOLED_CONNECTIONS,
            block=False,
            retries=False,
        )
        self._pool.pool_classes_by_scheme = {"http": _CONNECTION_POOL}

    def send(
        self,
        address: str,
        method: str,
        path: str,
        headers: Iterable[tuple[str, str]],
        body: bytes,
        timeout: float,
    ) -> Result[urllib3.BaseHTTPResponse, Refusal]:
        """Send a request.

        Returns
        -------
        Result
            The response with its body still unread, or the reason of the failure.
        """
        timeouts = urllib3.Timeout(connect=_CONNECT_TIMEOUT, read=timeout)
        try:
            response = self._pool.request(
                method,
                f"http://{address}{path}",
                headers=urllib3.HTTPHeaderDict(headers),
                body=body,
                timeout=timeouts,
                redirect=False,
                preload_content=False,
                decode_content=False,
            )
        except _NOT_SENT_ERRORS:
            return Failure(TargetUnavailable("connection to the target failed", retry_after=1.0))
        except _TIMEOUT_ERRORS:
            return Failure(TargetFailed("the target did not respond in time"))
        except urllib3.exceptions.HTTPError as error:
            return Failure(
                TargetFailed(f"the connection to the target broke: {type(error).__name__}")
            )
        return Success(response)

    def cancel(self, address: str, request_id: str) -> Usage | None:
        """Cancel a stream.

        Returns
        -------
        Usage or None
            Token counts of the stream; None if the engine did not report them.
        """
        try:
            response = self._pool.request(
                "POST",
                f"http://{address}/v1/streams/{request_id}/cancel",
                timeout=_CONTROL_TIMEOUT,
            )
            if response.status != 200:
                return None
            return msgspec.json.decode(response.data, type=_CancelResponse).usage
        except (urllib3.exceptions.HTTPError, msgspec.MsgspecError):
            return None

    def resume(
        self, address: str, request_id: str, skip_events: int, timeout: float
    ) -> urllib3.BaseHTTPResponse | None:
        """Resume a stream after its first `skip_events` events.

        Returns
        -------
        BaseHTTPResponse or None
            The response with its body still unread; None if the engine does not have the
            stream or can't be reached.
        """
        timeouts = urllib3.Timeout(connect=_CONNECT_TIMEOUT, read=timeout)
        try:
            response = self._pool.request(
                "GET",
                f"http://{address}/v1/streams/{request_id}?skip={skip_events}",
                timeout=timeouts,
                preload_content=False,
            )
        except urllib3.exceptions.HTTPError:
            return None
        if response.status != 200:
            response.close()
            return None
        return response

    def fetch_load(self, address: str) -> EngineLoad | None:
        """Fetch the load report of a target; return None if no valid one is received."""
        try:
            response = self._pool.request("GET", f"http://{address}/load", timeout=_CONTROL_TIMEOUT)
            if response.status != 200:
                return None
            return msgspec.json.decode(response.data, type=EngineLoad)
        except (urllib3.exceptions.HTTPError, msgspec.MsgspecError):
            return None


def is_busy_response(response: urllib3.BaseHTTPResponse) -> bool:
    """Return whether the target responded that it is busy and did not start the request."""
    return response.status in _BUSY_STATUSES


def retry_after_seconds(response: urllib3.BaseHTTPResponse) -> float:
    """Return for how long a busy target takes no requests from this instance.

    Returns
    -------
    float
        The seconds of `Retry-After`; 0 if it is absent or malformed.
    """
    text = response.headers.get("Retry-After", "").strip()
    return float(text) if _SECONDS_PATTERN.fullmatch(text) else 0.0


def read_body(response: urllib3.BaseHTTPResponse) -> Result[bytes, Refusal]:
    """Read the complete body; return an `AnswerCut` failure if it is truncated."""
    try:
        body = response.read()
    except urllib3.exceptions.HTTPError as error:
        response.close()
        return Failure(
            AnswerCut(f"response body cut: {type(error).__name__}", outcome=Outcome.UNKNOWN)
        )
    response.release_conn()
    return Success(body)


def body_chunks(response: urllib3.BaseHTTPResponse) -> Iterator[bytes]:
    """Yield the body in chunks as it is received.

    Raises
    ------
    AnswerCut
        If the body ends before it is complete.
    """
    try:
        yield from response.stream(_CHUNK_BYTES)
    except urllib3.exceptions.HTTPError as error:
        raise AnswerCut(f"response body cut: {type(error).__name__}") from error
