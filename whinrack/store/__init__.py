"""Client of the platform's object API: versioned objects, watches and the instance list."""

from whinrack.store._adaptive_timeout import AdaptiveTimeout
from whinrack.store._connections import StoreConnections
from whinrack.store._era import EraChange, StoreEra
from whinrack.store._http import HttpObjectStore
from whinrack.store._metered import MeteredStore
from whinrack.store._object_editor import ObjectEditor
from whinrack.store._revisions import (
    compose_revision,
    format_revision,
    revision_era,
    revision_number,
)
from whinrack.store._token_bucket import TokenBucket
from whinrack.store._types import (
    InstanceRecord,
    InstanceState,
    Snapshot,
    StoredObject,
    WatchBatch,
)
from whinrack.store._unknown_fields import UnknownFields
from whinrack.store.base import ObjectStore, lost_reply_failure

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
    "revision_era",
    "lost_reply_failure",
    "revision_number",
    "format_revision",
]
