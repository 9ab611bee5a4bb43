"""Quarantine of parts of prompts, whatever else the requests hold."""

import itertools

import pytest

from whinrack.quarantine import RequestSignature
from whinrack.quarantine._attribution import find_outside_rivals
from whinrack.quarantine._cases import Case, TargetEnd
from whinrack.quarantine.tests.test_quarantine import Fleet

PATIENCE_SECONDS = 0.0
_numbers = itertools.count()


@pytest.fixture
def fleet():
    return Fleet(patience=PATIENCE_SECONDS)


def request(*parts, workspace="w"):
    """Return the signature of a request that no other is equal to."""
    return RequestSignature(f"f{next(_numbers)}", workspace, "r", "p", parts)


def test_part_is_blamed_whoever_sends_it(fleet):
    for number, target in enumerate("abc"):
        fleet.end(number, target, request("first", "bad", f"x{number}", workspace=f"w{number}"))
        fleet.all[0].quarantine.record_success(request("first", "other"))
    fleet.clock[0] += 5.0
    assert fleet.admits(request("first", "bad", workspace="new")) == [False] * 4
    assert fleet.admits(request("first", "x0", "x1", "other")) == [True] * 4


def test_parts_that_ran_well_anywhere_are_not_blamed(fleet):
    fleet.all[3].quarantine.record_success(request("first", "beside"))
    for number, target in enumerate("abcd"):
        fleet.end(number % 3, target, request("first", "bad", "beside"))
    assert fleet.admits(request("first", "beside")) == [True] * 4
    assert fleet.admits(request("bad")) == [False] * 4


def test_ends_without_a_cause_blame_no_part_that_runs_well_beside_them(fleet):
    for number in range(15):
        fleet.clock[0] += 1.0
        fleet.end(number % 4, f"t{number}", request("first"), request("first", f"x{number}"))
        fleet.all[number % 3].quarantine.record_success(request("first"))
    assert fleet.admits(request("first")) == [True] * 4


def test_two_parts_that_end_targets_are_both_blamed(fleet):
    for number, target in enumerate("abcdef"):
        fleet.end(number % 4, target, request(("bad", "worse")[number % 2]))
    assert fleet.admits(request("bad")) == fleet.admits(request("worse")) == [False] * 4
    assert fleet.admits(request("fine")) == [True] * 4


def test_request_without_parts_is_blamed_beside_a_part(fleet):
    deadly = RequestSignature("deadly", "w", "r")
    for number, target in enumerate("abcdef"):
        fleet.end(number % 4, target, deadly if number % 2 else request("bad"))
    assert fleet.admits(deadly) == fleet.admits(request("bad")) == [False] * 4


def test_parts_that_always_come_together_have_three_trials_in_all(fleet):
    for target in "abc":
        fleet.end(0, target, request("bad", "beside"))
    admitted = 0
    for second in range(86_400):
        fleet.clock[0] += 1.0
        both = request("bad", "beside")
        if fleet.all[second % 4].admits(both):
            admitted += 1
            fleet.end(second % 4, f"later-{second}", both)
    assert admitted == 3


def test_innocent_one_of_two_parts_is_cleared_by_a_run_without_the_other(fleet):
    for target in "abc":
        fleet.end(0, target, request("bad", "beside"))
    alone = request("beside")
    assert fleet.all[1].admits(alone)
    fleet.all[1].quarantine.record_success(alone)
    assert fleet.admits(request("beside")) == [True] * 4
    assert fleet.admits(request("bad")) == [False] * 4


def test_blame_of_an_innocent_part_ends_with_its_first_trial(fleet):
    for target in "abc":
        fleet.end(0, target, request("rare"))
    assert fleet.admits(request("rare")) == [False] * 4
    fleet.clock[0] += 60.0
    trial = request("rare")
    assert fleet.all[2].admits(trial)
    fleet.all[2].quarantine.record_success(trial)
    assert fleet.admits(request("rare")) == [True] * 4


def test_trial_that_no_target_ran_is_kept_for_the_next_request_with_the_part(fleet):
    for target in "abc":
        fleet.end(0, target, request("bad"))
    fleet.clock[0] += 60.0
    unused = request("bad")
    assert fleet.all[2].admits(unused)
    fleet.all[2].quarantine.return_trial(unused)
    assert fleet.admits(request("bad")) == [False, False, True, False]


def test_blame_of_a_part_survives_a_kill_of_all_instances(fleet):
    for target in "abc":
        fleet.end(0, target, request("bad"))
    fleet.start(4)
    for instance in fleet.all:
        instance.quarantine.merge_stored_cases(instance.case_store.read().unwrap())
    assert fleet.admits(request("bad")) == [False] * 4


def test_operator_lifts_the_quarantine_of_a_part(fleet):
    for target in "abc":
        fleet.end(0, target, request("bad"))
    assert [case.fingerprint for case in fleet.all[1].quarantine.quarantined_cases()] == ["bad"]
    assert fleet.all[1].quarantine.lift("bad")
    assert fleet.admits(request("bad")) == [True] * 4


def case(name, *targets):
    return Case(fingerprint=name, ends=tuple(TargetEnd(target) for target in targets))


def test_names_of_one_request_are_no_rivals_of_each_other():
    whole, part, other = case("f", "a", "b", "c"), case("p", "a", "b", "c"), case("o", "a", "b")
    rivals = {"f": [part], "p": [whole]}
    assert find_outside_rivals([whole, part], rivals) == []
    rivals = {"f": [part, other], "p": [whole, other]}
    assert find_outside_rivals([whole, part], rivals) == [other]
    assert find_outside_rivals([part], rivals) == [whole, other]
