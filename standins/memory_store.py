"""In-memory object store with fault injection, for tests and benchmarks."""

import msgspec
from returns.result import Failure, Success

from whinrack.exceptions import Conflict, NotFound, PlatformUnavailable, WriteUnknown
from whinrack.store import (
    ObjectStore,
    Snapshot,
    StoredObject,
    WatchBatch,
    compose_revision,
    revision_number,
)

__all__ = ["MemoryStore"]


class MemoryStore(ObjectStore):
    """Object store that keeps its objects in a dictionary.

    Attributes
    ----------
    down : bool
        `get`, `list`, `put` and `instances` fail with PlatformUnavailable.
    replies_to_drop : int
        Number of coming writes that take effect but fail with WriteUnknown.
    writes_to_drop : int
        Number of coming writes that are lost and fail with WriteUnknown.
    writes_to_delay : int
        Number of coming writes that fail with WriteUnknown and take effect only when
        `apply_delayed_writes` is called.
    call_count : int
        Number of calls so far, including failed ones.
    before_write : callable or None
        Called once, before the next write.
    """

    def __init__(self):
        self.objects: dict[tuple[str, str], StoredObject] = {}
        self.revision = 0
        self.down = False
        self.replies_to_drop = 0
        self.writes_to_drop = 0
        self.writes_to_delay = 0
        self._delayed_writes: list[tuple[str, str, bytes, int]] = []
        self.call_count = 0
        self.before_write = None

    def get(self, kind, name):
        """Read one object."""
        self.call_count += 1
        if self.down:
            return Failure(PlatformUnavailable("down"))
        if (kind, name) not in self.objects:
            return Failure(NotFound(name))
        return Success(self.objects[kind, name])

    def list(self, kinds):
        """Read all objects of the given kinds."""
        self.call_count += 1
        if self.down:
            return Failure(PlatformUnavailable("down"))
        found = tuple(item for item in self.objects.values() if item.kind in kinds)
        return Success(Snapshot(self.revision, found))

    def put(self, kind, name, value, version):
        """Write an object if `version` is its current version."""
        self.call_count += 1
        if self.down:
            return Failure(PlatformUnavailable("down"))
        if self.before_write is not None:
            hook, self.before_write = self.before_write, None
            hook()
        if self.writes_to_drop > 0:
            self.writes_to_drop -= 1
            return Failure(WriteUnknown(name))
        if self.writes_to_delay > 0:
            self.writes_to_delay -= 1
            self._delayed_writes.append((kind, name, value, version))
            return Failure(WriteUnknown(name))
        return self._write(kind, name, value, version)

    def take_snapshot(self):
        """Return a snapshot of the objects for `restore`."""
        return self.revision, dict(self.objects)

    def restore(self, snapshot):
        """Restore the objects from a snapshot and begin the next era."""
        era = self.era.current + 1
        self.era.observe(str(era))
        self.revision = compose_revision(era, revision_number(snapshot[0]))
        self.objects = {
            key: msgspec.structs.replace(
                stored, version=compose_revision(era, revision_number(stored.version))
            )
            for key, stored in snapshot[1].items()
        }

    def apply_delayed_writes(self):
        """Apply the delayed writes whose version condition still holds."""
        held, self._delayed_writes = self._delayed_writes, []
        for write in held:
            self._write(*write)

    def _write(self, kind, name, value, version):
        current = self.objects.get((kind, name))
        if version != (0 if current is None else current.version):
            return Failure(Conflict(name, current))
        self.revision += 1
        stored = StoredObject(kind, name, self.revision, msgspec.Raw(value))
        self.objects[kind, name] = stored
        if self.replies_to_drop > 0:
            self.replies_to_drop -= 1
            return Failure(WriteUnknown(name))
        return Success(stored)

    def delete(self, kind, name, version):
        """Delete an object if `version` is its current version."""
        self.call_count += 1
        current = self.objects.get((kind, name))
        if version != (0 if current is None else current.version):
            return Failure(Conflict(name, current))
        self.objects.pop((kind, name), None)
        self.revision += 1
        return Success(None)

    def watch(self, kinds, since, wait):
        """Return the changes after a revision, without waiting."""
        self.call_count += 1
        changed = tuple(i for i in self.objects.values() if i.version > since and i.kind in kinds)
        return Success(WatchBatch(self.revision, changed))

    def instances(self):
        """Return an empty instance list."""
        self.call_count += 1
        return Failure(PlatformUnavailable("down")) if self.down else Success(())
