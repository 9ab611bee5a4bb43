"""Conditional read-modify-write of stored objects, repeated until the outcome is certain."""

import random
import time
from collections import OrderedDict
from collections.abc import Callable
from typing import Generic, TypeVar

import msgspec
from returns.result import Failure, Result, Success

from whinrack.exceptions import (
    Conflict,
    NotFound,
    PlatformFailure,
    PlatformUnavailable,
    WriteUnknown,
)
from whinrack.store._types import StoredObject
from whinrack.store.base import ObjectStore

__all__ = ["ObjectEditor"]

Value = TypeVar("Value", bound=msgspec.Struct)

_MIN_BACKOFF_SECONDS = 0.02
_MAX_BACKOFF_SECONDS = 0.5
_MAX_CACHED_OBJECTS = 256


def _is_never_superseded() -> bool:
    """Return False: the caller makes the change itself, however many conflicts it meets."""
    return False


class ObjectEditor(Generic[Value]):
    """Applies idempotent changes to objects of one kind.

    A change is a function from the current value (None if there is no object) to the new value,
    or to None if nothing is left to do. It must be *idempotent*, that is, recognise its own
    earlier effect in the value. A lost reply is then harmless, because the change is tried again
    on the value that is actually stored.

    Parameters
    ----------
    store : ObjectStore
        Store of the objects.
    kind : str
        The kind of object.
    value_type : type
        Type that the values are decoded to.
    attempts : int
        Maximum number of writes.
    seed : int, optional
        Seed of the backoff's jitter.
    sleep : callable, optional
        Replaced in tests.
    """

    def __init__(
        self,
        store: ObjectStore,
        kind: str,
        value_type: type[Value],
        attempts: int = 8,
        seed: int | None = None,
        sleep: Callable[[float], None] = time.sleep,
    ):
        self.store = store
        self.kind = kind
        self.value_type = value_type
        self.attempts = attempts
        self.sleep = sleep
        self._random = random.Random(seed)
        self._decoder = msgspec.json.Decoder(value_type)
        self._known: OrderedDict[str, StoredObject] = OrderedDict()

    def read(self, name: str) -> Result[Value, PlatformFailure]:
        """Read the stored value, bypassing the cache."""
        result = self.store.get(self.kind, name)
        if isinstance(result, Success):
            self._cache_object(name, result.unwrap())
        return result.map(lambda stored: self._decoder.decode(stored.value))

    def apply(
        self,
        name: str,
        change: Callable[[Value | None], Value | None],
        is_superseded: Callable[[], bool] = _is_never_superseded,
    ) -> Result[Value, PlatformFailure]:
        """Apply a change and return the value that is known to be stored afterwards.

        The cached version is tried first, so a change without a conflict costs one call. A
        `WriteUnknown` failure means that the effect could not be determined.

        Parameters
        ----------
        is_superseded : callable
            Returns, after a conflict, whether somebody else should make the change instead. The
            result is then the `Conflict`; a write of unknown outcome is still resolved here.
        """
        unknown_write: PlatformFailure | None = None
        for attempt in range(self.attempts):
            is_cached = name in self._known
            before = self._load(name)
            if isinstance(before, Failure):
                if unknown_write is not None:
                    return Failure(unknown_write)
                return before
            stored = before.unwrap()
            old = None if stored is None else self._decoder.decode(stored.value)
            new = change(old)
            if new is None and is_cached:
                # The cached value may be too old to conclude that nothing is left to do.
                self._known.pop(name, None)
                continue
            if new is None:
                return Success(old)
            version = 0 if stored is None else stored.version
            written = self.store.put(self.kind, name, msgspec.json.encode(new), version)
            if isinstance(written, Success):
                self._cache_object(name, written.unwrap())
                return Success(new)
            failure = written.failure()
            if isinstance(failure, NotFound):
                # The object was deleted: create it again.
                self._known.pop(name, None)
                continue
            if not isinstance(failure, Conflict | WriteUnknown):
                return Failure(unknown_write or failure)
            unknown_write = self._handle_write_failure(name, failure, unknown_write)
            if unknown_write is None and is_superseded():
                return Failure(failure)
            self._back_off(attempt)
        return Failure(
            unknown_write or PlatformUnavailable(f"{self.kind}/{name}: too many conflicts")
        )

    def _handle_write_failure(self, name, failure, unknown_write):
        """Update the cache after a failed write; return the last write of unknown outcome."""
        if isinstance(failure, WriteUnknown):
            self._known.pop(name, None)
            return failure
        if failure.current is None:
            self._known.pop(name, None)
        else:
            self._cache_object(name, failure.current)
        return unknown_write

    def _load(self, name: str) -> Result[StoredObject | None, PlatformFailure]:
        known = self._known.get(name)
        if known is not None:
            return Success(known)
        result = self.store.get(self.kind, name)
        if isinstance(result, Failure) and isinstance(result.failure(), NotFound):
            return Success(None)
        return result

    def _cache_object(self, name: str, stored: StoredObject) -> None:
        self._known[name] = stored
        self._known.move_to_end(name)
        if len(self._known) > _MAX_CACHED_OBJECTS:
            self._known.popitem(last=False)

    def _back_off(self, attempt: int) -> None:
        longest = min(_MAX_BACKOFF_SECONDS, _MIN_BACKOFF_SECONDS * 2**attempt)
        self.sleep(longest * self._random.random())
