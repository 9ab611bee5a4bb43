"""Interface of the directory of stream origins."""

import msgspec

from whinrack.clock import steady
from whinrack.streams._origins import OriginTable, StreamOrigin

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
    """

    origin: StreamOrigin | None
    source: str = ""
    unanswered: int = 0


class OriginDirectory:
    """Directory of the origins of streams."""

    def record(self, key: bytes, origin: StreamOrigin) -> None:
        """Record where a stream began or was continued."""
        raise NotImplementedError

    def find(self, key: bytes, deadline: float) -> OriginLookup:
        """Look up where a stream began, by a time of the steady clock."""
        raise NotImplementedError


class LocalOrigins(OriginDirectory):
    """Directory of a single instance."""

    def __init__(self):
        self.table = OriginTable()

    def record(self, key: bytes, origin: StreamOrigin) -> None:
        """Record where a stream began or was continued."""
        self.table.put(key, origin, steady())

    def find(self, key: bytes, deadline: float) -> OriginLookup:
        """Look up where a stream began."""
        origin = self.table.get(key, steady())
        return OriginLookup(origin, "here" if origin is not None else "")
