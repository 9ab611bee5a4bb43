"""Parsing of event streams into complete events."""

from collections.abc import Iterable, Iterator

import msgspec

from whinrack.exceptions import AnswerCut, AnswerUnbounded

__all__ = ["EventBlock", "EventParser"]

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


class EventParser:
    """Regroups the bytes of one answer into complete events and counts them.

    The count covers all events that were received, whether or not they can be relayed.

    Parameters
    ----------
    after : int or None
        Events with ids up to this one are counted and left out of the blocks.

    Attributes
    ----------
    received : int
        Number of complete events received.
    """

    def __init__(self, after: int | None = None):
        self.after = after
        self.received = 0
        self._rest = b""

    @property
    def is_within_event(self) -> bool:
        """Whether the bytes received so far end within an event."""
        return bool(self._rest.strip())

    def feed(self, chunk: bytes) -> EventBlock | None:
        """Parse further bytes; return the events that they complete, None if all are left out.

        Raises
        ------
        AnswerUnbounded
            If an event exceeds the maximum length.
        """
        if len(self._rest) > _MAX_EVENT_BYTES:
            raise AnswerUnbounded("event exceeds the maximum length")
        whole, found, self._rest = (self._rest + chunk).rpartition(_END)
        return self._block(whole + _END) if found else None

    def blocks(self, chunks: Iterable[bytes]) -> Iterator[EventBlock]:
        """Yield the events of an answer as they become complete.

        Raises
        ------
        AnswerCut
            If the stream ends within an event.
        AnswerUnbounded
            If an event exceeds the maximum length.
        """
        for chunk in chunks:
            block = self.feed(chunk)
            if block is not None:
                yield block
        if self.is_within_event:
            raise AnswerCut("stream ended within an event")

    def _block(self, data: bytes) -> EventBlock | None:
        kept, last_id = [], None
        for event in data.split(_END):
            if not event.strip():
                continue
            self.received += 1
            number = _event_id(event)
            if self.after is not None and number is not None and number <= self.after:
                continue
            kept.append(event + _END)
            last_id = number if number is not None else last_id
        return EventBlock(b"".join(kept), len(kept), last_id) if kept else None


def _event_id(event: bytes) -> int | None:
    for line in event.split(b"\n"):
        if line.startswith(_ID):
            text = line[len(_ID) :].strip()
            return int(text) if text.isdigit() else None
    return None
