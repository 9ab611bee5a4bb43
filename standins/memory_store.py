"""The platform's object API in memory, with faults, for tests and benchmarks of decisions."""

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
    """Objects in a dictionary.

    Attributes
    ----------
    down : bool
        Every call fails.
    lose_replies : int
        How many coming writes take effect and then lose their reply.
    lose_writes : int
        How many coming writes are lost before they take effect.
    hold_writes : int
        How many coming writes are held back; `apply_held` applies them late.
    calls : int
        Calls served or refused so far.
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
        """Read all objects of some kinds."""
        self.call_count += 1
        if self.down:
            return Failure(PlatformUnavailable("down"))
        found = tuple(item for item in self.objects.values() if item.kind in kinds)
        return Success(Snapshot(self.revision, found))

    def put(self, kind, name, value, version):
        """Write conditionally."""
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
        """Return what `restore` brings back."""
        return self.revision, dict(self.objects)

    def restore(self, snapshot):
        """Come back from a copy, in the next era."""
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
        """Apply the writes that were held back, as far as their condition still holds."""
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
        """Delete conditionally."""
        self.call_count += 1
        current = self.objects.get((kind, name))
        if version != (0 if current is None else current.version):
            return Failure(Conflict(name, current))
        self.objects.pop((kind, name), None)
        self.revision += 1
        return Success(None)

    def watch(self, kinds, since, wait):
        """Return changes after a revision, without waiting."""
        self.call_count += 1
        changed = tuple(i for i in self.objects.values() if i.version > since and i.kind in kinds)
        return Success(WatchBatch(self.revision, changed))

    def instances(self):
        """Return an empty list."""
        self.call_count += 1
        return Failure(PlatformUnavailable("down")) if self.down else Success(())
