"""Configuration in force at this instance; versions of objects never decrease."""

import bisect
from collections.abc import Callable, Iterable

import msgspec

from whinrack.exceptions import InvalidObject
from whinrack.objects import DECLARED_KINDS, Spec, decode_spec
from whinrack.store import StoredObject

__all__ = ["ConfigStore", "ConfigView"]


def _row_version(row: tuple[int, str, str]) -> int:
    return row[0]


class ConfigView:
    """Read access to the decoded objects in force."""

    def __init__(self):
        self._specs: dict[str, dict[str, Spec]] = {kind: {} for kind in DECLARED_KINDS}

    def get(self, kind: type[Spec], name: str) -> Spec | None:
        """Return the spec of an object, or None if there is none."""
        return self._specs[kind.__name__].get(name)

    def specs_of_kind(self, kind: type[Spec]) -> dict[str, Spec]:
        """Return the specs of a kind by name."""
        return self._specs[kind.__name__]


class ConfigStore(ConfigView):
    """Applies objects from any source and keeps the highest version of each.

    Parameters
    ----------
    on_change : callable, optional
        Called with the kinds of the objects that a batch changed.
    on_invalid : callable, optional
        Called with each object that was rejected and the error.
    """

    def __init__(
        self,
        on_change: Callable[[set[str]], None] = lambda kinds: None,
        on_invalid: Callable[[StoredObject, InvalidObject], None] = lambda stored, error: None,
    ):
        super().__init__()
        self.on_change = on_change
        self.on_invalid = on_invalid
        self.revision = 0
        self._newest = 0
        self._stored: dict[tuple[str, str], StoredObject] = {}
        self._version_index: list[tuple[int, str, str]] = []

    @property
    def newest_version(self) -> int:
        """Version of the newest object in force; equal at daemons with the same configuration."""
        return self._newest

    def apply_object(self, stored: StoredObject) -> bool:
        """Apply one object.

        Returns
        -------
        bool
            False if it is not newer than the known version, or not a configuration object.
        """
        key = (stored.kind, stored.name)
        previous = self._stored.get(key)
        if previous is not None and previous.version >= stored.version:
            return False
        if stored.kind not in DECLARED_KINDS:
            return False
        self._stored[key] = stored
        self._update_version_index(previous, stored)
        self._newest = max(self._newest, stored.version)
        self._apply_spec(stored)
        return True

    def apply_batch(self, revision: int, objects: Iterable[StoredObject]) -> int:
        """Apply changes up to a revision; return how many objects were new."""
        taken = [stored.kind for stored in objects if self.apply_object(stored)]
        self.revision = max(self.revision, revision)
        if taken:
            self.on_change(set(taken))
        return len(taken)

    def apply_snapshot(self, revision: int, objects: Iterable[StoredObject]) -> int:
        """Apply all objects that exist at a revision.

        Known objects that are not in the snapshot and not newer than it are deleted.
        """
        objects = list(objects)
        present = {(stored.kind, stored.name) for stored in objects}
        deleted = [
            StoredObject(known.kind, known.name, revision, deleted=True)
            for key, known in self._stored.items()
            if key not in present and known.version <= revision and not known.deleted
        ]
        return self.apply_batch(revision, [*objects, *deleted])

    def changes_after(self, revision: int) -> list[StoredObject]:
        """Return the objects whose last change is after a revision, including deletions."""
        start = bisect.bisect_right(self._version_index, revision, key=_row_version)
        return [self._stored[kind, name] for _, kind, name in self._version_index[start:]]

    def versions(self) -> dict[str, int]:
        """Return the version in force of each object by `kind/name`, without deleted ones."""
        return {
            f"{stored.kind}/{stored.name}": stored.version
            for stored in self._stored.values()
            if not stored.deleted
        }

    def _update_version_index(self, previous: StoredObject | None, stored: StoredObject) -> None:
        """Keep the index sorted by version, so that recent changes are found by bisection."""
        if previous is not None:
            old = (previous.version, previous.kind, previous.name)
            del self._version_index[bisect.bisect_left(self._version_index, old)]
        bisect.insort(self._version_index, (stored.version, stored.kind, stored.name))

    def _apply_spec(self, stored: StoredObject) -> None:
        specs = self._specs[stored.kind]
        if stored.deleted:
            specs.pop(stored.name, None)
            return
        try:
            value = msgspec.json.decode(stored.value)
            specs[stored.name] = decode_spec(stored.kind, stored.name, value)
        except (InvalidObject, msgspec.DecodeError) as error:
            self.on_invalid(stored, InvalidObject(str(error)))
