"""What a fed peer gets once its feeder has heard of a later era."""

from whinrack.edge._relay import KindRelay
from whinrack.store import StoredObject, compose_revision


def test_a_fed_peer_got_nothing_until_the_old_number_was_passed():
    relay = KindRelay()
    relay.listed(compose_revision(1, 900), (StoredObject("k", "a", compose_revision(1, 900)),))
    restored = compose_revision(2, 700)
    relay.listed(restored, (StoredObject("k", "b", restored),))
    assert relay.batch(compose_revision(1, 900), 0.0).gap
    assert [item.name for item in relay.snapshot().objects] == ["b"]
    later = compose_revision(2, 701)
    relay.changed(later, (StoredObject("k", "c", later),))
    assert [item.name for item in relay.batch(restored, 0.0).objects] == ["c"]
