"""Tests of the era that a store names in its answers."""

from whinrack.store import EraChange, StoreEra


def observed(*texts):
    era, changes = StoreEra(), []
    era.listeners.append(changes.append)
    return era, changes, [era.observe(text) for text in texts]


def test_later_era_is_reported_once():
    era, changes, eras = observed("1", "1", "2", " 2 ", "4")
    assert eras == [1, 1, 2, 2, 4]
    assert changes == [EraChange(None, 1), EraChange(1, 2), EraChange(2, 4)]
    assert era.current == 4


def test_first_era_of_0_is_reported():
    _, changes, _ = observed("0", "0", "1")
    assert changes == [EraChange(None, 0), EraChange(0, 1)]


def test_late_answer_of_an_earlier_era_changes_nothing():
    era, changes, eras = observed("3", "2")
    assert eras == [3, 2]
    assert (era.current, era.late_answers, len(changes)) == (3, 1, 1)


def test_answer_without_a_valid_era_belongs_to_the_current_one():
    odd = (None, "", "abc", "-1", "1.5", "nan", "²", "9" * 400, "1048576")
    era, changes, eras = observed("2", *odd)
    assert eras == [2] * (1 + len(odd))
    assert (era.current, era.unreadable_answers, len(changes)) == (2, len(odd) - 1, 1)


def test_era_named_twice_in_an_answer_counts_once():
    """Otherwise a return of the store from a copy is missed behind a proxy that adds the field."""
    era, changes, eras = observed("1, 1", "2 ,2", "2,2,2")
    assert eras == [1, 2, 2]
    assert changes == [EraChange(None, 1), EraChange(1, 2)]
    assert era.unreadable_answers == 0


def test_answer_that_names_different_eras_belongs_to_the_current_one():
    odd = ("1, 2", "2, 3", "3,", ",", "2, x", ", ".join(["2"] * 100))
    era, changes, eras = observed("2", *odd)
    assert eras == [2] * (1 + len(odd))
    assert (era.current, era.unreadable_answers, len(changes)) == (2, len(odd), 1)


def test_unreadable_era_is_reported_once():
    era, unreadable = StoreEra(), []
    era.unreadable_listeners.append(unreadable.append)
    for text in ("1", "abc", "1, 2", "abc", None, "x" * 1000):
        era.observe(text)
    assert unreadable == ["abc"]


def test_era_received_from_a_peer_is_reported_once():
    era, changes, _ = observed("1")
    era.advance_to(2)
    era.observe("2")
    era.advance_to(1)
    assert (era.current, era.late_answers) == (2, 0)
    assert changes == [EraChange(None, 1), EraChange(1, 2)]
