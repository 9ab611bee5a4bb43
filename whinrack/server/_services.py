"""``ANY /services/<pool>/<path>``: plain HTTP services, passed through in both directions."""

from collections.abc import Iterator

from returns.result import Failure, Result, Success

from whinrack.base import Outcome
from whinrack.clock import steady
from whinrack.engines import body_chunks, is_busy_response, retry_after_seconds
from whinrack.exceptions import AnswerCut, Refusal, TargetFailed, TargetUnavailable, UnknownPool
from whinrack.objects import Protocol
from whinrack.requests import RequestIdentity
from whinrack.routing import RequestFacts
from whinrack.server._auth import Caller
from whinrack.server._call import Call, deadline_of, request_class_of
from whinrack.server._call_runner import CallRunner
from whinrack.server._http import HttpAnswer, HttpRequest, answer_headers

__all__ = ["SERVICES_PREFIX", "ServiceEndpoint"]

SERVICES_PREFIX = "/services/"
_SAFE_METHODS = ("GET", "HEAD", "OPTIONS")
# RFC 9110, section 9.2.2: a proxy may repeat requests with these methods.
_IDEMPOTENT_METHODS = (*_SAFE_METHODS, "PUT", "DELETE", "TRACE")
_HOP_BY_HOP = {
    "connection",
    "keep-alive",
    "proxy-authenticate",
    "proxy-authorization",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
}
_NOT_FORWARDED = _HOP_BY_HOP | {"authorization", "host", "content-length", "expect"}
_READ_AHEAD_BYTES = 65_536


class ServiceCall(Call):
    """State of one service request while it is handled.

    Attributes
    ----------
    target_path : str
        Path and query at the target, encoded as the caller sent them.
    """

    def __init__(self, target_path: str, **options):
        super().__init__(**options)
        self.target_path = target_path


class ServiceEndpoint(CallRunner):
    """Endpoint that runs calls of plain services, which cost no tokens."""

    kind = "service"

    def handle(self, request: HttpRequest, caller: Caller, identity: RequestIdentity) -> HttpAnswer:
        """Answer one request."""
        name, _, path = request.path.removeprefix(SERVICES_PREFIX).partition("/")
        pool = self.context.pool_directory.pools().get(name)
        if pool is None or pool.spec.protocol is not Protocol.SERVICE:
            raise UnknownPool(f"no service pool is named {name[:80]!r}")
        body = request.read_body()
        marked = request.is_marked_repeatable(default=request.method in _IDEMPOTENT_METHODS)
        facts = RequestFacts(
            workspace=caller.workspace_name,
            request_class=request_class_of(request, caller),
            prompt_bytes=len(body),
            repeatable=marked,
        )
        safe = request.method in _SAFE_METHODS
        target = _target_path(request, path)
        decision = self.policies.decide(caller.workspace.policy, facts, {name: pool})
        call = ServiceCall(
            target,
            identity=identity,
            caller=caller,
            decision=decision,
            body=body,
            digest_parts=(request.method.encode(), target.encode(), body),
            deadline=deadline_of(request, pool.spec),
            is_repeatable=marked and decision.repeatable and (pool.spec.repeatable or safe),
            affinity_key=caller.workspace_name,
            request=request,
        )
        return self.run(call)

    def start(self, call: Call) -> HttpAnswer:
        """Send a request that runs here."""
        while True:
            slot = self.acquire_slot(call)
            reply = self.send(call, slot, call.target_path, _forwarded_headers(call))
            answer = self._process_reply(call, reply)
            if not isinstance(answer, Failure):
                return answer.unwrap()
            refusal = answer.failure()
            slot.release()
            if not self.prepare_retry(call, refusal):
                raise refusal

    def _process_reply(self, call: Call, reply: Result) -> Result[HttpAnswer, Refusal]:
        """Turn a target's reply into an answer to the caller, or into a refusal."""
        if isinstance(reply, Failure):
            return reply
        response = reply.unwrap()
        if is_busy_response(response) and response.headers.get("Whinrack-Started") == "no":
            response.close()
            call.slot.target.record_overload()
            call.slot.target.start_backoff(retry_after_seconds(response), steady())
            return Failure(TargetUnavailable("the target is busy", retry_after=1.0))
        chunks = body_chunks(response)
        try:
            data, is_whole = _read_ahead(chunks)
        except AnswerCut as cut:
            response.close()
            return Failure(cut)
        call.slot.target.record_success(steady())
        self.context.metrics.first_byte_seconds.labels(self.kind).observe(
            steady() - call.request.arrived_at
        )
        headers = _returned_headers(response)
        headers += answer_headers(call.identity.request_id, call.attempts, Outcome.RAN)
        if is_whole and call.request.method != "HEAD":
            headers.append(("Content-Length", str(len(data))))
        call.answer.start(response.status, headers)
        if is_whole:
            response.release_conn()
            call.answer.append(data)
            self.finish(call, is_complete=True)
            return Success(HttpAnswer(response.status, headers, [data]))
        body = self._relay(call, response, data, chunks)
        return Success(HttpAnswer(response.status, headers, self.caller_stream(call, body)))

    def _relay(self, call: Call, response, data: bytes, chunks: Iterator[bytes]):
        """Yield a long body; a cut one fails, so that the caller sees that it is incomplete."""
        is_complete = False
        try:
            call.answer.append(data)
            yield data
            for chunk in chunks:
                call.answer.append(chunk)
                yield chunk
            is_complete = True
        except TargetFailed:
            self.context.metrics.answers_dropped.labels("cut").inc()
            raise
        finally:
            if is_complete:
                response.release_conn()
            else:
                response.close()
            self.finish(call, is_complete)


def _read_ahead(chunks: Iterator[bytes]) -> tuple[bytes, bool]:
    """Read the start of a body, up to a limit.

    Returns
    -------
    tuple of bytes and bool
        What was read, and whether that is the whole body.
    """
    parts, size = [], 0
    for chunk in chunks:
        parts.append(chunk)
        size += len(chunk)
        if size >= _READ_AHEAD_BYTES:
            return b"".join(parts), False
    return b"".join(parts), True


def _target_path(request: HttpRequest, path: str) -> str:
    raw = request.environ.get("RAW_PATH_INFO", "").removeprefix(SERVICES_PREFIX)
    text = raw.partition("/")[2] if raw else path
    query = request.environ.get("QUERY_STRING", "")
    return f"/{text}?{query}" if query else f"/{text}"


def _forwarded_headers(call: Call) -> list[tuple[str, str]]:
    """Return the caller's headers, without hop-by-hop headers and its API key."""
    raw = call.request.environ.get("headers_raw", ())
    named = {value.lower() for name, value in raw if name.lower() == "connection"}
    dropped = _NOT_FORWARDED | {part.strip() for value in named for part in value.split(",")}
    kept = [(name, value) for name, value in raw if name.lower() not in dropped]
    names = {name.lower() for name, _ in kept}
    if "x-request-id" not in names:
        kept.append(("X-Request-Id", call.identity.request_id))
    return kept


def _returned_headers(response) -> list[tuple[str, str]]:
    dropped = _HOP_BY_HOP | {"content-length", "x-request-id"}
    return [
        (name, value) for name, value in response.headers.items() if name.lower() not in dropped
    ]
