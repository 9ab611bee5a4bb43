"""Tests that merging evidence is commutative, associative and idempotent."""

import msgspec
from hypothesis import given
from hypothesis import strategies as st

from whinrack.quarantine import Case, TargetEnd
from whinrack.quarantine._cases import merge_evidence

ENDS = st.builds(TargetEnd, st.sampled_from("abcdef"), st.integers(0, 2))
TIMES = st.integers(0, 9).map(float)
CASES = st.builds(
    lambda epoch, ends, at, trials, tried: Case(
        fingerprint="f",
        workspace="w",
        route="r",
        epoch=epoch,
        ends=tuple(sorted(ends)),
        ended_at=at,
        trials=trials,
        tried_at=tried,
    ),
    st.integers(0, 2),
    st.sets(ENDS, max_size=5),
    TIMES,
    st.integers(0, 3),
    TIMES,
)


@given(CASES, CASES)
def test_merge_is_commutative(first, second):
    assert merge_evidence(first, second) == merge_evidence(second, first)


@given(CASES, CASES, CASES)
def test_merge_is_associative(first, second, third):
    assert merge_evidence(merge_evidence(first, second), third) == merge_evidence(
        first, merge_evidence(second, third)
    )


@given(CASES, CASES)
def test_merge_is_idempotent(first, second):
    known = merge_evidence(first, second)
    assert merge_evidence(known, second) == known


def test_end_that_several_instances_observe_counts_once():
    end = TargetEnd("t", 7)
    case = Case(fingerprint="f").with_end(end, 1.0)
    assert case.with_end(end, 2.0) == case


def test_ends_of_two_runs_of_a_target_count_twice():
    case = Case(fingerprint="f").with_end(TargetEnd("t", 7), 1.0).with_end(TargetEnd("t", 8), 2.0)
    assert len(case.ends) == 2


def test_evidence_from_before_a_clearing_stays_void():
    guilty = Case(fingerprint="f").with_end(TargetEnd("t", 7), 1.0)
    assert merge_evidence(guilty, guilty.cleared()).ends == ()


def test_encoded_case_is_bounded():
    case = Case(fingerprint="f")
    for number in range(100):
        case = case.with_end(
            TargetEnd(f"target-of-a-long-name-{number:02}", 1_796_261_342_399), 1.0
        )
    assert len(msgspec.msgpack.encode(case)) < 1000
