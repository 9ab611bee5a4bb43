"""Typed messages of the platform's object API and instance list."""

from enum import StrEnum

import msgspec

__all__ = [
    "InstanceRecord",
    "InstanceState",
    "Snapshot",
    "StoredObject",
    "WatchBatch",
]


class StoredObject(msgspec.Struct, frozen=True):
    """An object as the platform holds it.

    Attributes
    ----------
    version : int
        The revision of the object's last change, as `compose_revision` makes it; grows with every
        write, and when the store comes back from a copy.
    value : msgspec.Raw
        The JSON value, not decoded.
    deleted : bool
        True in a watch event that reports a deletion.
    """

    kind: str
    name: str
    version: int
    value: msgspec.Raw = msgspec.Raw(b"null")
    deleted: bool = False


class Snapshot(msgspec.Struct, frozen=True):
    """All objects of some kinds at one revision.

    Attributes
    ----------
    age : float
        Seconds since the store confirmed it; 0 from the store itself.
    """

    revision: int
    objects: tuple[StoredObject, ...] = ()
    age: float = 0.0


class WatchBatch(msgspec.Struct, frozen=True):
    """Changes after a revision, up to and including `revision`.

    `gap` says that changes before the batch are missing: list again. `age` is the time in
    seconds since the store confirmed the revision; 0 from the store itself.
    """

    revision: int
    objects: tuple[StoredObject, ...] = ()
    gap: bool = False
    age: float = 0.0


class InstanceState(StrEnum):
    """What the instance list says about an instance."""

    LIVE = "live"
    LEAVING = "leaving"


class InstanceRecord(msgspec.Struct, frozen=True):
    """One row of the platform's list of instances, which lags."""

    name: str
    role: str
    state: InstanceState = InstanceState.LIVE
    region: str = ""
    data_hall: str = ""
    http_address: str = ""
    peer_address: str = ""
