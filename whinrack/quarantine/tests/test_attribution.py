"""Tests that the request that was present at each end of a target is blamed."""

import random

from whinrack.quarantine import Case, TargetEnd
from whinrack.quarantine._attribution import find_culprits, find_rivals


def case(fingerprint, ends):
    return Case(fingerprint=fingerprint, ends=tuple(TargetEnd(end) for end in ends))


def test_three_ends_are_blamed_and_two_are_not():
    assert find_culprits([case("f", "abc"), case("g", "de")]) == {"f"}


def test_requests_that_ran_beside_a_blamed_one_are_not_blamed():
    culprit = case("culprit", "abcd")
    assert find_culprits([culprit, case("neighbour", "abc"), case("other", "bcd")]) == {"culprit"}


def test_two_culprits_are_both_blamed():
    assert find_culprits([case("one", "abcd"), case("two", "defg")]) == {"one", "two"}


def test_request_that_ran_beside_two_culprits_is_not_blamed():
    one, two, neighbour = case("one", "abcd"), case("two", "efgh"), case("neighbour", "aef")
    assert find_culprits([one, two, neighbour]) == {"one", "two"}


def test_requests_with_equal_evidence_are_both_blamed():
    assert find_culprits([case("one", "abc"), case("two", "abc")]) == {"one", "two"}


def rivals(*cases):
    found = find_rivals(cases, find_culprits(cases))
    return {name: set(others) for name, others in found.items()}


def test_requests_with_the_same_ends_are_rivals():
    assert rivals(case("one", "abc"), case("two", "abc")) == {"one": {"two"}, "two": {"one"}}


def test_requests_with_mostly_the_same_ends_are_rivals():
    """The end that explains the neighbour's third one may not be known here yet."""
    assert rivals(case("culprit", "abd"), case("neighbour", "abc")) == {
        "culprit": {"neighbour"},
        "neighbour": {"culprit"},
    }


def test_culprits_with_enough_ends_of_their_own_have_no_rivals():
    assert rivals(case("one", "abcd"), case("two", "defg")) == {}
    assert rivals(case("culprit", "abcd"), case("neighbour", "abc")) == {}


def test_three_requests_with_the_same_ends_are_rivals_of_each_other():
    tied = rivals(*(case(name, "abc") for name in ("one", "two", "three")))
    assert tied["one"] == {"two", "three"} and len(tied) == 3


def simulate_ends(seed, targets=6, callers=40, ends=8):
    """Return the cases after a culprit ended some targets; interrupted requests are repeated."""
    chance = random.Random(seed)
    ends_of = {f"innocent-{number}": set() for number in range(callers)} | {"culprit": set()}
    for end in range(ends):
        ended_target = chance.randrange(targets)
        for name, seen in ends_of.items():
            if name == "culprit" or (len(seen) < 4 and chance.randrange(targets) == ended_target):
                seen.add(str(end))
    return [case(name, sorted(seen)) for name, seen in ends_of.items()]


def test_only_the_culprit_is_blamed_when_interrupted_requests_are_repeated():
    wrong = [seed for seed in range(200) if find_culprits(simulate_ends(seed)) != {"culprit"}]
    assert wrong == []
