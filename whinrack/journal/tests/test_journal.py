"""Each request is billed once, with lost replies, outages and any order of reading."""

import hypothesis.strategies as st
from hypothesis import given, settings

from standins.memory_store import MemoryStore
from whinrack.journal import BillRecord, JournalSegment, JournalWriter, decode_segment, merge_bills


def record(identity, tokens=10, against=""):
    return BillRecord(identity, "w", "b", tokens, against)


def stored(store):
    return [decode_segment(item.value) for item in store.objects.values()]


RECORDS = st.lists(
    st.tuples(
        st.sampled_from(["w/1", "w/2", "w/3"]),
        st.integers(1, 50),
        st.sampled_from(["", "home.1"]),
    ),
    max_size=8,
)


@given(st.lists(RECORDS, min_size=1, max_size=4), st.randoms())
@settings(max_examples=200, deadline=None, derandomize=True)
def test_merged_bill_does_not_depend_on_the_order_of_segments(journals, random):
    segments = [
        JournalSegment(f"r{index}.1", 0, tuple(record(*fields) for fields in rows))
        for index, rows in enumerate(journals)
    ]
    bills = merge_bills(segments)
    random.shuffle(segments)
    assert merge_bills(segments) == bills
    identities = {fields[0] for rows in journals for fields in rows}
    spent = sum(fields[1] for rows in journals for fields in rows)
    if identities:
        assert bills["w"].requests == len(identities)
        assert bills["w"].tokens + bills["w"].duplicate_tokens == spent


def test_provisional_record_yields_to_a_final_one():
    segments = [
        JournalSegment("a.1", 0, (record("w/1", 30, "home.1"),)),
        JournalSegment("home.1", 0, (record("w/1", 20),)),
    ]
    bill = merge_bills(segments)["w"]
    assert (bill.requests, bill.tokens, bill.duplicate_tokens) == (1, 20, 30)


def test_commits_survive_lost_replies_and_outages_without_duplicates():
    store = MemoryStore()
    writer = JournalWriter(store, "r.1", seed=1, sleep=lambda seconds: None)
    for number in range(600):
        writer.add(record(f"w/{number}"))
        store.replies_to_drop = number % 3 == 0
        store.down = number % 7 == 0
        writer.commit()
    store.down = False
    assert writer.commit()
    assert merge_bills(stored(store))["w"].requests == 600
    assert sum(len(segment.records) for segment in stored(store)) == 600


def test_committed_count_shows_which_records_are_committed():
    store = MemoryStore()
    writer = JournalWriter(store, "r.1")
    expected_count = writer.add(record("w/1"))
    store.down = True
    assert not writer.commit()
    assert writer.committed_count < expected_count
    store.down = False
    assert writer.commit()
    assert writer.committed_count >= expected_count
