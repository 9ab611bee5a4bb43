"""Evidence of several instances is the same whatever the order in which it is put together."""

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
def test_order_does_not_matter(one, two):
    assert merge_evidence(one, two) == merge_evidence(two, one)


@given(CASES, CASES, CASES)
def test_grouping_does_not_matter(one, two, three):
    assert merge_evidence(merge_evidence(one, two), three) == merge_evidence(
        one, merge_evidence(two, three)
    )


@given(CASES, CASES)
def test_the_same_word_once_more_changes_nothing(one, two):
    known = merge_evidence(one, two)
    assert merge_evidence(known, two) == known


def test_several_instances_see_one_end():
    end = TargetEnd("t", 7)
    case = Case(fingerprint="f").with_end(end, 1.0)
    assert case.with_end(end, 2.0) == case


def test_two_starts_of_a_target_are_two_ends():
    case = Case(fingerprint="f").with_end(TargetEnd("t", 7), 1.0).with_end(TargetEnd("t", 8), 2.0)
    assert len(case.ends) == 2


def test_what_was_known_before_a_clearing_stays_void():
    guilty = Case(fingerprint="f").with_end(TargetEnd("t", 7), 1.0)
    assert merge_evidence(guilty, guilty.cleared()).ends == ()


def test_a_case_is_bounded():
    case = Case(fingerprint="f")
    for number in range(100):
        case = case.with_end(
            TargetEnd(f"target-of-a-long-name-{number:02}", 1_796_261_342_399), 1.0
        )
    assert len(msgspec.msgpack.encode(case)) < 1000
