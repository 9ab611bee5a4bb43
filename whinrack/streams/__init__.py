"""Where streams began, so that they are continued only at the same software version."""

from whinrack.streams._origins import OriginTable, StreamOrigin, UnsettledStart, stream_key
from whinrack.streams.base import LocalOrigins, OriginDirectory, OriginLookup

__all__ = [
    "LocalOrigins",
    "OriginDirectory",
    "OriginLookup",
    "OriginTable",
    "StreamOrigin",
    "UnsettledStart",
    "stream_key",
]
