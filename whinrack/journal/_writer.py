"""Writes one incarnation's journal, many records with one conditional write."""

from collections.abc import Callable

import msgspec
from returns.result import Failure

from whinrack.journal._records import JOURNAL_KIND, BillRecord, JournalSegment
from whinrack.store import ObjectEditor, ObjectStore

__all__ = ["JournalWriter", "decode_segment", "segment_name"]

_SEGMENT_RECORDS = 256


def segment_name(incarnation: str, number: int) -> str:
    """Return the object name of a segment."""
    return f"{incarnation}.{number:06d}"


class JournalWriter:
    """Collects settled bills and commits them in groups.

    The newest segment is rewritten with each commit until it is full, so that the
    number of objects grows with the requests and not with the commits. Only this
    incarnation writes its segments; a write whose reply is lost finds itself.

    Parameters
    ----------
    store : ObjectStore
        Where segments are kept.
    incarnation : str
        Whose journal it is.
    on_commit : callable, optional
        Told the records that are now kept.
    """

    def __init__(
        self,
        store: ObjectStore,
        incarnation: str,
        on_commit: Callable[[list[BillRecord]], None] = lambda records: None,
        **editor_options,
    ):
        self.store = store
        self.incarnation = incarnation
        self.on_commit = on_commit
        self._editor = ObjectEditor(store, JOURNAL_KIND, JournalSegment, **editor_options)
        self._pending: list[BillRecord] = []
        self._number = 0
        self._written: list[BillRecord] = []
        self.added_count = 0
        self.committed_count = 0

    @property
    def pending_count(self) -> int:
        """Records that are not kept yet."""
        return len(self._pending)

    def add(self, record: BillRecord) -> int:
        """Queue a record; returns the count that `committed` must reach for it."""
        self._pending.append(record)
        self.added_count += 1
        return self.added_count

    def commit(self) -> bool:
        """Write what is queued; False if it could not be written now."""
        while self._pending:
            room = _SEGMENT_RECORDS - len(self._written)
            batch = self._pending[:room]
            segment = JournalSegment(
                incarnation=self.incarnation,
                number=self._number,
                records=(*self._written, *batch),
            )
            if not self._write(segment):
                return False
            del self._pending[: len(batch)]
            self.committed_count += len(batch)
            self._written.extend(batch)
            if len(self._written) >= _SEGMENT_RECORDS:
                self._number += 1
                self._written = []
            self.on_commit(batch)
        return True

    def _write(self, segment: JournalSegment) -> bool:
        def change(stored: JournalSegment | None) -> JournalSegment | None:
            if stored is not None and len(stored.records) >= len(segment.records):
                return None
            return segment

        name = segment_name(self.incarnation, segment.number)
        return not isinstance(self._editor.apply(name, change), Failure)


def decode_segment(value: bytes) -> JournalSegment:
    """Decode a stored segment."""
    return msgspec.json.decode(value, type=JournalSegment)
