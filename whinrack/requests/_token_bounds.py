"""Bounds on the tokens of a request that can be proved before it is sent."""

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
# Extensions of engines that repeat the prompt, fetch content or generate unseen choices.
_UNBOUNDED_FIELDS = frozenset(
    {"best_of", "use_beam_search", "chat_template", "chat_template_kwargs", "documents"}
)


class StreamOptions(msgspec.Struct):
    """The part of `stream_options` that whinrack reads."""

    include_usage: bool = False


class ChatMessage(msgspec.Struct):
    """The part of a message that whinrack reads."""

    role: str
    content: msgspec.Raw = msgspec.Raw(b"null")


class ChatRequest(msgspec.Struct):
    """The part of a chat completion request that whinrack reads.

    Other fields are passed to the engine as they came.
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
    """Refuse fields with which an engine may use more tokens than the bound.

    Raises
    ------
    CoverUnbounded
        Naming the field.
    """
    for name in names:
        if name in _UNBOUNDED_FIELDS:
            raise CoverUnbounded(f"{name}: its tokens can't be bounded", param=name)


def output_token_limit(request: ChatRequest, pool: TargetPool) -> int:
    """Return the most tokens that one choice may have.

    Raises
    ------
    BadRequest
        For limits that are out of range.
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
    """Return a bound on all tokens that the request can use.

    Notes
    -----
    A byte-level tokeniser makes at most one token of each byte, so the length of the
    request in bytes bounds its prompt. What an engine's template adds is bounded by
    the pool's `prompt_overhead_tokens` a message or tool. Content that the engine
    fetches from elsewhere has no such bound and is refused.
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
