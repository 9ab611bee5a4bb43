"""Tests of the bounds of the case table and of the order of eviction."""

from whinrack.quarantine import Case, TargetEnd
from whinrack.quarantine._table import MAX_SUSPECTS, SUSPECT_LIFETIME_SECONDS, CaseTable

_MANY = 10_000


def record(table, fingerprint, ends, workspace="w", at=1.0):
    for end in ends:
        table.record_end(Case(fingerprint=fingerprint, workspace=workspace), TargetEnd(end), at)


def test_workspace_with_many_cases_evicts_only_its_own():
    table = CaseTable()
    record(table, "rare", "a", workspace="victim")
    for number in range(_MANY):
        record(table, f"f{number}", "a", workspace="flood")
    assert table.get("rare", "victim") is not None
    assert table.get("f0", "flood") is None


def test_full_table_evicts_from_the_workspace_with_the_most_cases():
    table = CaseTable()
    record(table, "rare", "a", workspace="victim")
    for number in range(_MANY):
        record(table, f"f{number}", "a", workspace=f"flood{number % 10}")
    assert table.get("rare", "victim") is not None
    assert (
        sum(len(cases) for cases in table._single_end_cases.values()) == table._single_count <= 4096
    )


def test_suspects_are_not_evicted_by_single_ends():
    table = CaseTable()
    record(table, "culprit", "abc")
    for number in range(_MANY):
        record(table, f"f{number}", "d", workspace=f"w{number % 50}")
    assert table.blamed_fingerprints() == {"culprit"}


def test_suspects_with_the_most_ends_are_kept():
    table = CaseTable()
    record(table, "culprit", "abc")
    for number in range(2 * MAX_SUSPECTS):
        record(table, f"f{number}", (f"x{number}", f"y{number}"), at=2.0)
    assert len(table.suspect_cases()) == MAX_SUSPECTS
    assert table.blamed_fingerprints() == {"culprit"}


def test_single_end_expires_after_ten_minutes_and_suspect_after_a_week():
    table = CaseTable()
    record(table, "single", "a", at=0.0)
    record(table, "suspect", "ab", at=0.0)
    table.remove_expired(599.0)
    assert table.get("single", "w") is not None
    table.remove_expired(601.0)
    assert table.get("single", "w") is None
    assert table.get("suspect") is not None
    table.remove_expired(SUSPECT_LIFETIME_SECONDS + 1.0)
    assert table.suspect_cases() == []


def test_checksum_does_not_depend_on_the_order_of_updates():
    first, second = CaseTable(), CaseTable()
    record(first, "f", "ab")
    record(first, "g", "cd")
    record(second, "g", "dc")
    assert first.checksum() != second.checksum()
    record(second, "f", "ba")
    assert first.checksum() == second.checksum() != 0


def test_single_ends_do_not_change_the_checksum():
    table = CaseTable()
    record(table, "f", "a")
    assert table.checksum() == CaseTable().checksum() == 0


def test_success_is_remembered_for_a_minute():
    table = CaseTable()
    table.record_success("f", 10.0)
    assert table.has_recent_success("f", 70.0)
    assert not table.has_recent_success("f", 70.1)
