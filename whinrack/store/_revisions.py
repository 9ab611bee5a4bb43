"""Revisions that keep increasing when a store is restored from a backup.

A restore sets the store's own counter back, so that numbers are assigned again. A revision here
has the store's era in its high bits and the store's number in its low bits, so that revisions
compare in the order in which they were assigned. In era 0, and for a store that names no era, it
equals the store's number.
"""

__all__ = ["compose_revision", "revision_era", "revision_number", "format_revision"]

# A store with a million changes per second assigns this many numbers in twelve days.
_NUMBER_BITS = 40
_NUMBER_MASK = (1 << _NUMBER_BITS) - 1


def compose_revision(era: int, number: int) -> int:
    """Return the revision for a number that the store assigned in an era."""
    return (era << _NUMBER_BITS) | min(number, _NUMBER_MASK)


def revision_era(revision: int) -> int:
    """Return the era in which a revision was assigned."""
    return revision >> _NUMBER_BITS


def revision_number(revision: int) -> int:
    """Return the store's own number for a revision."""
    return revision & _NUMBER_MASK


def format_revision(revision: int) -> str:
    """Return a revision as text for logs: `era:number`, or only the number in era 0."""
    era = revision_era(revision)
    return f"{era}:{revision_number(revision)}" if era else str(revision)
