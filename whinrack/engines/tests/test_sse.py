"""Event streams: split anywhere, foreign, cut, with and without usage."""

import hypothesis.strategies as st
import pytest
from hypothesis import given, settings

from whinrack.engines import ChatStream, complete_events
from whinrack.exceptions import AnswerCut, ForeignAnswer

EVENT = b'data: {"id": "chatcmpl-1", "choices": [{"delta": {"content": "a \\"usage\\": {"}}]}\n\n'
USAGE = (
    b'data: {"id": "chatcmpl-1", "choices": [], "usage": {"prompt_tokens": 2,'
    b' "completion_tokens": 3, "total_tokens": 5}}\n\n'
)
NULL_USAGE = (
    b'data: {"id": "chatcmpl-1", "choices": [{"delta": {"content": "b"}}], "usage": null}\n\n'
)
DONE = b"data: [DONE]\n\n"
STREAM = EVENT + NULL_USAGE + EVENT + USAGE + DONE


@given(st.lists(st.integers(1, len(STREAM) - 1), max_size=12))
@settings(max_examples=300, deadline=None, derandomize=True)
def test_events_are_the_same_however_the_bytes_are_split(cuts):
    edges = [0, *sorted(set(cuts)), len(STREAM)]
    chunks = [STREAM[a:b] for a, b in zip(edges, edges[1:], strict=False)]
    stream = ChatStream("chatcmpl-1", include_usage=False)
    out = b"".join(stream.check(events) for events in complete_events(chunks))
    assert out == EVENT + NULL_USAGE + EVENT + DONE
    assert stream.usage.total_tokens == 5
    assert (stream.content_event_count, stream.event_count, stream.is_complete) == (3, 4, True)


def test_usage_is_kept_where_the_caller_asked_for_it():
    stream = ChatStream("chatcmpl-1", include_usage=True)
    assert stream.check(STREAM) == STREAM


def test_a_stream_that_ends_inside_an_event_is_cut():
    with pytest.raises(AnswerCut):
        list(complete_events([EVENT, EVENT[:20]]))


def test_an_endless_event_is_cut():
    with pytest.raises(AnswerCut):
        list(complete_events([b"x" * 600_000] * 3))


@pytest.mark.parametrize("data", [EVENT.replace(b"-1", b"-2"), EVENT + EVENT.replace(b"-1", b"-2")])
def test_an_event_with_another_id_is_foreign(data):
    with pytest.raises(ForeignAnswer):
        ChatStream("chatcmpl-1", include_usage=True).check(data)


def test_events_after_the_end_are_foreign():
    stream = ChatStream("chatcmpl-1", include_usage=True)
    stream.check(STREAM)
    with pytest.raises(ForeignAnswer):
        stream.check(EVENT)
