"""Bounded table of the origins of streams; it does no I/O."""

import hashlib
from collections import OrderedDict

import msgspec

__all__ = ["OriginTable", "StreamOrigin", "stream_key"]

_KEY_BYTES = 16
# Seconds for which an origin is kept after its latest report. It exceeds the longest stream and the
# time in which callers continue it.
_LIFETIME_SECONDS = 120.0
# Maximum number of origins; each takes about 300 bytes.
_MAX_ORIGINS = 16_384


class StreamOrigin(msgspec.Struct, frozen=True, array_like=True):
    """Pool and software version of the target that sent the first event of a stream.

    Attributes
    ----------
    pool : str
    software_version : str
        Empty if it is unknown. Unknown versions are never equal.
    """

    pool: str
    software_version: str

    @property
    def is_known(self) -> bool:
        """Whether the software version is known."""
        return bool(self.software_version)


def stream_key(workspace: str, request_id: bytes) -> bytes:
    """Return the key of the stream whose first event was received by an attempt of a caller.

    It includes the workspace, so that no caller can continue or overwrite streams of others.
    """
    name = workspace.encode()
    data = b"%d:%b%b" % (len(name), name, request_id)
    return hashlib.blake2b(data, digest_size=_KEY_BYTES).digest()


class OriginTable:
    """Origins by key; the oldest ones are dropped first."""

    def __init__(self):
        self._origins: OrderedDict[bytes, tuple[StreamOrigin, float]] = OrderedDict()

    def __len__(self) -> int:
        return len(self._origins)

    def get(self, key: bytes, now: float) -> StreamOrigin | None:
        """Return the origin of a stream, None if it is not in the table or has expired."""
        origin, recorded_at = self._origins.get(key, (None, 0.0))
        return origin if origin is not None and now - recorded_at <= _LIFETIME_SECONDS else None

    def put(self, key: bytes, origin: StreamOrigin, now: float) -> None:
        """Add the origin of a stream.

        Reports that contradict each other make the software version unknown.
        """
        known = self.get(key, now)
        if known is not None and known != origin:
            origin = StreamOrigin(origin.pool, "")
        self._origins[key] = (origin, now)
        self._origins.move_to_end(key)
        while len(self._origins) > _MAX_ORIGINS:
            self._origins.popitem(last=False)
        self._drop_expired(now)

    def _drop_expired(self, now: float) -> None:
        while self._origins:
            _, recorded_at = next(iter(self._origins.values()))
            if now - recorded_at <= _LIFETIME_SECONDS:
                return
            self._origins.popitem(last=False)
