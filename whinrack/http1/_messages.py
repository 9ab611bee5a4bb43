"""Heads of requests and responses, and which headers travel on."""

import msgspec

__all__ = [
    "Headers",
    "RequestHead",
    "ResponseHead",
    "end_to_end_headers",
    "header_value",
]

# Names in lower case, as h11 gives them; order and repeats are kept.
Headers = list[tuple[bytes, bytes]]

_HOP_BY_HOP = frozenset(
    (
        b"connection",
        b"keep-alive",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
    )
)


class RequestHead(msgspec.Struct, frozen=True):
    """The first part of a request.

    Attributes
    ----------
    method, target : bytes
        As they stood on the request line.
    """

    method: bytes
    target: bytes
    headers: Headers


class ResponseHead(msgspec.Struct, frozen=True):
    """The first part of a response."""

    status: int
    headers: Headers


def header_value(headers: Headers, name: bytes) -> bytes:
    """Return the first header of a lower-case name, empty if there is none."""
    for key, value in headers:
        if key == name:
            return value
    return b""


def end_to_end_headers(headers: Headers) -> Headers:
    """Return the headers that are not about one connection only."""
    connection_options = set()
    for key, value in headers:
        if key == b"connection":
            connection_options.update(token.strip().lower() for token in value.split(b","))
    return [
        (key, value)
        for key, value in headers
        if key not in _HOP_BY_HOP and key not in connection_options
    ]
