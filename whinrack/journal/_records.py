"""Bill records as stored in the platform, and their merging into bills of workspaces."""

from collections.abc import Iterable

import msgspec

__all__ = ["JOURNAL_KIND", "BillRecord", "JournalSegment", "WorkspaceBill", "merge_bills"]

JOURNAL_KIND = "JournalSegment"


class BillRecord(msgspec.Struct, frozen=True, array_like=True):
    """Bill of one run of a request at one incarnation.

    Attributes
    ----------
    identity : str
        Workspace and key of the request.
    tokens : int
        Prompt and output tokens.
    provisional_against : str
        Home incarnation that could not be asked and may have billed the request as well; "" if
        there is none.
    """

    identity: str
    workspace: str
    budget: str
    tokens: int
    provisional_against: str = ""


class JournalSegment(msgspec.Struct, frozen=True):
    """Bill records of one incarnation, in the order in which they were settled."""

    incarnation: str
    number: int
    records: tuple[BillRecord, ...] = ()


class WorkspaceBill(msgspec.Struct):
    """Amounts billed to a workspace, and tokens of repeated runs that are not billed.

    Attributes
    ----------
    requests, tokens : int
        Billed requests and their tokens.
    duplicate_tokens : int
        Tokens of further runs of billed requests, which were spent but not billed.
    """

    requests: int = 0
    tokens: int = 0
    duplicate_tokens: int = 0


def merge_bills(segments: Iterable[JournalSegment]) -> dict[str, WorkspaceBill]:
    """Merge journals into one bill per workspace, counting each request once.

    If several incarnations billed a request, a record that is not provisional takes precedence
    over a provisional one, and then the incarnation whose name sorts first. The result depends
    only on the records, not on the order in which they are read.
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
