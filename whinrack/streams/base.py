"""Interface of the directory of stream origins."""

import msgspec

from whinrack.clock import steady
from whinrack.streams._origins import OriginTable, StreamOrigin, UnsettledStart

__all__ = ["LocalOrigins", "OriginDirectory", "OriginLookup"]


class OriginLookup(msgspec.Struct, frozen=True):
    """Result of looking up where a stream began.

    Attributes
    ----------
    origin : StreamOrigin or None
        None if no instance that answered knows it.
    source : str
        Address of the peer that knew it, "here", how it was deduced, or empty.
    unanswered : int
        Peers that were asked and did not answer in time.
    seconds_left : float
        Seconds until the origin is settled, 0 if it is.
    """

    origin: StreamOrigin | None
    source: str = ""
    unanswered: int = 0
    seconds_left: float = 0.0


class OriginDirectory:
    """Directory of the origins of streams."""

    def record(
        self, key: bytes, origin: StreamOrigin, unsettled: UnsettledStart | None = None
    ) -> None:
        """Record where a stream began or was continued.

        Parameters
        ----------
        unsettled : UnsettledStart, optional
            Given while a later start of the target may have sent the first event.
        """
        raise NotImplementedError

    def record_later_start(self, target: str, started: int) -> None:
        """Make the versions of unsettled streams unknown, because a later start became known."""
        raise NotImplementedError

    def find(self, key: bytes, deadline: float) -> OriginLookup:
        """Look up where a stream began, by a time of the steady clock."""
        raise NotImplementedError


class LocalOrigins(OriginDirectory):
    """Directory of a single instance."""

    def __init__(self):
        self.table = OriginTable()

    def record(
        self, key: bytes, origin: StreamOrigin, unsettled: UnsettledStart | None = None
    ) -> None:
        """Record where a stream began or was continued."""
        self.table.put(key, origin, steady(), unsettled)

    def record_later_start(self, target: str, started: int) -> None:
        """Make the versions of unsettled streams unknown, because a later start became known."""
        for key, origin, _ in self.table.unsettled_at(target, started, steady()):
            self.record(key, StreamOrigin(origin.pool, ""))

    def find(self, key: bytes, deadline: float) -> OriginLookup:
        """Look up where a stream began."""
        now = steady()
        origin = self.table.get(key, now)
        if origin is None:
            return OriginLookup(None)
        return OriginLookup(origin, "here", seconds_left=self.table.seconds_left(key, now))
