"""Reader of an engine's server-sent events that checks complete events without decoding most.

A chunk that consists of complete events is forwarded unchanged. Only events that may hold
the usage are decoded; in the others only events and occurrences of the answer's id are counted.
"""

from collections.abc import Iterable, Iterator

import msgspec

from whinrack.engines._client import Usage
from whinrack.exceptions import AnswerCut, ForeignAnswer

__all__ = ["ChatStream", "complete_events"]

_EVENT_END = b"\n\n"
_DATA_FIELD = b"data:"
_DONE_EVENT = b"data: [DONE]"
_USAGE_MARK = b'"usage"'
_CONTENT_MARK = b'"content"'
_MAX_EVENT_BYTES = 1_000_000


class _UsageEvent(msgspec.Struct):
    choices: list[msgspec.Raw] = []
    usage: Usage | None = None


_USAGE_DECODER = msgspec.json.Decoder(_UsageEvent)


def complete_events(chunks: Iterable[bytes]) -> Iterator[bytes]:
    """Regroup chunks so that each ends at the end of an event.

    Raises
    ------
    AnswerCut
        If the stream ends inside an event, or an event exceeds the size limit.
    """
    remainder = b""
    for chunk in chunks:
        if remainder:
            chunk = remainder + chunk
            remainder = b""
        if chunk.endswith(_EVENT_END):
            yield chunk
            continue
        head, separator, remainder = chunk.rpartition(_EVENT_END)
        if separator:
            yield head + _EVENT_END
        if len(remainder) > _MAX_EVENT_BYTES:
            raise AnswerCut(f"an event exceeds {_MAX_EVENT_BYTES} bytes")
    if remainder.strip():
        raise AnswerCut("the stream ended inside an event")


class ChatStream:
    """Checker of an engine's event stream that also extracts the usage.

    Parameters
    ----------
    answer_id : str
        The id that every event must contain.
    include_usage : bool
        Whether the caller requested the usage event; otherwise it is removed.

    Attributes
    ----------
    usage : Usage or None
        The engine's final token counts, None until received.
    content_event_count : int
        Number of events with content so far; never more than the tokens generated.
    event_count : int
        Number of all events so far; a resumed stream continues after it.
    is_complete : bool
        Whether the `[DONE]` event was received, so that the answer is complete.
    """

    def __init__(self, answer_id: str, include_usage: bool):
        self.answer_id = answer_id
        self.include_usage = include_usage
        self.usage: Usage | None = None
        self.content_event_count = 0
        self.event_count = 0
        self.is_complete = False
        self._id_mark = b'"' + answer_id.encode() + b'"'

    def check(self, data: bytes) -> bytes:
        """Check one or more complete events and return the bytes to forward to the caller.

        Raises
        ------
        ForeignAnswer
            If an event has another id, or follows the end of the stream.
        """
        if self.is_complete:
            raise ForeignAnswer("the target sent events after the end of the answer")
        events = data.count(_DATA_FIELD)
        if _DONE_EVENT in data:
            self.is_complete = True
            events -= 1
        if events > data.count(self._id_mark):
            raise ForeignAnswer("an event with another id")
        self.event_count += events
        self.content_event_count += data.count(_CONTENT_MARK)
        if _USAGE_MARK in data:
            return self._filter_usage(data)
        return data

    def _filter_usage(self, data: bytes) -> bytes:
        """Remove a usage event that the caller did not request."""
        kept = [event for event in data.split(_EVENT_END) if event and self._inspect_usage(event)]
        return b"".join(event + _EVENT_END for event in kept)

    def _inspect_usage(self, event: bytes) -> bool:
        """Store the usage of an event; return whether the event is forwarded."""
        if _USAGE_MARK not in event or event.startswith(_DONE_EVENT):
            return True
        _, _, text = event.partition(_DATA_FIELD)
        try:
            decoded = _USAGE_DECODER.decode(text)
        except msgspec.MsgspecError:
            return True
        if decoded.usage is None:
            return True
        self.usage = decoded.usage
        return self.include_usage or bool(decoded.choices)
