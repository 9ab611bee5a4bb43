"""Revisions that go on rising when a store comes back from a copy.

A store's own counter goes back then, and gives numbers out again. A revision here holds the
store's era before the number, so that two of them compare in the order in which they were given
out. In era 0, and at a store that names no era, it is the store's own number.
"""

__all__ = ["compose_revision", "revision_era", "revision_number", "format_revision"]

# A store that counts a million changes a second gives out no more in twelve days.
_NUMBER_BITS = 40
_NUMBER_MASK = (1 << _NUMBER_BITS) - 1


def compose_revision(era: int, number: int) -> int:
    """Return the revision of a number that the store gave out in an era."""
    return (era << _NUMBER_BITS) | min(number, _NUMBER_MASK)


def revision_era(revision: int) -> int:
    """Return the era in which a revision was given out."""
    return revision >> _NUMBER_BITS


def revision_number(revision: int) -> int:
    """Return the store's own number of a revision."""
    return revision & _NUMBER_MASK


def format_revision(revision: int) -> str:
    """Return a revision for logs, `era:number` or the number alone in era 0."""
    era = revision_era(revision)
    return f"{era}:{revision_number(revision)}" if era else str(revision)
