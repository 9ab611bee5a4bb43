"""Bounded table of the origins of streams; it does no I/O."""

import hashlib
from collections import OrderedDict

import msgspec

__all__ = ["OriginTable", "StreamOrigin", "UnsettledStart", "stream_key"]

_KEY_BYTES = 16
# Seconds for which an origin is kept after its latest report. It exceeds the longest stream and the
# time in which callers continue it.
_LIFETIME_SECONDS = 120.0
# Maximum number of origins; each takes about 300 bytes.
_MAX_ORIGINS = 16_384
# Maximum seconds for which a reported origin is unsettled.
_MAX_UNSETTLED_SECONDS = 1.0


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


class UnsettledStart(msgspec.Struct, frozen=True, array_like=True):
    """Recorded start of the target that began a stream, while a later start may have answered.

    Attributes
    ----------
    target : str
    started : int
    seconds_left : float
        Seconds after which a later start would be known.
    instance : str
        Name of the instance at which the stream began, empty if there is only one.
    """

    target: str
    started: int
    seconds_left: float
    instance: str = ""


class _Entry(msgspec.Struct, frozen=True):
    origin: StreamOrigin
    recorded_at: float
    unsettled: UnsettledStart | None
    settles_at: float


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
        self._entries: OrderedDict[bytes, _Entry] = OrderedDict()

    def __len__(self) -> int:
        return len(self._entries)

    def get(self, key: bytes, now: float) -> StreamOrigin | None:
        """Return the origin of a stream, None if it is not in the table or has expired."""
        entry = self._get(key, now)
        return entry.origin if entry is not None else None

    def seconds_left(self, key: bytes, now: float) -> float:
        """Return the seconds until the origin of a stream is settled, 0 if it is."""
        entry = self._get(key, now)
        if entry is None or not entry.origin.is_known:
            return 0.0
        return max(0.0, entry.settles_at - now)

    def unsettled_at(
        self, target: str, started: int, now: float
    ) -> list[tuple[bytes, StreamOrigin, UnsettledStart]]:
        """Return the unsettled streams that began at a start of a target, with their keys."""
        found = []
        for key, entry in reversed(self._entries.items()):
            if now - entry.recorded_at > _MAX_UNSETTLED_SECONDS:
                break
            start = entry.unsettled
            if (
                start is not None
                and (start.target, start.started) == (target, started)
                and now < entry.settles_at
            ):
                found.append((key, entry.origin, start))
        return found

    def put(
        self,
        key: bytes,
        origin: StreamOrigin,
        now: float,
        unsettled: UnsettledStart | None = None,
    ) -> None:
        """Add the origin of a stream.

        Reports that contradict each other make the software version unknown.

        Parameters
        ----------
        unsettled : UnsettledStart, optional
            Given while a later start may have sent the first event.
        """
        known = self._get(key, now)
        if known is not None and known.origin != origin:
            origin = StreamOrigin(origin.pool, "")
        settles_at = now
        if unsettled is not None:
            settles_at = now + min(unsettled.seconds_left, _MAX_UNSETTLED_SECONDS)
        elif known is not None:
            unsettled, settles_at = known.unsettled, known.settles_at
        self._entries[key] = _Entry(origin, now, unsettled, settles_at)
        self._entries.move_to_end(key)
        while len(self._entries) > _MAX_ORIGINS:
            self._entries.popitem(last=False)
        self._drop_expired(now)

    def _get(self, key: bytes, now: float) -> _Entry | None:
        entry = self._entries.get(key)
        if entry is None or now - entry.recorded_at > _LIFETIME_SECONDS:
            return None
        return entry

    def _drop_expired(self, now: float) -> None:
        while self._entries:
            oldest = next(iter(self._entries.values()))
            if now - oldest.recorded_at <= _LIFETIME_SECONDS:
                return
            self._entries.popitem(last=False)
