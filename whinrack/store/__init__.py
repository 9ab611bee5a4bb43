"""The one way to the object API: versioned objects, watches and the list of instances."""

from whinrack.store._adaptive_timeout import AdaptiveTimeout
from whinrack.store._connections import StoreConnections
from whinrack.store._era import EraChange, StoreEra
from whinrack.store._http import HttpObjectStore
from whinrack.store._limiter import TokenBucket
from whinrack.store._metered import MeteredStore
from whinrack.store._revisions import compose_revision, era_of, number_of, shown_revision
from whinrack.store._transactions import ObjectEditor
from whinrack.store._types import (
    InstanceRecord,
    InstanceState,
    Snapshot,
    StoredObject,
    WatchBatch,
)
from whinrack.store._unknown_fields import UnknownFields
from whinrack.store.base import ObjectStore, lost_reply

__all__ = [
    "AdaptiveTimeout",
    "EraChange",
    "HttpObjectStore",
    "InstanceRecord",
    "InstanceState",
    "MeteredStore",
    "ObjectEditor",
    "ObjectStore",
    "Snapshot",
    "StoreConnections",
    "StoreEra",
    "StoredObject",
    "TokenBucket",
    "UnknownFields",
    "WatchBatch",
    "compose_revision",
    "era_of",
    "lost_reply",
    "number_of",
    "shown_revision",
]
