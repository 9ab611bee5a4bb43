"""Requests with the same path, caller and body have one name, others have others."""

import itertools

from whinrack.quarantine import compute_fingerprint

REQUEST = {"host": "h", "target": b"/x?a=1", "workspace": "w", "body": b"text"}


def test_each_part_counts():
    other = {"host": "i", "target": b"/x?a=2", "workspace": "v", "body": b"texts"}
    names = {compute_fingerprint(**REQUEST)}
    names |= {compute_fingerprint(**REQUEST | {part: value}) for part, value in other.items()}
    assert len(names) == 5


def test_bytes_that_move_from_one_part_to_the_next_give_another_name():
    whole = b"abcd"
    names = {
        compute_fingerprint("h", whole[:cut], "", whole[cut:]) for cut in range(len(whole) + 1)
    } | {
        compute_fingerprint("h", whole, "w", b""),
        compute_fingerprint("hw", whole, "", b""),
    }
    assert len(names) == 7


def test_it_is_the_same_in_each_process():
    assert compute_fingerprint(**REQUEST) == "a040bbf11af85c66"


def test_an_empty_body_is_a_body():
    names = [compute_fingerprint("h", b"/x", workspace, b"") for workspace in ("", "w")]
    assert all(one != two for one, two in itertools.combinations(names, 2))
