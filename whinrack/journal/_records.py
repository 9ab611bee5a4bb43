"""Bills as records in the platform, and the one bill that they add up to."""

from collections.abc import Iterable

import msgspec

__all__ = ["JOURNAL_KIND", "BillRecord", "JournalSegment", "WorkspaceBill", "merge_bills"]

JOURNAL_KIND = "JournalSegment"


class BillRecord(msgspec.Struct, frozen=True, array_like=True):
    """One run of a request, as one incarnation bills it.

    Attributes
    ----------
    identity : str
        Workspace and key of the request.
    tokens : int
        Prompt and output tokens.
    provisional_against : str
        A home incarnation that could not be asked and may have billed the request
        too; "" if there is no such doubt.
    """

    identity: str
    workspace: str
    budget: str
    tokens: int
    provisional_against: str = ""


class JournalSegment(msgspec.Struct, frozen=True):
    """Bill records of one incarnation, in the order they were settled."""

    incarnation: str
    number: int
    records: tuple[BillRecord, ...] = ()


class WorkspaceBill(msgspec.Struct):
    """What a workspace owes, and what was run twice without being billed twice.

    Attributes
    ----------
    requests, tokens : int
        Billed requests and their tokens.
    duplicate_tokens : int
        Tokens of further runs of billed requests: spent, not billed.
    """

    requests: int = 0
    tokens: int = 0
    duplicate_tokens: int = 0


def merge_bills(segments: Iterable[JournalSegment]) -> dict[str, WorkspaceBill]:
    """Add up journals to one bill a workspace, each request once.

    Where several incarnations billed a request, a record without doubt goes before a
    provisional one, and the first incarnation by name before a later one. So every
    reader of the same journals comes to the same bill, in whatever order it reads.
    """
    chosen: dict[str, tuple[tuple, BillRecord]] = {}
    duplicates: dict[str, int] = {}
    for segment in segments:
        for position, record in enumerate(segment.records):
            rank = (bool(record.provisional_against), segment.incarnation)
            rank = (*rank, segment.number, position)
            current = chosen.get(record.identity)
            duplicate = record
            if current is None or rank < current[0]:
                chosen[record.identity] = (rank, record)
                duplicate = None if current is None else current[1]
            if duplicate is not None:
                spent = duplicates.get(duplicate.workspace, 0)
                duplicates[duplicate.workspace] = spent + duplicate.tokens
    bills: dict[str, WorkspaceBill] = {}
    for _, record in chosen.values():
        bill = bills.setdefault(record.workspace, WorkspaceBill())
        bill.requests += 1
        bill.tokens += record.tokens
    for workspace, tokens in duplicates.items():
        bills.setdefault(workspace, WorkspaceBill()).duplicate_tokens += tokens
    return bills
