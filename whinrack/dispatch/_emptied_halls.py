"""Which data halls the operator has emptied. Decisions only, no I/O.

The load that this answers: the targets of a whole hall stop taking work at one moment, and are
back at another. Words on halls come from the store's watch, a feeding peer and heartbeats, in any
order; each carries the store's revision, and the latest one wins wherever it came from.
"""

import msgspec

__all__ = ["EmptiedHalls", "HallStatus"]

# Words that are kept and told, of halls that are in use again the oldest go first. The largest
# fleet aimed at has 39 halls; a word is some 20 bytes in each heartbeat.
_MAX_STATUSES = 100


class HallStatus(msgspec.Struct, frozen=True, array_like=True):
    """What the store said of a data hall at a revision.

    Attributes
    ----------
    hall : str
    version : int
        The store's revision of the word.
    emptied : bool
        Nothing may be sent to targets of the hall; False if that was taken back.
    """

    hall: str
    version: int
    is_emptied: bool

    def supersedes(self, other: "HallStatus") -> bool:
        """Whether this is the later word; at one revision a hall is first emptied, then back."""
        return (self.version, not self.is_emptied) > (other.version, not other.is_emptied)


class EmptiedHalls:
    """The latest word on each data hall that was ever emptied."""

    def __init__(self):
        self._statuses: dict[str, HallStatus] = {}
        self._emptied: frozenset[str] = frozenset()

    @property
    def names(self) -> frozenset[str]:
        """The halls whose targets get nothing."""
        return self._emptied

    def update(self, status: HallStatus) -> bool:
        """Take in a word; True if a hall was emptied or came back by it."""
        known = self._statuses.get(status.hall)
        if known is not None and not status.supersedes(known):
            return False
        self._statuses[status.hall] = status
        self._drop_oldest()
        was_emptied = status.hall in self._emptied
        self._emptied = frozenset(
            name for name, known in self._statuses.items() if known.is_emptied
        )
        return was_emptied != (status.hall in self._emptied)

    def released_by_list(self, listed: set[str], revision: int) -> list[HallStatus]:
        """Return the words that a whole list of the store says by what isn't in it.

        Parameters
        ----------
        listed : set of str
            The halls in the list.
        revision : int
            Of the list; words that are later than it are not touched.
        """
        return [
            HallStatus(status.hall, status.version, is_emptied=False)
            for status in self._statuses.values()
            if status.is_emptied and status.hall not in listed and status.version <= revision
        ]

    def statuses(self) -> list[HallStatus]:
        """Return every word, for the peers."""
        return list(self._statuses.values())

    def _drop_oldest(self) -> None:
        """Drop the oldest words on halls that are in use again."""
        released = sorted(
            (status for status in self._statuses.values() if not status.is_emptied),
            key=lambda status: status.version,
        )
        for status in released[: max(0, len(self._statuses) - _MAX_STATUSES)]:
            del self._statuses[status.hall]
