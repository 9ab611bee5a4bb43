"""Reads an engine's event stream: whole events, checked, hardly decoded.

A chunk that holds whole events is passed on as it came. Only the event with the usage
is decoded; the others are looked at for the answer's id and their number.
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
        If the stream ends inside an event, or an event is absurdly long.
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
            raise AnswerCut("an event without an end")
    if remainder.strip():
        raise AnswerCut("the stream ended inside an event")


class ChatStream:
    """Checks an engine's events and finds the usage in them.

    Parameters
    ----------
    answer_id : str
        The id that every event must carry.
    include_usage : bool
        Whether the caller asked for the usage event.

    Attributes
    ----------
    usage : Usage or None
        The engine's final count.
    content_events : int
        Events with content so far; never more than tokens generated.
    events : int
        All events so far; where a resumed stream goes on.
    done : bool
        The end mark was seen: the answer is whole.
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
        """Check one or more whole events and return what goes to the caller.

        Raises
        ------
        ForeignAnswer
            If an event has another id, or comes after the end.
        """
        if self.is_complete:
            raise ForeignAnswer("events after the end of the answer")
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
        kept = [event for event in data.split(_EVENT_END) if event and self._inspect_usage(event)]
        return b"".join(event + _EVENT_END for event in kept)

    def _inspect_usage(self, event: bytes) -> bool:
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
