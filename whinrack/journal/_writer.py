"""Writer of one incarnation's journal, with many records per conditional write."""

from collections.abc import Callable

import msgspec
from returns.result import Failure

from whinrack.journal._records import JOURNAL_KIND, BillRecord, JournalSegment
from whinrack.store import ObjectEditor, ObjectStore

__all__ = ["JournalWriter", "decode_segment", "segment_name"]

_SEGMENT_RECORDS = 256


def segment_name(incarnation: str, number: int) -> str:
    """Return the name of the object that stores a segment."""
    return f"{incarnation}.{number:06d}"


class JournalWriter:
    """Collects bill records and commits them in groups.

    The newest segment is rewritten with each commit until it is full, so the number of objects
    grows with the number of requests instead of commits. Only this incarnation writes its
    segments, so a repeated write whose reply was lost finds its own records there.

    Parameters
    ----------
    store : ObjectStore
        Stores the segments.
    incarnation : str
        Incarnation whose journal is written.
    on_commit : callable, optional
        Called with the records of each successful commit.
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
        """Number of records that are not committed yet."""
        return len(self._pending)

    def add(self, record: BillRecord) -> int:
        """Queue a record; return the value that `committed_count` reaches when it is committed."""
        self._pending.append(record)
        self.added_count += 1
        return self.added_count

    def commit(self) -> bool:
        """Write the queued records; return False if they can't be written now."""
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
