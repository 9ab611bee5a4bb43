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
_ORDER_TIMEOUT = 1.0
_CONNECTIONS = 256
_BUSY = (429, 503)
_SECONDS = re.compile(r"[0-9]{1,12}(\.[0-9]{1,12})?")
_CHUNK = 65_536
_TIMEOUTS = (urllib3.exceptions.ReadTimeoutError,)
_NEVER_SENT = (
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


class _CancelReply(msgspec.Struct, frozen=True):
    usage: Usage


class TargetClient:
    """Sends requests to targets.

    Every failure says whether the request may have run: `not_run` only if no byte of
    it left, or the target itself said that it did not start.
    """

    def __init__(self):
        self._pool = urllib3.PoolManager(
            num_pools=_CONNECTIONS, maxsize=_CONNECTIONS, block=False, retries=False
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
        limit = urllib3.Timeout(connect=_CONNECT_TIMEOUT, read=timeout)
        try:
            reply = self._pool.request(
                method,
                f"http://{address}{path}",
                headers=urllib3.HTTPHeaderDict(headers),
                body=body,
                timeout=limit,
                redirect=False,
                preload_content=False,
                decode_content=False,
            )
        except _NEVER_SENT:
            return Failure(TargetUnavailable("no connection to the target", retry_after=1.0))
        except _TIMEOUTS:
            return Failure(TargetFailed("the target didn't answer in time"))
        except urllib3.exceptions.HTTPError as error:
            return Failure(TargetFailed(f"the connection broke: {type(error).__name__}"))
        return Success(reply)

    def cancel(self, address: str, request_id: str) -> Usage | None:
        """Cancel a stream; returns what it used, None if the engine can't say."""
        try:
            reply = self._pool.request(
                "POST",
                f"http://{address}/v1/streams/{request_id}/cancel",
                timeout=_ORDER_TIMEOUT,
            )
            if reply.status != 200:
                return None
            return msgspec.json.decode(reply.data, type=_CancelReply).usage
        except (urllib3.exceptions.HTTPError, msgspec.MsgspecError):
            return None

    def resume(
        self, address: str, request_id: str, skip: int, timeout: float
    ) -> urllib3.BaseHTTPResponse | None:
        """Take up a stream again after some events; None if the engine hasn't it."""
        limit = urllib3.Timeout(connect=_CONNECT_TIMEOUT, read=timeout)
        try:
            reply = self._pool.request(
                "GET",
                f"http://{address}/v1/streams/{request_id}?skip={skip}",
                timeout=limit,
                preload_content=False,
            )
        except urllib3.exceptions.HTTPError:
            return None
        if reply.status != 200:
            reply.close()
            return None
        return reply

    def fetch_load(self, address: str) -> EngineLoad | None:
        """Read a target's load report, None if it has none."""
        try:
            reply = self._pool.request("GET", f"http://{address}/load", timeout=_ORDER_TIMEOUT)
            if reply.status != 200:
                return None
            return msgspec.json.decode(reply.data, type=EngineLoad)
        except (urllib3.exceptions.HTTPError, msgspec.MsgspecError):
            return None


def is_busy_response(reply: urllib3.BaseHTTPResponse) -> bool:
    """Whether the target's own word is that it is busy and did not start."""
    return reply.status in _BUSY


def retry_after_seconds(reply: urllib3.BaseHTTPResponse) -> float:
    """Return the seconds for which a busy target takes nothing from here, 0 for no word."""
    text = reply.headers.get("Retry-After", "").strip()
    return float(text) if _SECONDS.fullmatch(text) else 0.0


def read_body(reply: urllib3.BaseHTTPResponse) -> Result[bytes, Refusal]:
    """Read a whole body, or say that it was cut."""
    try:
        body = reply.read()
    except urllib3.exceptions.HTTPError as error:
        reply.close()
        return Failure(AnswerCut(type(error).__name__, outcome=Outcome.UNKNOWN))
    reply.release_conn()
    return Success(body)


def body_chunks(reply: urllib3.BaseHTTPResponse) -> Iterator[bytes]:
    """Yield the body as it comes.

    Raises
    ------
    AnswerCut
        If the body ends before it is whole.
    """
    try:
        yield from reply.stream(_CHUNK)
    except urllib3.exceptions.HTTPError as error:
        raise AnswerCut(type(error).__name__) from error
