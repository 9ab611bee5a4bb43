"""Tests that chunked bodies are decoded as h11 decodes them, however they arrive."""

import h11
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from whinrack.exceptions import BadRequest, BodyTooLarge, HeadersTooLarge, Refusal
from whinrack.http1._chunked_body import ChunkedBody

_MAX_BYTES = 1000
_MAX_HEAD_BYTES = 100
_REQUEST = b"POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"


def decode(pieces):
    """Return the body and what follows its last chunk, None if it does not end."""
    body, rest = ChunkedBody(_MAX_BYTES, _MAX_HEAD_BYTES), b""
    for piece in pieces:
        rest = body.decode(rest + piece)
    return (body.data.take(), rest) if body.has_ended else None


def decode_with_h11(encoded):
    """Return the body, None if it does not end."""
    protocol = h11.Connection(h11.SERVER)
    protocol.receive_data(_REQUEST + encoded)
    body = b""
    protocol.next_event()
    while isinstance(event := protocol.next_event(), h11.Data):
        body += event.data
    return body if isinstance(event, h11.EndOfMessage) else None


def split(data, sizes):
    for size in sizes:
        yield data[:size]
        data = data[size:]
    yield data


@pytest.mark.parametrize(
    ("encoded", "body", "rest"),
    [
        (b"0\r\n\r\nGET", b"", b"\r\nGET"),
        (b"3\r\nabc\r\n0\r\n\r\n", b"abc", b"\r\n"),
        (b"0003;name=value\r\nabc\r\na\r\n0123456789\r\n0\r\nt: v\r\n\r\n", b"abc0123456789", None),
        (b"A \r\n0123456789\r\n00;x\r\n\r\n", b"0123456789", b"\r\n"),
    ],
)
def test_body_is_decoded_in_pieces_of_any_size(encoded, body, rest):
    for size in range(1, len(encoded) + 1):
        pieces = [encoded[start : start + size] for start in range(0, len(encoded), size)]
        decoded = decode(pieces)
        assert decoded[0] == body
        assert rest is None or decoded[1] == rest


@pytest.mark.parametrize(
    ("encoded", "refusal"),
    [
        (b"x\r\n", BadRequest),
        (b"-1\r\n", BadRequest),
        (b"0x1\r\na\r\n", BadRequest),
        (b"\r\n", BadRequest),
        (b"3\nabc\r\n", BadRequest),
        (b"3\r\nabcd\r\n", BadRequest),
        (b"3\r\nabc\n0\r\n", BadRequest),
        (b"1" * 21 + b"\r\n", BadRequest),
        (b"3;" + b"a" * _MAX_HEAD_BYTES, HeadersTooLarge),
        (b"3e9\r\n", BodyTooLarge),
        (b"f" * 20 + b"\r\n", BodyTooLarge),
        (b"1\r\na\r\n" * (_MAX_BYTES + 1), BodyTooLarge),
    ],
)
def test_malformed_or_large_body_is_refused(encoded, refusal):
    with pytest.raises(refusal):
        decode([encoded])


def test_body_of_the_maximum_size_is_accepted():
    assert decode([b"1\r\na\r\n" * _MAX_BYTES, b"0\r\n\r\n"]) == (b"a" * _MAX_BYTES, b"\r\n")


_TEXT = st.binary(max_size=20) | st.sampled_from([b"0\r\n\r\n", b"\r\n", b"1\r\n", b";", b" "])
_CHUNK = st.binary(min_size=1, max_size=30).map(lambda data: b"%x\r\n%b\r\n" % (len(data), data))


@settings(derandomize=True, deadline=None)
@given(
    st.lists(_CHUNK | _TEXT, max_size=8).map(b"".join),
    st.lists(st.integers(0, 20), max_size=8),
)
def test_no_body_is_accepted_that_h11_rejects(encoded, sizes):
    encoded += b"0\r\n\r\n"
    try:
        decoded = decode(split(encoded, sizes))
    except Refusal:
        return
    if decoded is not None and decoded[1].startswith(b"\r\n"):
        assert decode_with_h11(encoded) == decoded[0]
