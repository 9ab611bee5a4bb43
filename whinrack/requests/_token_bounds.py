"""Provable upper bounds on the tokens of a request, computed before it is sent."""

from collections.abc import Iterable

import msgspec

from whinrack.exceptions import BadRequest, CoverUnbounded
from whinrack.objects import TargetPool

__all__ = [
    "ChatMessage",
    "ChatRequest",
    "StreamOptions",
    "reject_unbounded_fields",
    "request_token_bound",
    "output_token_limit",
]

_MAX_CHOICES = 8
# Engine extensions that repeat the prompt, fetch content or generate choices that aren't returned.
_UNBOUNDED_FIELDS = frozenset(
    {"best_of", "use_beam_search", "chat_template", "chat_template_kwargs", "documents"}
)


class StreamOptions(msgspec.Struct):
    """Fields of `stream_options` that whinrack reads."""

    include_usage: bool = False


class ChatMessage(msgspec.Struct):
    """Fields of a message that whinrack reads."""

    role: str
    content: msgspec.Raw = msgspec.Raw(b"null")


class ChatRequest(msgspec.Struct):
    """Fields of a chat completion request that whinrack reads.

    All other fields are passed to the engine unchanged.
    """

    model: str
    messages: list[ChatMessage]
    max_tokens: int | None = None
    max_completion_tokens: int | None = None
    n: int = 1
    tools: list[msgspec.Raw] = []
    functions: list[msgspec.Raw] = []
    stream: bool = False
    stream_options: StreamOptions | None = None


def reject_unbounded_fields(names: Iterable[str]) -> None:
    """Reject fields that allow an engine to use more tokens than the bound.

    Raises
    ------
    CoverUnbounded
        If there is such a field; names it.
    """
    for name in names:
        if name in _UNBOUNDED_FIELDS:
            raise CoverUnbounded(f"{name}: its tokens can't be bounded", param=name)


def output_token_limit(request: ChatRequest, pool: TargetPool) -> int:
    """Return the maximum number of tokens of one choice.

    Raises
    ------
    BadRequest
        If the limit in the request is out of range.
    """
    field, limit = "max_tokens", request.max_tokens
    if request.max_completion_tokens is not None:
        field, limit = "max_completion_tokens", request.max_completion_tokens
    if limit is None:
        return pool.max_output_tokens
    if not 1 <= limit <= pool.max_output_tokens:
        raise BadRequest(
            f"{field}: allowed is 1 to {pool.max_output_tokens}, got {limit}", param=field
        )
    return limit


def request_token_bound(request: ChatRequest, body_length: int, pool: TargetPool) -> int:
    """Return an upper bound on all tokens that the request can use.

    Raises
    ------
    BadRequest
        If the number of choices or the output limit is out of range.
    CoverUnbounded
        If a message has content other than text.


    Notes
    -----
    A byte-level tokenizer produces at most one token per byte, so the length of the body in bytes
    bounds the prompt. What the engine's chat template adds is bounded by the pool's
    `prompt_overhead_tokens` for each message or tool. Content that the engine fetches from
    elsewhere has no such bound and is rejected.
    """
    if not 1 <= request.n <= _MAX_CHOICES:
        raise BadRequest(f"n: allowed is 1 to {_MAX_CHOICES}, got {request.n}", param="n")
    for message in request.messages:
        content = bytes(message.content).lstrip()
        if not content.startswith((b'"', b"null")):
            raise CoverUnbounded("messages.content: allowed is text", param="messages")
    parts = len(request.messages) + len(request.tools) + len(request.functions) + 1
    overhead = pool.prompt_overhead_tokens * parts
    return body_length + overhead + request.n * output_token_limit(request, pool)
