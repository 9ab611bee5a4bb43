"""Tests of event streams: arbitrary chunks, unrelated or truncated streams, and usage."""

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
def test_result_does_not_depend_on_how_the_bytes_are_split(cuts):
    edges = [0, *sorted(set(cuts)), len(STREAM)]
    chunks = [STREAM[a:b] for a, b in zip(edges, edges[1:], strict=False)]
    stream = ChatStream("chatcmpl-1", include_usage=False)
    checked = b"".join(stream.check(events) for events in complete_events(chunks))
    assert checked == EVENT + NULL_USAGE + EVENT + DONE
    assert stream.usage.total_tokens == 5
    assert (stream.content_event_count, stream.event_count, stream.is_complete) == (3, 4, True)


def test_usage_event_is_kept_if_requested():
    stream = ChatStream("chatcmpl-1", include_usage=True)
    assert stream.check(STREAM) == STREAM


def test_stream_that_ends_inside_an_event_raises_answer_cut():
    with pytest.raises(AnswerCut):
        list(complete_events([EVENT, EVENT[:20]]))


def test_oversized_event_raises_answer_cut():
    with pytest.raises(AnswerCut):
        list(complete_events([b"x" * 600_000] * 3))


@pytest.mark.parametrize("data", [EVENT.replace(b"-1", b"-2"), EVENT + EVENT.replace(b"-1", b"-2")])
def test_event_with_another_id_raises_foreign_answer(data):
    with pytest.raises(ForeignAnswer):
        ChatStream("chatcmpl-1", include_usage=True).check(data)


def test_events_after_the_end_raise_foreign_answer():
    stream = ChatStream("chatcmpl-1", include_usage=True)
    stream.check(STREAM)
    with pytest.raises(ForeignAnswer):
        stream.check(EVENT)
