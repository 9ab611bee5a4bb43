"""HTTP requests and answers of callers, independent of the WSGI server."""

from collections.abc import Iterable
from http import HTTPStatus

import eventlet
import msgspec

from whinrack.base import Outcome
from whinrack.clock import steady
from whinrack.exceptions import BadRequest, BodyTooLarge, Refusal, RequestTimeout

__all__ = [
    "CLASS_HEADER",
    "CODE_HEADER",
    "DEADLINE_HEADER",
    "KEY_HEADER",
    "REPEATABLE_HEADER",
    "TICKET_HEADER",
    "HttpAnswer",
    "HttpRequest",
    "answer_headers",
    "error_answer",
    "error_body",
    "json_answer",
]

KEY_HEADER = "Idempotency-Key"
TICKET_HEADER = "Whinrack-Ticket"
REPEATABLE_HEADER = "Whinrack-Repeatable"
DEADLINE_HEADER = "Whinrack-Deadline"
CLASS_HEADER = "Whinrack-Class"
CODE_HEADER = "Whinrack-Code"
_MAX_DEADLINE_SECONDS = 86_400.0
_CHUNK_BYTES = 65_536


class ErrorBody(msgspec.Struct, frozen=True):
    """An error in the JSON form of OpenAI-compatible APIs."""

    message: str
    type: str
    code: str
    param: str | None = None


class ErrorEnvelope(msgspec.Struct, frozen=True):
    """Wrapper of an error, as OpenAI-compatible clients expect."""

    error: ErrorBody


class HttpAnswer(msgspec.Struct):
    """An answer to a caller.

    Attributes
    ----------
    body : iterable of bytes
        Closed by the server when the caller disconnects.
    """

    status: int
    headers: list[tuple[str, str]]
    body: Iterable[bytes]

    @property
    def status_line(self) -> str:
        """The status code with its reason phrase."""
        try:
            return f"{self.status} {HTTPStatus(self.status).phrase}"
        except ValueError:
            return f"{self.status} Status"


class HttpRequest:
    """A caller's request, read from a WSGI environment.

    Parameters
    ----------
    environ : dict
        The WSGI environment.
    body_limit : int
        Maximum size of the body in bytes.
    body_timeout : float
        Seconds that reading the body may take.
    """

    def __init__(self, environ: dict, body_limit: int, body_timeout: float):
        self.environ = environ
        self.body_limit = body_limit
        self.body_timeout = body_timeout
        self.arrived_at = steady()

    @property
    def method(self) -> str:
        """The request method."""
        return self.environ["REQUEST_METHOD"]

    @property
    def path(self) -> str:
        """The path, decoded."""
        return self.environ["PATH_INFO"]

    def header(self, name: str) -> str:
        """Return a header's value, "" if the request does not have it."""
        key = name.upper().replace("-", "_")
        if key == "CONTENT_TYPE":
            return self.environ.get(key, "")
        return self.environ.get(f"HTTP_{key}", "")

    def read_body(self) -> bytes:
        """Read the whole body.

        Raises
        ------
        BodyTooLarge, RequestTimeout, BadRequest
        """
        length = self._content_length()
        if length > self.body_limit:
            raise BodyTooLarge(f"the body: allowed are {self.body_limit} bytes, got {length}")
        timeout = eventlet.Timeout(self.body_timeout)
        try:
            return self._read(length)
        except eventlet.Timeout as raised:
            if raised is not timeout:
                raise
            raise RequestTimeout(
                f"the body did not arrive within {self.body_timeout:g} s"
            ) from raised
        except (ValueError, OSError) as error:
            raise BadRequest("the body can't be read") from error
        finally:
            timeout.cancel()

    def read_deadline(self) -> float | None:
        """Return the seconds that the caller allows for the request, None for no limit."""
        text = self.header(DEADLINE_HEADER)
        if not text:
            return None
        try:
            seconds = float(text)
        except ValueError:
            seconds = -1.0
        if not 0.0 < seconds <= _MAX_DEADLINE_SECONDS:
            raise BadRequest(
                f"{DEADLINE_HEADER}: allowed is above 0 to {_MAX_DEADLINE_SECONDS:g} s",
                param=DEADLINE_HEADER,
            )
        return seconds

    def is_marked_repeatable(self, default: bool = True) -> bool:
        """Return whether the header allows a repetition; `default` if there is no header."""
        text = self.header(REPEATABLE_HEADER).lower()
        if not text:
            return default
        if text not in ("yes", "no"):
            raise BadRequest(f"{REPEATABLE_HEADER}: allowed is yes or no", param=REPEATABLE_HEADER)
        return text == "yes"

    def _content_length(self) -> int:
        text = self.environ.get("CONTENT_LENGTH") or "0"
        if not text.isdigit():
            raise BadRequest("Content-Length: allowed is a whole number")
        return int(text)

    def _read(self, length: int) -> bytes:
        source = self.environ["wsgi.input"]
        chunked = self.environ.get("HTTP_TRANSFER_ENCODING", "").lower() == "chunked"
        if not chunked:
            body = source.read(length) if length else b""
            if len(body) < length:
                raise BadRequest("the body is shorter than its Content-Length")
            return body
        parts, size = [], 0
        while part := source.read(_CHUNK_BYTES):
            size += len(part)
            if size > self.body_limit:
                raise BodyTooLarge(f"the body: allowed are {self.body_limit} bytes")
            parts.append(part)
        return b"".join(parts)


def answer_headers(request_id: str, attempts: int, outcome: Outcome) -> list[tuple[str, str]]:
    """Return the headers that are common to all answers."""
    return [
        ("X-Request-Id", request_id),
        ("Whinrack-Attempts", str(attempts)),
        ("Whinrack-Outcome", str(outcome)),
    ]


def json_answer(value: object, status: int = 200, headers=()) -> HttpAnswer:
    """Return an answer with a JSON body."""
    body = msgspec.json.encode(value)
    fields = [("Content-Type", "application/json"), ("Content-Length", str(len(body)))]
    return HttpAnswer(status, [*fields, *headers], [body])


def error_body(refusal: Refusal) -> bytes:
    """Encode a refusal as a JSON error body."""
    body = ErrorBody(refusal.message, refusal.error_type, refusal.code, refusal.param)
    return msgspec.json.encode(ErrorEnvelope(body))


def error_answer(refusal: Refusal, request_id: str) -> HttpAnswer:
    """Return the answer for a refusal."""
    body = error_body(refusal)
    headers = [
        ("Content-Type", "application/json"),
        ("Content-Length", str(len(body))),
        *answer_headers(request_id, refusal.attempts, refusal.outcome),
        (CODE_HEADER, refusal.code),
    ]
    if refusal.retry_after is not None:
        headers.append(("Retry-After", str(max(1, round(refusal.retry_after)))))
    if refusal.status == 402:
        # OpenAI-compatible clients honour this header and don't retry by themselves.
        headers.append(("X-Should-Retry", "false"))
    return HttpAnswer(refusal.status, headers, [body])
