"""Talks to targets: chat engines and plain services, over urllib3."""

import re
from collections.abc import Iterable, Iterator

import msgspec
import urllib3
from returns.result import Failure, Result, Success

from whinrack.base import Outcome
from whinrack.exceptions import AnswerCut, Refusal, TargetFailed, TargetUnavailable

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
_TIMEOUT_ERRORS = (urllib3.exceptions.ReadTimeoutError,)
_NOT_SENT_ERRORS = (
    urllib3.exceptions.NewConnectionError,
    urllib3.exceptions.ConnectTimeoutError,
)


class Usage(msgspec.Struct, frozen=True):
    """An engine's count of tokens."""

    prompt_tokens: int = 0
    completion_tokens: int = 0
    total_tokens: int = 0


class EngineLoad(msgspec.Struct, frozen=True):
    """An engine's report of its load."""

    running: int = 0
    waiting: int = 0
    leaving: bool = False


class _CancelResponse(msgspec.Struct, frozen=True):
    usage: Usage


class TargetClient:
    """Sends requests to targets.

    Every failure says whether the request may have run: `not_run` only if no byte of
    it left, or the target itself said that it did not start.
    """

    def __init__(self):
        self._pool = urllib3.PoolManager(
            num_pools=_MAX_POOLED_CONNECTIONS,
            maxsize=_MAX_POOLED_CONNECTIONS,
            block=False,
            retries=False,
        )

    def send(
        self,
        address: str,
        method: str,
        path: str,
        headers: Iterable[tuple[str, str]],
        body: bytes,
        timeout: float,
    ) -> Result[urllib3.BaseHTTPResponse, Refusal]:
        """Send one request and return the answer with its body still unread."""
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
            return Failure(TargetUnavailable("no connection to the target", retry_after=1.0))
        except _TIMEOUT_ERRORS:
            return Failure(TargetFailed("the target didn't answer in time"))
        except urllib3.exceptions.HTTPError as error:
            return Failure(TargetFailed(f"the connection broke: {type(error).__name__}"))
        return Success(response)

    def cancel(self, address: str, request_id: str) -> Usage | None:
        """Cancel a stream; returns what it used, None if the engine can't say."""
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
        """Take up a stream again after some events; None if the engine hasn't it."""
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
        """Read a target's load report, None if it has none."""
        try:
            response = self._pool.request("GET", f"http://{address}/load", timeout=_CONTROL_TIMEOUT)
            if response.status != 200:
                return None
            return msgspec.json.decode(response.data, type=EngineLoad)
        except (urllib3.exceptions.HTTPError, msgspec.MsgspecError):
            return None


def is_busy_response(response: urllib3.BaseHTTPResponse) -> bool:
    """Whether the target's own word is that it is busy and did not start."""
    return response.status in _BUSY_STATUSES


def retry_after_seconds(response: urllib3.BaseHTTPResponse) -> float:
    """Return the seconds for which a busy target takes nothing from here, 0 for no word."""
    text = response.headers.get("Retry-After", "").strip()
    return float(text) if _SECONDS_PATTERN.fullmatch(text) else 0.0


def read_body(response: urllib3.BaseHTTPResponse) -> Result[bytes, Refusal]:
    """Read a whole body, or say that it was cut."""
    try:
        body = response.read()
    except urllib3.exceptions.HTTPError as error:
        response.close()
        return Failure(AnswerCut(type(error).__name__, outcome=Outcome.UNKNOWN))
    response.release_conn()
    return Success(body)


def body_chunks(response: urllib3.BaseHTTPResponse) -> Iterator[bytes]:
    """Yield the body as it comes.

    Raises
    ------
    AnswerCut
        If the body ends before it is whole.
    """
    try:
        yield from response.stream(_CHUNK_BYTES)
    except urllib3.exceptions.HTTPError as error:
        raise AnswerCut(type(error).__name__) from error
