"""Parsing of event streams into complete events."""

from collections.abc import Iterable, Iterator

import msgspec

from whinrack.exceptions import AnswerCut, AnswerUnbounded

__all__ = ["EventBlock", "event_blocks"]

_END = b"\n\n"
_ID = b"id:"
_MAX_EVENT_BYTES = 1_000_000


class EventBlock(msgspec.Struct, frozen=True):
    """One or more complete events, unchanged.

    Attributes
    ----------
    count : int
        Number of events in the block.
    last_id : int or None
        Id of the last event with an id.
    """

    data: bytes
    count: int
    last_id: int | None


def event_blocks(chunks: Iterable[bytes], after: int | None = None) -> Iterator[EventBlock]:
    """Regroup chunks of bytes into complete events.

    Parameters
    ----------
    after : int or None
        Events with ids up to this one are left out.

    Raises
    ------
    AnswerCut
        If the stream ends within an event.
    AnswerUnbounded
        If an event exceeds the maximum length.
    """
    rest = b""
    for chunk in chunks:
        whole, found, rest = (rest + chunk).rpartition(_END)
        if found:
            block = _block(whole + _END, after)
            if block.count:
                yield block
        if len(rest) > _MAX_EVENT_BYTES:
            raise AnswerUnbounded("event exceeds the maximum length")
    if rest.strip():
        raise AnswerCut("stream ended within an event")


def _block(data: bytes, after: int | None) -> EventBlock:
    kept, last_id = [], None
    for event in data.split(_END):
        if not event.strip():
            continue
        number = _event_id(event)
        if after is not None and number is not None and number <= after:
            continue
        kept.append(event + _END)
        last_id = number if number is not None else last_id
    return EventBlock(b"".join(kept), len(kept), last_id)


def _event_id(event: bytes) -> int | None:
    for line in event.split(b"\n"):
        if line.startswith(_ID):
            text = line[len(_ID) :].strip()
            return int(text) if text.isdigit() else None
    return None
