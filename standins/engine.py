"""Stand-in for a model engine: OpenAI-like chat, load reports, cancel and resume.

A prompt counts one token per whitespace-separated word. The response has `max_tokens` words,
which are determined by the prompt alone. ``GET /starts`` lists the started generations with the
tokens that were actually generated. Faults are set by ``PUT /faults``: ``token_delay``,
``first_delay`` (seconds), ``cut_after`` (tokens until the connection is closed, -1: never),
``foreign_id`` (respond with the id of another request), ``busy`` (respond with 503), ``rest``
(Retry-After of that response), ``leaving`` (in load reports), ``overrun`` (tokens beyond
`max_tokens`), ``duplicate`` (send each event twice), ``silent_usage`` (no usage at the end),
``stop_at`` (tokens after which the generation ends, -1: never).
"""

import argparse
import json
import sys
import time
from urllib.parse import parse_qs

import eventlet

from standins._wsgi import Reply, listen, read_body, respond, serve

eventlet.monkey_patch()


class EngineStream:
    """One generation, which is kept after the connection that started it is closed."""

    def __init__(self, stream_id, prompt, limit, headers):
        self.stream_id = stream_id
        self.prompt_tokens = len(prompt.split())
        self.words = prompt.split() or ["nothing"]
        self.limit = limit
        self.headers = headers
        self.generated = 0
        self.cancelled = False
        self.done = False

    def word_at(self, index):
        """Return the output word at the given index."""
        return f"{self.words[index % len(self.words)]}-{index} "

    def usage(self):
        """Return the token usage so far."""
        return {
            "prompt_tokens": self.prompt_tokens,
            "completion_tokens": self.generated,
            "total_tokens": self.prompt_tokens + self.generated,
        }


STREAMS: dict[str, EngineStream] = {}
STARTS: list[EngineStream] = []
RUNNING: set[str] = set()
FAULTS = {
    "token_delay": 0.0,
    "first_delay": 0.0,
    "cut_after": -1,
    "foreign_id": False,
    "busy": False,
    "rest": "",
    "leaving": False,
    "overrun": 0,
    "duplicate": False,
    "silent_usage": False,
    "stop_at": -1,
}


def application(environ, start_response):
    """Handle one request (WSGI application)."""
    path = environ["PATH_INFO"]
    try:
        if path == "/v1/chat/completions":
            return _chat(environ, start_response)
        if path == "/load":
            value = {"running": len(RUNNING), "waiting": 0, "at": time.time()}
            value["leaving"] = FAULTS["leaving"]
            return respond(start_response, 200, value)
        if path == "/faults":
            FAULTS.update(json.loads(read_body(environ)))
            return respond(start_response, 200, FAULTS)
        if path == "/starts":
            return respond(start_response, 200, [_describe_stream(stream) for stream in STARTS])
        if path.startswith("/v1/streams/"):
            return _handle_stream_request(path.split("/")[3:], environ, start_response)
        raise Reply(404)
    except Reply as reply:
        return respond(start_response, reply.status, reply.value, reply.headers)


def _describe_stream(stream):
    return {
        "id": stream.stream_id,
        "tokens": stream.prompt_tokens + stream.generated,
        "generated": stream.generated,
        "done": stream.done,
        "cancelled": stream.cancelled,
        "headers": stream.headers,
    }


def _handle_stream_request(parts, environ, start_response):
    stream = STREAMS.get(parts[0])
    if stream is None:
        raise Reply(404)
    if parts[1:] == ["cancel"]:
        stream.cancelled = True
        return respond(start_response, 200, {"usage": stream.usage()})
    if stream.cancelled:
        raise Reply(404)
    query = parse_qs(environ.get("QUERY_STRING", ""))
    start_response("200 OK", [("Content-Type", "text/event-stream")])
    return _stream_events(
        stream, {"stream_options": {"include_usage": True}}, int(query["skip"][0])
    )


def _chat(environ, start_response):
    request = json.loads(read_body(environ))
    if FAULTS["busy"]:
        fields = [("Retry-After", FAULTS["rest"])] if FAULTS["rest"] else []
        raise Reply(503, {"error": {"message": "busy", "code": "not_started"}}, fields)
    stream = _start_stream(environ, request)
    if request.get("stream"):
        start_response("200 OK", [("Content-Type", "text/event-stream")])
        return _stream_events(stream, request, 0)
    text = "".join(_generate(stream))
    if FAULTS["cut_after"] >= 0:
        start_response("200 OK", [("Content-Length", "5000")])
        return _truncated_body()
    value = {
        "id": _response_id(stream),
        "object": "chat.completion",
        "created": 0,
        "model": request.get("model", ""),
        "choices": [
            {
                "index": 0,
                "message": {"role": "assistant", "content": text},
                "finish_reason": "length",
            }
        ],
        "usage": stream.usage(),
    }
    return respond(start_response, 200, value)


def _truncated_body():
    yield b'{"id": "cut'
    raise ConnectionResetError("cut by fault")


def _start_stream(environ, request):
    stream_id = environ.get("HTTP_X_REQUEST_ID", "none")
    prompt = " ".join(str(message.get("content", "")) for message in request["messages"])
    headers = {key: value for key, value in environ.items() if key.startswith("HTTP_X_")}
    stream = EngineStream(stream_id, prompt, int(request["max_tokens"]), headers)
    STREAMS[stream_id] = stream
    STARTS.append(stream)
    return stream


def _response_id(stream):
    return "chatcmpl-other" if FAULTS["foreign_id"] else f"chatcmpl-{stream.stream_id}"


def _generate(stream, start=0):
    """Yield the words from index `start` on; words generated earlier are yielded without delay."""
    RUNNING.add(stream.stream_id)
    limit = stream.limit + FAULTS["overrun"]
    if FAULTS["stop_at"] >= 0:
        limit = min(limit, FAULTS["stop_at"])
    index = start
    try:
        if not stream.generated:
            eventlet.sleep(FAULTS["first_delay"])
        while index < limit and not stream.cancelled:
            if index >= stream.generated:
                stream.generated = index + 1
                eventlet.sleep(FAULTS["token_delay"])
            yield stream.word_at(index)
            index += 1
        stream.done = True
    finally:
        RUNNING.discard(stream.stream_id)


def _stream_events(stream, request, start):
    """Yield the events from index `start` on.

    If the client disconnects, the generation stops until the stream is resumed.
    """
    include_usage = (request.get("stream_options") or {}).get("include_usage")
    for count, word in enumerate(_generate(stream, start)):
        if count == FAULTS["cut_after"]:
            # Closes the connection before the final chunk, so the body stays incomplete.
            raise ConnectionResetError("cut by fault")
        event = _encode_event(
            stream, [{"index": 0, "delta": {"content": word}, "finish_reason": None}]
        )
        yield event
        if FAULTS["duplicate"]:
            yield event
    if stream.cancelled:
        return
    yield _encode_event(stream, [{"index": 0, "delta": {}, "finish_reason": "length"}])
    if include_usage and not FAULTS["silent_usage"]:
        yield _encode_event(stream, [], stream.usage())
    yield b"data: [DONE]\n\n"


def _encode_event(stream, choices, usage=None):
    value = {
        "id": _response_id(stream),
        "object": "chat.completion.chunk",
        "created": 0,
        "model": "m",
        "choices": choices,
    }
    if usage:
        value["usage"] = usage
    return b"data: " + json.dumps(value).encode() + b"\n\n"


if __name__ == "__main__":
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--port", type=int, default=0)
    parser.add_argument("--token-delay", type=float, default=0.0)
    options = parser.parse_args(sys.argv[1:])
    FAULTS["token_delay"] = options.token_delay
    serve(application, listen(options.port))
