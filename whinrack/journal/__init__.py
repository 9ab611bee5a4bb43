"""Usage journal: the bill of each request, kept in the platform."""

from whinrack.journal._records import (
    JOURNAL_KIND,
    BillRecord,
    JournalSegment,
    WorkspaceBill,
    merge_bills,
)
from whinrack.journal._writer import JournalWriter, decode_segment, segment_name

__all__ = [
    "JOURNAL_KIND",
    "BillRecord",
    "JournalSegment",
    "JournalWriter",
    "WorkspaceBill",
    "decode_segment",
    "merge_bills",
    "segment_name",
]
