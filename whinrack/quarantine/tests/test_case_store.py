"""Tests of stored cases, and of trials that one instance of the fleet can claim."""

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
def case_stores(store, clock):
    return [CaseStore(store, lambda: clock[0]) for _ in range(2)]


def test_nothing_is_stored_at_first(case_stores):
    assert case_stores[0].read() == Success(())


def test_writes_of_two_instances_are_merged(case_stores):
    case_stores[0].write([case(ends="ab")])
    case_stores[1].write([case(ends="bc"), case("g", "de")])
    known = {stored.fingerprint: len(stored.ends) for stored in case_stores[0].read().unwrap()}
    assert known == {"f": 3, "g": 2}


def test_stored_cases_are_not_written_again(store, case_stores):
    case_stores[0].write([case()])
    revision = store.revision
    case_stores[0].write([case()])
    assert store.revision == revision


def test_write_with_a_lost_reply_is_repeated(store, case_stores):
    store.replies_to_drop = 1
    assert isinstance(case_stores[0].write([case()]), Success)


def test_reads_and_writes_fail_while_the_store_is_down(store, case_stores):
    store.down = True
    assert isinstance(case_stores[0].write([case()]), Failure)
    assert isinstance(case_stores[0].read(), Failure)


def test_invalid_stored_object_is_overwritten(store, case_stores):
    for junk in (b"[]", b"7", b'{"cases": 5}', b'{"cases": [[1, 2]]}'):
        store.put("Quarantine", "main", junk, store.revision)
        assert case_stores[0].read() == Success(())
        case_stores[1].write([case()])
        assert case_stores[0].read() == Success((case(),))


def test_case_without_an_end_for_a_week_is_dropped(case_stores, clock):
    case_stores[0].write([case("old")])
    clock[0] += 8 * 86_400.0
    case_stores[0].write([case("new", at=clock[0])])
    assert [stored.fingerprint for stored in case_stores[1].read().unwrap()] == ["new"]


def test_trial_is_claimed_by_one_instance(case_stores, clock):
    case_stores[0].write([case()])
    assert case_stores[0].claim_trial([case()]) == Success(False)
    clock[0] += 31.0
    claimed = [case_store.claim_trial([case()]) for case_store in case_stores]
    assert claimed == [Success(True), Success(False)]


def test_trial_is_claimed_by_one_of_two_concurrent_instances(store, case_stores, clock):
    case_stores[0].write([case()])
    case_stores[1].read()
    clock[0] += 31.0
    store.before_write = lambda: case_stores[1].claim_trial([case()])
    assert case_stores[0].claim_trial([case()]) == Success(False)


def test_trial_is_not_run_if_the_reply_of_its_claim_is_lost(store, case_stores, clock):
    case_stores[0].write([case()])
    clock[0] += 31.0
    store.replies_to_drop = 1
    assert case_stores[0].claim_trial([case()]) == Success(False)
    assert case_stores[1].claim_trial([case()]) == Success(False)


def test_no_trial_can_be_claimed_while_the_store_is_down(store, case_stores, clock):
    clock[0] += 31.0
    store.down = True
    assert isinstance(case_stores[0].claim_trial([case()]), Failure)


@pytest.fixture
def rivals(case_stores):
    rivals = case("f"), case("g")
    case_stores[0].write(rivals)
    return rivals


def claims_rival_trial(case_store, own, other):
    return case_store.claim_rival_trial([own], [other]).unwrap().is_claimed


def test_trial_of_a_request_with_rivals_is_claimed_by_one_instance(case_stores, rivals):
    assert claims_rival_trial(case_stores[0], *rivals)
    assert not claims_rival_trial(case_stores[1], *rivals)


def test_trial_is_not_claimed_while_a_trial_of_a_rival_is_unknown(case_stores, rivals):
    own, other = rivals
    assert claims_rival_trial(case_stores[0], other, own)
    claim = case_stores[1].claim_rival_trial([own], [other]).unwrap()
    assert not claim.is_claimed
    (known,) = (stored for stored in claim.cases if stored.fingerprint == other.fingerprint)
    assert claims_rival_trial(case_stores[1], own, known)


def test_trial_of_a_request_that_was_cleared_is_not_claimed(case_stores, rivals):
    own, other = rivals
    case_stores[0].write([own.cleared()])
    assert not claims_rival_trial(case_stores[1], own, other)
