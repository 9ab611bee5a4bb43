"""Heads of requests and responses, and the selection of end-to-end headers."""

import msgspec

__all__ = [
    "Headers",
    "RequestHead",
    "ResponseHead",
    "end_to_end_headers",
    "header_value",
]

# Names are in lower case, as h11 returns them; order and repeated headers are kept.
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
    """Request line and headers of a request.

    Attributes
    ----------
    method, target : bytes
        As received on the request line.
    """

    method: bytes
    target: bytes
    headers: Headers


class ResponseHead(msgspec.Struct, frozen=True):
    """Status and headers of a response."""

    status: int
    headers: Headers


def header_value(headers: Headers, name: bytes) -> bytes:
    """Return the value of the first header with a lower-case name, empty if there is none."""
    for key, value in headers:
        if key == name:
            return value
    return b""


def end_to_end_headers(headers: Headers) -> Headers:
    """Return the headers without hop-by-hop ones and those named by `connection`."""
    connection_options = set()
    for key, value in headers:
        if key == b"connection":
            connection_options.update(token.strip().lower() for token in value.split(b","))
    return [
        (key, value)
        for key, value in headers
        if key not in _HOP_BY_HOP and key not in connection_options
    ]
