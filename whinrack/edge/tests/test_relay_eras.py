"""Changes that a relay returns after the store was restored with a lower revision number.

A comparison by number alone returned nothing until the old number was exceeded.
"""

from whinrack.edge._relay import WatchCache
from whinrack.store import StoredObject, compose_revision


def test_a_later_era_is_newer_than_any_revision_of_an_earlier_one():
    cache = WatchCache()
    cache.replace(compose_revision(1, 900), (StoredObject("k", "a", compose_revision(1, 900)),))
    restored = compose_revision(2, 700)
    cache.replace(restored, (StoredObject("k", "b", restored),))
    assert cache.changes_since(compose_revision(1, 900), 0.0).gap
    assert [item.name for item in cache.snapshot().objects] == ["b"]
    later = compose_revision(2, 701)
    cache.apply(later, (StoredObject("k", "c", later),))
    assert [item.name for item in cache.changes_since(restored, 0.0).objects] == ["c"]
