"""What an instance remembers is bounded, and what matters outlasts what doesn't."""

from whinrack.quarantine import Case, TargetEnd
from whinrack.quarantine._table import MAX_SUSPECTS, SUSPECT_LIFETIME_SECONDS, CaseTable

_MANY = 10_000


def record(table, fingerprint, ends, workspace="w", at=1.0):
    for end in ends:
        table.record_end(Case(fingerprint=fingerprint, workspace=workspace), TargetEnd(end), at)


def test_a_caller_that_varies_its_requests_displaces_its_own():
    table = CaseTable()
    record(table, "rare", "a", workspace="victim")
    for number in range(_MANY):
        record(table, f"f{number}", "a", workspace="flood")
    assert table.get("rare", "victim") is not None
    assert table.get("f0", "flood") is None


def test_many_callers_displace_the_one_with_most():
    table = CaseTable()
    record(table, "rare", "a", workspace="victim")
    for number in range(_MANY):
        record(table, f"f{number}", "a", workspace=f"flood{number % 10}")
    assert table.get("rare", "victim") is not None
    assert sum(len(own) for own in table._single_end_cases.values()) == table._single_count <= 4096


def test_a_suspect_is_never_displaced_by_chance_ends():
    table = CaseTable()
    record(table, "culprit", "abc")
    for number in range(_MANY):
        record(table, f"f{number}", "d", workspace=f"w{number % 50}")
    assert table.blamed_fingerprints() == {"culprit"}


def test_of_too_many_suspects_those_with_most_ends_stay():
    table = CaseTable()
    record(table, "culprit", "abc")
    for number in range(2 * MAX_SUSPECTS):
        record(table, f"f{number}", (f"x{number}", f"y{number}"), at=2.0)
    assert len(table.suspect_cases()) == MAX_SUSPECTS
    assert table.blamed_fingerprints() == {"culprit"}


def test_a_single_end_is_forgotten_after_ten_minutes_a_suspect_after_a_week():
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


def test_equal_knowledge_has_equal_checksums_whatever_its_order():
    one, two = CaseTable(), CaseTable()
    record(one, "f", "ab")
    record(one, "g", "cd")
    record(two, "g", "dc")
    assert one.checksum() != two.checksum()
    record(two, "f", "ba")
    assert one.checksum() == two.checksum() != 0


def test_single_ends_are_not_compared():
    table = CaseTable()
    record(table, "f", "a")
    assert table.checksum() == CaseTable().checksum() == 0


def test_a_success_is_remembered_for_a_minute():
    table = CaseTable()
    table.record_success("f", 10.0)
    assert table.has_recent_success("f", 70.0)
    assert not table.has_recent_success("f", 70.1)
