"""The one way to the platform: its object API and its list of instances."""

from whinrack.platform._http import HttpObjectStore
from whinrack.platform._limiter import TokenBucket
from whinrack.platform._transactions import ObjectEditor
from whinrack.platform._types import (
    InstanceRecord,
    InstanceState,
    Snapshot,
    StoredObject,
    WatchBatch,
)
from whinrack.platform.base import ObjectStore

__all__ = [
    "HttpObjectStore",
    "InstanceRecord",
    "InstanceState",
    "ObjectEditor",
    "ObjectStore",
    "Snapshot",
    "StoredObject",
    "TokenBucket",
    "WatchBatch",
]
