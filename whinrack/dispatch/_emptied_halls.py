"""Data halls that the operator has emptied; pure logic without I/O.

When a hall is emptied or released, all its targets stop or resume accepting requests at once.
Status updates arrive from the store's watch, from an upstream peer and in heartbeats, in any order.
Each carries the store's revision, and the one with the latest revision wins regardless of source.
"""

import msgspec

__all__ = ["EmptiedHalls", "HallStatus"]

# Statuses that are kept and sent in heartbeats; the oldest of released halls are dropped first. The
# largest fleet planned for has 39 halls; a status takes about 20 bytes in each heartbeat.
_MAX_STATUSES = 100


class HallStatus(msgspec.Struct, frozen=True, array_like=True):
    """Status of a data hall at a revision of the store.

    Attributes
    ----------
    hall : str
    version : int
        The store's revision of the status.
    is_emptied : bool
        Whether no requests may be sent to targets of the hall; False after a release.
    """

    hall: str
    version: int
    is_emptied: bool

    def supersedes(self, other: "HallStatus") -> bool:
        """Return whether this status is newer; at equal revisions, released is newer."""
        return (self.version, not self.is_emptied) > (other.version, not other.is_emptied)


class EmptiedHalls:
    """The latest status of each data hall that was ever emptied."""

    def __init__(self):
        self._statuses: dict[str, HallStatus] = {}
        self._emptied: frozenset[str] = frozenset()

    @property
    def names(self) -> frozenset[str]:
        """Names of the halls whose targets must not receive requests."""
        return self._emptied

    def update(self, status: HallStatus) -> bool:
        """Apply a status if it is newer than the known one.

        Returns
        -------
        bool
            Whether the hall was emptied or released by this.
        """
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
        """Return statuses that release the emptied halls missing from a complete list of the store.

        Parameters
        ----------
        listed : set of str
            Names of the halls in the list.
        revision : int
            Revision of the list; statuses with a later revision are not affected.
        """
        return [
            HallStatus(status.hall, status.version, is_emptied=False)
            for status in self._statuses.values()
            if status.is_emptied and status.hall not in listed and status.version <= revision
        ]

    def statuses(self) -> list[HallStatus]:
        """Return all statuses, for the peers."""
        return list(self._statuses.values())

    def _drop_oldest(self) -> None:
        """Drop the oldest statuses of released halls."""
        released = sorted(
            (status for status in self._statuses.values() if not status.is_emptied),
            key=lambda status: status.version,
        )
        for status in released[: max(0, len(self._statuses) - _MAX_STATUSES)]:
            del self._statuses[status.hall]
