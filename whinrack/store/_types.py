"""Types of the platform's object API and instance list."""

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
    """An object as it is stored by the platform.

    Attributes
    ----------
    version : int
        Revision of the object's last change, as returned by `compose_revision`; it increases with
        every write, also after the store was restored from a backup.
    value : msgspec.Raw
        The undecoded JSON value.
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
        Seconds since the store confirmed the snapshot; 0 if it comes from the store itself.
    """

    revision: int
    objects: tuple[StoredObject, ...] = ()
    age: float = 0.0


class WatchBatch(msgspec.Struct, frozen=True):
    """Changes after a revision, up to and including `revision`.

    Attributes
    ----------
    revision : int
    objects : tuple of StoredObject
    gap : bool
        Whether changes before the batch are missing, so that the objects must be listed again.
    age : float
        Seconds since the store confirmed the revision; 0 if the batch comes from the store itself.
    """

    revision: int
    objects: tuple[StoredObject, ...] = ()
    gap: bool = False
    age: float = 0.0


class InstanceState(StrEnum):
    """State of an instance in the instance list."""

    LIVE = "live"
    LEAVING = "leaving"


class InstanceRecord(msgspec.Struct, frozen=True):
    """Row of the platform's instance list, which lags behind the actual state."""

    name: str
    role: str
    state: InstanceState = InstanceState.LIVE
    region: str = ""
    data_hall: str = ""
    http_address: str = ""
    peer_address: str = ""
