"""Tests that fingerprints are equal exactly for the same host, path, caller and body."""

import itertools

from whinrack.quarantine import compute_fingerprint

REQUEST = {"host": "h", "target": b"/x?a=1", "workspace": "w", "body": b"text"}


def test_each_part_changes_the_fingerprint():
    changed = {"host": "i", "target": b"/x?a=2", "workspace": "v", "body": b"texts"}
    fingerprints = {compute_fingerprint(**REQUEST)}
    fingerprints |= {
        compute_fingerprint(**REQUEST | {part: value}) for part, value in changed.items()
    }
    assert len(fingerprints) == 5


def test_bytes_that_move_from_one_part_to_the_next_change_the_fingerprint():
    whole = b"abcd"
    fingerprints = {
        compute_fingerprint("h", whole[:cut], "", whole[cut:]) for cut in range(len(whole) + 1)
    } | {
        compute_fingerprint("h", whole, "w", b""),
        compute_fingerprint("hw", whole, "", b""),
    }
    assert len(fingerprints) == 7


def test_fingerprint_is_the_same_in_each_process():
    assert compute_fingerprint(**REQUEST) == "a040bbf11af85c66"


def test_requests_without_a_body_differ_by_caller():
    fingerprints = [compute_fingerprint("h", b"/x", workspace, b"") for workspace in ("", "w")]
    assert all(first != second for first, second in itertools.combinations(fingerprints, 2))
