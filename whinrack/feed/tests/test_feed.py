"""Tests of the configuration store under late, duplicate and reordered messages."""

import hypothesis.strategies as st
import msgspec
from hypothesis import given, settings

from whinrack.feed import ConfigStore
from whinrack.objects import Workspace
from whinrack.store import StoredObject

NAMES = ("u", "v", "w")
VALUES = (b'{"weighting":"overspend"}', b'{"weighting":"false_refusals"}')


def history(changes):
    """Return stored objects with increasing versions for (name, deleted) pairs."""
    return [
        StoredObject("Workspace", name, version + 1, msgspec.Raw(VALUES[version % 2]), deleted)
        for version, (name, deleted) in enumerate(changes)
    ]


def state_at(changes, revision):
    """Return the objects that exist at a revision."""
    latest = {}
    for stored in changes[:revision]:
        latest[stored.name] = stored
    return [stored for stored in latest.values() if not stored.deleted]


CHANGES = st.lists(st.tuples(st.sampled_from(NAMES), st.booleans()), min_size=1, max_size=15)


@given(CHANGES, st.data())
@settings(max_examples=300, deadline=None, derandomize=True)
def test_versions_never_decrease_for_any_order_of_messages(plain, data):
    changes = history(plain)
    store = ConfigStore()
    seen = dict.fromkeys(NAMES, 0)
    for _ in range(data.draw(st.integers(1, 8))):
        revision = data.draw(st.integers(0, len(changes)))
        if data.draw(st.booleans()):
            store.apply_snapshot(revision, state_at(changes, revision))
        else:
            since = data.draw(st.integers(0, revision))
            if since <= store.revision:
                store.apply_batch(revision, changes[since:revision])
        versions = store.versions()
        for name in NAMES:
            version = versions.get(f"Workspace/{name}", seen[name])
            assert version >= seen[name]
            seen[name] = version
    store.apply_snapshot(len(changes), state_at(changes, len(changes)))
    expected = {stored.name: stored.version for stored in state_at(changes, len(changes))}
    assert store.versions() == {f"Workspace/{n}": v for n, v in expected.items()}


def test_changes_after_a_revision_are_complete_and_in_order():
    store = ConfigStore()
    changes = history([("u", False), ("v", False), ("u", False), ("w", True)])
    store.apply_batch(4, changes)
    assert [stored.version for stored in store.changes_after(0)] == [2, 3, 4]
    assert [stored.version for stored in store.changes_after(3)] == [4]
    follower = ConfigStore()
    follower.apply_batch(store.revision, store.changes_after(0))
    assert follower.versions() == store.versions()


def test_last_valid_object_stays_in_force_after_an_invalid_one():
    refused = []
    store = ConfigStore(on_invalid=lambda stored, error: refused.append(error.message))
    store.apply_object(StoredObject("Workspace", "w", 1, msgspec.Raw(VALUES[1])))
    store.apply_object(StoredObject("Workspace", "w", 2, msgspec.Raw(b'{"weighting":"x"}')))
    assert store.get(Workspace, "w").weighting == "false_refusals"
    assert "weighting" in refused[0]
