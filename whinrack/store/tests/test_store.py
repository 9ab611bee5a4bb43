"""Tests of the object editor, the metered store, the HTTP client and the token bucket."""

from urllib.parse import unquote, urlsplit

import msgspec
import pytest
from returns.result import Failure, Success

from standins.memory_store import MemoryStore
from whinrack.exceptions import PlatformUnavailable, RateExceeded, WriteUnknown
from whinrack.store import HttpObjectStore, MeteredStore, ObjectEditor, TokenBucket


class Marks(msgspec.Struct):
    """Value that records which changes were applied."""

    marks: dict[str, int] = {}


def test_calls_and_bytes_are_counted_by_operation_and_kind():
    counted = []
    store = MeteredStore(MemoryStore(), lambda *call: counted.append(call))
    store.put("k", "a", b'"12345"', 0)
    store.put("k", "a", b'"1"', 9)
    store.get("k", "a")
    store.list(["k", "m"])
    assert counted == [("put k", "ok"), ("put k", "conflict"), ("get k", "ok"), ("list k+m", "ok")]
    # The two values that were sent, the result of the first write and the object in the conflict.
    assert store.bytes["put k"] == 7 + 3 + 7 + 7
    assert (store.bytes["get k"], store.bytes["list k+m"]) == (7, 7)


def editor(store):
    return ObjectEditor(store, "Marks", Marks, seed=1, sleep=lambda seconds: None)


def add(mark):
    """Return an idempotent change that adds a mark."""

    def change(value):
        value = value or Marks()
        if mark in value.marks:
            return None
        value.marks[mark] = len(value.marks) + 1
        return value

    return change


def test_change_with_a_lost_reply_is_applied_once():
    store = MemoryStore()
    store.replies_to_drop = 1
    assert editor(store).apply("m", add("one")).unwrap().marks == {"one": 1}
    assert store.revision == 1


def test_change_with_a_lost_request_is_repeated():
    store = MemoryStore()
    store.writes_to_drop = 2
    assert editor(store).apply("m", add("one")).unwrap().marks == {"one": 1}


def test_outage_after_a_lost_reply_has_an_unknown_outcome():
    store = MemoryStore()

    def go_down():
        store.replies_to_drop = 1
        store.get = lambda kind, name: Failure(PlatformUnavailable("down"))

    store.before_write = go_down
    result = editor(store).apply("m", add("one"))
    assert isinstance(result.failure(), WriteUnknown)


def test_concurrent_changes_are_both_applied():
    store = MemoryStore()
    first, second = editor(store), editor(store)
    store.before_write = lambda: second.apply("m", add("two"))
    first.apply("m", add("one"))
    assert set(first.read("m").unwrap().marks) == {"one", "two"}


def test_stale_cached_value_does_not_make_a_change_a_no_op():
    """The release of a grant was skipped because the cached value lacked the holder's row."""
    store = MemoryStore()
    first, second = editor(store), editor(store)
    first.apply("m", add("one"))
    second.apply("m", add("two"))

    def remove(value):
        if value is None or "two" not in value.marks:
            return None
        del value.marks["two"]
        return value

    first.apply("m", remove)
    assert set(second.read("m").unwrap().marks) == {"one"}


def test_change_without_a_conflict_costs_one_call():
    store = MemoryStore()
    marks_editor = editor(store)
    marks_editor.apply("m", add("one"))
    before = store.call_count
    marks_editor.apply("m", add("two"))
    assert store.call_count == before + 1


def test_refused_connection_is_not_a_lost_write():
    store = HttpObjectStore("127.0.0.1:1", timeout=0.2)
    assert isinstance(store.put("K", "n", b"{}", 0).failure(), PlatformUnavailable)


@pytest.mark.parametrize("name", ["#n", "&n=1", "%7En", "+n", "a b", "a/b", "a?b", "a\u00e4"])
def test_object_of_any_name_is_in_the_path_of_its_calls(name):
    store = HttpObjectStore("127.0.0.1:1")
    sent = []

    def call(method, path, *_):
        sent.append((method, unquote(urlsplit(path).path)))
        return Failure(PlatformUnavailable("down"))

    store._connections.call = call
    store._back_off = lambda result: None
    store.get("K", name)
    store.put("K", name, b"{}", 0)
    store.delete("K", name, 1)
    path = f"/v1/objects/K/{name}"
    assert sent == [("GET", path), ("PUT", path), ("DELETE", path)]


def test_most_calls_fail_at_once_while_the_platform_is_down():
    now = [0.0]
    sent = []
    store = HttpObjectStore(
        "127.0.0.1:1",
        rate=1000.0,
        on_call=lambda operation, result: sent.append(now[0]),
        clock=lambda: now[0],
    )
    for step in range(1000):
        now[0] = step / 100
        assert isinstance(store.get("K", "n").failure(), PlatformUnavailable)
    assert 8 <= len(sent) <= 16
    assert sent[1] - sent[0] < 0.1
    assert max(b - a for a, b in zip(sent, sent[1:], strict=False)) < 1.1


def test_calls_above_the_rate_are_delayed_and_then_fail():
    waits = []
    now = [0.0]

    def clock():
        now[0] += 1e-6
        return now[0]

    store = HttpObjectStore("127.0.0.1:1", rate=2.0, max_wait=1.0, clock=clock, sleep=waits.append)
    store._back_off = lambda result: None
    results = [store.get("K", "n") for _ in range(5)]
    waits = [round(wait, 3) for wait in waits]
    assert waits == [0.5, 1.0]
    assert isinstance(results[-1].failure(), RateExceeded)


def test_token_bucket_accumulates_up_to_its_burst():
    bucket = TokenBucket(rate=1.0, burst=2.0)
    assert [bucket.try_acquire(0.0) for _ in range(3)] == [True, True, False]
    assert [bucket.try_acquire(100.0) for _ in range(3)] == [True, True, False]


def test_memory_store_writes_conditionally():
    store = MemoryStore()
    assert isinstance(store.put("K", "n", b"1", 0), Success)
    assert isinstance(store.put("K", "n", b"2", 0), Failure)
