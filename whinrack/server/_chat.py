"""``POST /v1/chat/completions``: validation, routing, budget cover, relaying and billing."""

from collections.abc import Iterator

import eventlet
import msgspec
from returns.result import Failure, Result, Success

from whinrack.base import Outcome
from whinrack.clock import steady
from whinrack.engines import (
    ChatStream,
    Usage,
    body_chunks,
    complete_events,
    is_busy_response,
    read_body,
    retry_after_seconds,
)
from whinrack.exceptions import (
    AnswerCut,
    ForeignAnswer,
    Refusal,
    TargetFailed,
    TargetUnavailable,
    UnknownModel,
)
from whinrack.objects import RequestClass
from whinrack.observability import Event, log_event
from whinrack.requests import ChatRequest, RequestIdentity, output_token_limit, request_token_bound
from whinrack.routing import RequestFacts
from whinrack.server._auth import Caller
from whinrack.server._call import Call, deadline_of, request_class_of
from whinrack.server._call_runner import CallRunner
from whinrack.server._chat_request import engine_body, parse_chat
from whinrack.server._context import ServerContext
from whinrack.server._http import HttpAnswer, HttpRequest, answer_headers, error_body
from whinrack.server._settlement import Settlement

__all__ = ["ChatEndpoint"]

_PATH = "/v1/chat/completions"
_SSE_CONTENT_TYPE = "text/event-stream"
_PREFIX_BYTES = 512
_MAX_RESUMES = 3
_BODY_END_TIMEOUT = 0.5


class _Completion(msgspec.Struct):
    """The fields of a complete JSON answer that whinrack reads."""

    id: str = ""
    usage: Usage | None = None


_COMPLETION_DECODER = msgspec.json.Decoder(_Completion)


class ChatCall(Call):
    """State of one chat request while it is handled.

    Attributes
    ----------
    max_output_tokens : int
        Maximum number of generated tokens of one choice.
    token_bound : int
        Upper bound on all tokens of the request, prompt included.
    settlement : Settlement or None
        Cover and bill, set once the request runs here.
    stream : ChatStream or None
        Checks the stream that is being relayed.
    """

    def __init__(self, chat: ChatRequest, max_output_tokens: int, token_bound: int, **options):
        super().__init__(**options)
        self.chat = chat
        self.max_output_tokens = max_output_tokens
        self.token_bound = token_bound
        self.settlement: Settlement | None = None
        self.stream: ChatStream | None = None
        self.resume_count = 0

    @property
    def answer_id(self) -> str:
        """The id that the engine's answer must carry."""
        return f"chatcmpl-{self.identity.request_id}"

    @property
    def max_content_events(self) -> int:
        """Number of content events above which the engine has exceeded its limit."""
        return self.chat.n * (self.max_output_tokens + 1)


class ChatEndpoint(CallRunner):
    """Endpoint that runs chat completions.

    Parameters
    ----------
    context : ServerContext
        Components of the daemon.
    """

    kind = "chat"

    def __init__(self, context: ServerContext):
        super().__init__(context)

    def handle(self, request: HttpRequest, caller: Caller, identity: RequestIdentity) -> HttpAnswer:
        """Answer one request."""
        body = request.read_body()
        chat = parse_chat(body)
        serving = self.context.pool_directory.pools_serving(chat.model)
        if not serving:
            raise UnknownModel(f"no pool serves {chat.model[:80]!r}", param="model")
        facts = RequestFacts(
            workspace=caller.workspace_name,
            request_class=request_class_of(request, caller),
            model=chat.model,
            stream=chat.stream,
            prompt_bytes=len(body),
            max_tokens=chat.max_tokens or 0,
            repeatable=request.is_marked_repeatable(),
        )
        decision = self.policies.decide(caller.workspace.policy, facts, serving)
        pool = serving[decision.pools[0]].spec
        limit = output_token_limit(chat, pool)
        bound = max(
            request_token_bound(chat, len(body), serving[name].spec) for name in decision.pools
        )
        call = ChatCall(
            chat,
            limit,
            bound,
            identity=identity,
            caller=caller,
            decision=decision,
            body=engine_body(body, chat, limit),
            digest_parts=(self.kind.encode(), body),
            deadline=deadline_of(request, pool),
            is_repeatable=facts.repeatable
            and decision.repeatable
            and all(serving[name].spec.repeatable for name in decision.pools),
            affinity_key=f"{chat.model}/{body[:_PREFIX_BYTES].hex()}",
            request=request,
        )
        return self.run(call)

    def start(self, call: ChatCall) -> HttpAnswer:
        """Reserve cover for a request that runs here, send it and relay the answer."""
        call.settlement = Settlement(
            self.context, call.caller, call.identity, call.token_bound, call.provisional_against
        )
        call.settlement.open()
        try:
            return self._run_attempts(call)
        except BaseException:
            call.settlement.release()
            raise

    def _run_attempts(self, call: ChatCall) -> HttpAnswer:
        """Try targets until one has sent the first byte of an answer, or give up."""
        if call.provisional_against:
            resumed = self._resume_at_candidates(call)
            if resumed is not None:
                return resumed
        while True:
            slot = self.acquire_slot(call)
            reply = self.send(call, slot, _PATH, self._headers(call))
            answer = self._process_reply(call, reply)
            if not isinstance(answer, Failure):
                return answer.unwrap()
            refusal = answer.failure()
            slot.release()
            if refusal.outcome is not Outcome.NOT_RUN:
                self._write_off(call)
            if not self.prepare_retry(call, refusal):
                raise refusal
            call.settlement.reopen()

    def _headers(self, call: ChatCall) -> list[tuple[str, str]]:
        return [
            ("Content-Type", "application/json"),
            ("X-Request-Id", call.identity.request_id),
            ("X-Priority", _PRIORITY[call.decision.request_class]),
        ]

    def _process_reply(self, call: ChatCall, reply: Result) -> Result[HttpAnswer, Refusal]:
        """Turn an engine's reply into an answer to the caller, or into a refusal."""
        if isinstance(reply, Failure):
            return reply
        response = reply.unwrap()
        if is_busy_response(response):
            response.drain_conn()
            response.release_conn()
            call.slot.target.record_overload()
            call.slot.target.start_backoff(retry_after_seconds(response), steady())
            return Failure(TargetUnavailable("the target is busy", retry_after=1.0))
        if response.status >= 500:
            response.close()
            return Failure(TargetFailed(f"the target answered {response.status}"))
        if response.status != 200:
            return read_body(response).map(lambda body: self._pass_on_refusal(call, body, response))
        if call.chat.stream:
            return self._open_stream(call, response)
        return self._return_completion(call, response)

    def _pass_on_refusal(self, call: ChatCall, body: bytes, response) -> HttpAnswer:
        """Pass on an engine's answer that the request is at fault."""
        call.slot.release()
        call.settlement.release()
        content_type = response.headers.get("Content-Type", "application/json")
        headers = [("Content-Type", content_type), ("Content-Length", str(len(body)))]
        self.record_end(call, Outcome.NOT_RUN)
        fields = answer_headers(call.identity.request_id, call.attempts, Outcome.NOT_RUN)
        return HttpAnswer(response.status, headers + fields, [body])

    # --- complete answers --------------------------------------------------------

    def _return_completion(self, call: ChatCall, response) -> Result[HttpAnswer, Refusal]:
        body = read_body(response)
        if isinstance(body, Failure):
            return body
        data = body.unwrap()
        try:
            answer = _COMPLETION_DECODER.decode(data)
        except msgspec.MsgspecError:
            return Failure(AnswerCut("the answer is not JSON"))
        if answer.id != call.answer_id:
            failure = ForeignAnswer("the answer has another request's id")
            self._record_dropped_answer(call, failure)
            return Failure(failure)
        self._record_success(call)
        call.settlement.settle(answer.usage, events=call.max_output_tokens * call.chat.n)
        headers = [("Content-Type", "application/json"), ("Content-Length", str(len(data)))]
        headers += answer_headers(call.identity.request_id, call.attempts, Outcome.RAN)
        call.answer.start(200, headers)
        call.answer.append(data)
        call.settlement.wait_committed()
        self.finish(call, is_complete=True)
        return Success(HttpAnswer(200, headers, [data]))

    # --- streams -----------------------------------------------------------------

    def _open_stream(self, call: ChatCall, response) -> Result[HttpAnswer, Refusal]:
        """Read the first events, so that a failure before them can still be retried.

        Returns
        -------
        Result
            The streamed answer, or the failure.
        """
        call.stream = ChatStream(call.answer_id, self._caller_wants_usage(call))
        events = complete_events(body_chunks(response))
        try:
            first = self._next_events(call, events)
        except TargetFailed as failure:
            response.close()
            self._record_dropped_answer(call, failure)
            return Failure(failure)
        self.context.metrics.first_byte_seconds.labels(self.kind).observe(
            steady() - call.request.arrived_at
        )
        headers = [("Content-Type", _SSE_CONTENT_TYPE), ("Cache-Control", "no-cache")]
        headers += answer_headers(call.identity.request_id, call.attempts, Outcome.RAN)
        call.answer.start(200, headers)
        body = self._relay(call, response, events, first)
        return Success(HttpAnswer(200, headers, self.caller_stream(call, body)))

    def _caller_wants_usage(self, call: ChatCall) -> bool:
        options = call.chat.stream_options
        return options is not None and options.include_usage

    def _next_events(self, call: ChatCall, events: Iterator[bytes]) -> bytes:
        """Read and check the next events; sets `stream.done` with the last ones.

        Raises
        ------
        AnswerCut
            If the stream ends early or exceeds its limit.
        """
        data = next(events, None)
        if data is None:
            raise AnswerCut("the stream ended without its end marker")
        checked = call.stream.check(data)
        if call.stream.content_event_count > call.max_content_events:
            raise AnswerCut("the engine exceeded the output limit")
        return checked

    def _relay(self, call: ChatCall, response, events: Iterator[bytes], data: bytes):
        """Yield an answer to its caller; settle, bill and end the call in every case."""
        append = call.answer.append
        try:
            while not call.stream.is_complete:
                append(data)
                yield data
                try:
                    data = self._next_events(call, events)
                except AnswerCut as cut:
                    response, events = self._resume(call, response, cut)
                    data = self._next_events(call, events)
            self._check_event_count(call)
            self._record_success(call)
            call.settlement.settle(call.stream.usage, events=call.stream.content_event_count)
            call.settlement.wait_committed()
            append(data)
            # From here on the answer is complete and billed, even if the caller disconnects.
            self.finish(call, is_complete=True)
            yield data
            _release_connection(response, events)
        except TargetFailed as failure:
            yield self._end_cut_answer(call, response, failure)
        finally:
            # Also reached when the caller disconnects.
            if not call.has_ended:
                self._end_abandoned_answer(call, response)

    def _check_event_count(self, call: ChatCall) -> None:
        """Reject an answer with more content events than the engine reports tokens.

        Raises
        ------
        AnswerCut
        """
        usage = call.stream.usage
        if usage is not None:
            max_events = usage.completion_tokens + call.chat.n
            if call.stream.content_event_count > max_events:
                raise AnswerCut("the answer has more events than the engine reports tokens")

    def _end_cut_answer(self, call: ChatCall, response, failure: TargetFailed) -> bytes:
        """End a cut answer with an error event, so that it isn't taken for complete."""
        response.close()
        self._record_dropped_answer(call, failure)
        self.context.pool_directory.record_failure(call.slot.target)
        self._cancel_and_settle(call)
        event = b"data: " + error_body(failure) + b"\n\n"
        call.answer.append(event)
        self.finish(call, is_complete=False)
        return event

    def _record_dropped_answer(self, call: ChatCall, failure: TargetFailed) -> None:
        foreign = isinstance(failure, ForeignAnswer)
        self.context.metrics.answers_dropped.labels("foreign" if foreign else "cut").inc()
        event = Event.ANSWER_FOREIGN if foreign else Event.ANSWER_CUT
        log_event(event, target=call.slot.target.name, request=call.identity.request_id)

    def _end_abandoned_answer(self, call: ChatCall, response) -> None:
        """End an answer whose caller has disconnected."""
        response.close()
        self._cancel_and_settle(call)
        self.finish(call, is_complete=False)

    def _cancel_and_settle(self, call: ChatCall) -> None:
        call.settlement.settle(self._cancel(call), events=call.stream.content_event_count)

    def _write_off(self, call: ChatCall) -> None:
        """Write off the cover of an attempt that may have run but gave no answer."""
        call.settlement.write_off(self._cancel(call))

    def _cancel(self, call: ChatCall) -> Usage | None:
        """Cancel an attempt at its engine.

        Returns
        -------
        Usage or None
            The tokens used, None if the engine does not report them.
        """
        address = call.slot.target.spec.address
        return self.context.target_client.cancel(address, call.identity.request_id)

    def _record_success(self, call: ChatCall) -> None:
        call.slot.target.record_success(steady())

    # --- resuming ----------------------------------------------------------------

    def _resume(self, call: ChatCall, response, cut: AnswerCut):
        """Resume a cut stream at its engine, after the last complete event.

        Raises
        ------
        AnswerCut
            The given failure, if the stream can't be resumed.
        """
        response.close()
        if (
            call.resume_count >= _MAX_RESUMES
            or call.stream.content_event_count > call.max_content_events
        ):
            raise cut
        call.resume_count += 1
        resumed = self.context.target_client.resume(
            call.slot.target.spec.address,
            call.identity.request_id,
            call.stream.event_count,
            call.time_left(),
        )
        if resumed is None:
            raise cut
        self.context.metrics.retries.labels("resumed").inc()
        return resumed, complete_events(body_chunks(resumed))

    def _resume_at_candidates(self, call: ChatCall) -> HttpAnswer | None:
        """Resume the stream of a lost instance at an engine that still holds it.

        Returns
        -------
        HttpAnswer or None
            None if no engine holds the stream.
        """
        if not call.chat.stream:
            return None
        for target in self.candidates(call):
            response = self.context.target_client.resume(
                target.spec.address, call.identity.request_id, 0, call.time_left()
            )
            if response is None:
                continue
            call.attempts += 1
            self.take_slot(call, target)
            answer = self._open_stream(call, response)
            if not isinstance(answer, Failure):
                self.context.metrics.retries.labels("taken_up").inc()
                return answer.unwrap()
            call.slot.release()
        return None


def _release_connection(response, events: Iterator[bytes]) -> None:
    """Read the end of the body so that the connection can be reused; otherwise close it."""
    with eventlet.Timeout(_BODY_END_TIMEOUT, False):
        try:
            if next(events, None) is None:
                response.release_conn()
                return
        except AnswerCut:
            pass
    response.close()


_PRIORITY = {
    RequestClass.ALERT: "0",
    RequestClass.INTERACTIVE: "1",
    RequestClass.DEFERRABLE: "2",
}
