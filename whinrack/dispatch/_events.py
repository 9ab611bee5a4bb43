"""Whole events of a stream and their ids."""

from collections.abc import Iterable, Iterator

import msgspec

from whinrack.exceptions import AnswerCut

__all__ = ["EventBlock", "event_blocks"]

_END = b"\n\n"
_ID = b"id:"
_MAX_EVENT_BYTES = 1_000_000


class EventBlock(msgspec.Struct, frozen=True):
    """One or more whole events, as they came.

    Attributes
    ----------
    count : int
        Events in the block.
    last_id : int or None
        Id of the last event that has one.
    """

    data: bytes
    count: int
    last_id: int | None


def event_blocks(chunks: Iterable[bytes], after: int | None = None) -> Iterator[EventBlock]:
    """Regroup bytes into whole events.

    Parameters
    ----------
    after : int or None
        Events up to this id are left out.

    Raises
    ------
    AnswerCut
        If the stream ends inside an event, or an event is absurdly long.
    """
    rest = b""
    for chunk in chunks:
        whole, found, rest = (rest + chunk).rpartition(_END)
        if found:
            block = _block(whole + _END, after)
            if block.count:
                yield block
        if len(rest) > _MAX_EVENT_BYTES:
            raise AnswerCut("an event without an end")
    if rest.strip():
        raise AnswerCut("the stream ended inside an event")


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
