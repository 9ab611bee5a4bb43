"""Marks of forwarded requests and of their answers."""

import pytest

from whinrack.dispatch._forwarding_mark import (
    ForwardingMark,
    PeerAnswer,
    answer_mark,
    parse_mark,
    read_peer_answer,
    refusal_mark,
    without_marks,
)
from whinrack.exceptions import BadRequest
from whinrack.http1 import RequestHead, ResponseHead


def request_head(*headers):
    return RequestHead(b"GET", b"/", list(headers))


def test_mark_is_read_as_written():
    mark = ForwardingMark(seconds_left=1.25, attempts=1, configuration=7)
    assert parse_mark(request_head(*mark.headers())) == mark


def test_request_without_a_mark():
    assert parse_mark(request_head((b"host", b"h"))) is None


@pytest.mark.parametrize("value", [b"x", b"1,2", b"1,2,-3", b"1,2,3,4", b"9" * 400 + b",0,0"])
def test_malformed_mark_is_a_bad_request(value):
    with pytest.raises(BadRequest):
        parse_mark(request_head((b"whinrack-forwarded", value)))


def test_answer_of_a_target_and_refusal_of_a_peer():
    answer = ResponseHead(200, answer_mark(7))
    assert read_peer_answer(answer) == PeerAnswer(7)
    refusal = ResponseHead(503, [*answer_mark(7), *refusal_mark("target_unavailable", 2)])
    assert read_peer_answer(refusal) == PeerAnswer(7, "target_unavailable", 2)


def test_answer_without_a_mark():
    assert read_peer_answer(ResponseHead(404, [])) is None


def test_marks_framing_and_connection_headers_are_removed():
    mark = ForwardingMark(1.0, 0, 1)
    headers = [(b"host", b"h"), (b"content-length", b"3"), (b"connection", b"x"), (b"x", b"1")]
    assert without_marks([*headers, *mark.headers(), *answer_mark(1)]) == [(b"host", b"h")]
