"""The body of a chat completion: validation, and conversion for the engine."""

import msgspec

from whinrack.exceptions import BadRequest
from whinrack.requests import ChatRequest, reject_unbounded_fields

__all__ = ["engine_body", "parse_chat"]

_CHAT = msgspec.json.Decoder(ChatRequest)
_FIELDS = msgspec.json.Decoder(dict[str, msgspec.Raw])


def parse_chat(body: bytes) -> ChatRequest:
    """Decode and validate a request body.

    Raises
    ------
    BadRequest
        If the body is invalid; `param` names the field.
    """
    try:
        chat = _CHAT.decode(body)
    except msgspec.ValidationError as error:
        message, _, where = str(error).partition(" - at `$")
        param = where.rstrip("`").lstrip(".").split(".")[0].split("[")[0] or None
        if param is None and "required field" in message:
            param = message.rpartition("field `")[2].rstrip("`")
        raise BadRequest(str(error), param=param) from error
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as error:
        raise BadRequest(f"the body is not JSON: {error}") from error
    if not chat.messages:
        raise BadRequest("messages: allowed is one or more, got none", param="messages")
    return chat


def engine_body(body: bytes, chat: ChatRequest, limit: int) -> bytes:
    """Return the caller's body with the output limit set and usage reports requested."""
    fields = _FIELDS.decode(body)
    reject_unbounded_fields(fields)
    fields.pop("max_completion_tokens", None)
    fields["max_tokens"] = msgspec.Raw(str(limit).encode())
    if chat.stream:
        fields["stream_options"] = msgspec.Raw(b'{"include_usage":true}')
    return msgspec.json.encode(fields)
