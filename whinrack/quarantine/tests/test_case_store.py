"""Suspects outlast a kill of all instances; a trial is taken once in the whole fleet."""

import pytest
from returns.result import Failure, Success

from standins.memory_store import MemoryStore
from whinrack.quarantine import Case, CaseStore, TargetEnd

NOW = 1_000_000.0


def case(fingerprint="f", ends="abc", at=NOW):
    known = Case(fingerprint=fingerprint)
    for end in ends:
        known = known.with_end(TargetEnd(end), at)
    return known


@pytest.fixture
def store():
    return MemoryStore()


@pytest.fixture
def clock():
    return [NOW]


@pytest.fixture
def archives(store, clock):
    return [CaseStore(store, lambda: clock[0]) for _ in range(2)]


def test_nothing_is_stored_at_first(archives):
    assert archives[0].read() == Success(())


def test_two_instances_write_what_they_know(archives):
    archives[0].write([case(ends="ab")])
    archives[1].write([case(ends="bc"), case("g", "de")])
    known = {one.fingerprint: len(one.ends) for one in archives[0].read().unwrap()}
    assert known == {"f": 3, "g": 2}


def test_writing_what_is_stored_is_no_write(store, archives):
    archives[0].write([case()])
    revision = store.revision
    archives[0].write([case()])
    assert store.revision == revision


def test_a_lost_reply_is_written_once_more(store, archives):
    store.lose_replies = 1
    assert isinstance(archives[0].write([case()]), Success)


def test_a_store_that_is_down_is_a_failure(store, archives):
    store.down = True
    assert isinstance(archives[0].write([case()]), Failure)
    assert isinstance(archives[0].read(), Failure)


def test_an_object_that_others_spoilt_is_written_anew(store, archives):
    for junk in (b"[]", b"7", b'{"cases": 5}', b'{"cases": [[1, 2]]}'):
        store.put("Quarantine", "main", junk, store.revision)
        assert archives[0].read() == Success(())
        archives[1].write([case()])
        assert archives[0].read() == Success((case(),))


def test_what_ended_nothing_for_a_week_is_dropped(archives, clock):
    archives[0].write([case("old")])
    clock[0] += 8 * 86_400.0
    archives[0].write([case("new", at=clock[0])])
    assert [one.fingerprint for one in archives[1].read().unwrap()] == ["new"]


def test_a_trial_is_taken_once(archives, clock):
    archives[0].write([case()])
    assert archives[0].claim_trial(case()) == Success(False)
    clock[0] += 31.0
    taken = [archive.claim_trial(case()) for archive in archives]
    assert taken == [Success(True), Success(False)]


def test_two_that_try_at_the_same_moment_get_one_trial(store, archives, clock):
    archives[0].write([case()])
    archives[1].read()
    clock[0] += 31.0
    store.before_write = lambda: archives[1].claim_trial(case())
    assert archives[0].claim_trial(case()) == Success(False)


def test_a_trial_whose_write_has_no_answer_is_not_taken(store, archives, clock):
    archives[0].write([case()])
    clock[0] += 31.0
    store.lose_replies = 1
    assert archives[0].claim_trial(case()) == Success(False)
    assert archives[1].claim_trial(case()) == Success(False)


def test_without_the_store_there_is_no_trial(store, archives, clock):
    clock[0] += 31.0
    store.down = True
    assert isinstance(archives[0].claim_trial(case()), Failure)
