"""A target is its name and its start: what an earlier start said or did is not the later one's."""

import pytest

from whinrack.dispatch import TargetRecord, TargetRegistry

NOW = 10.0


def record(started, leaving=False, port=1, name="t", version=0):
    return TargetRecord(name, "p", "h", port, started=started, is_leaving=leaving, version=version)


@pytest.fixture
def registry():
    return TargetRegistry(seed=1)


def chosen(registry, tried=()):
    state = registry.choose("p", "", tried, NOW)
    return None if state is None else state.record.started


def test_a_later_start_is_not_leaving_because_the_earlier_one_was(registry):
    registry.put(record(5))
    registry.put(record(5, leaving=True))
    assert chosen(registry) is None
    registry.put(record(6))
    assert chosen(registry) == 6


def test_nor_because_a_peer_says_so_of_the_earlier_one(registry):
    registry.put(record(6))
    assert not registry.mark_leaving("t", 5)
    assert chosen(registry) == 6
    assert registry.mark_leaving("t", 6)
    assert chosen(registry) is None


def test_a_peer_that_tells_no_start_means_the_one_that_is_known(registry):
    registry.put(record(5))
    assert registry.mark_leaving("t")
    registry.put(record(6))
    assert chosen(registry) == 6


def test_a_word_on_a_later_start_that_comes_before_its_record_counts_for_it(registry):
    registry.put(record(5))
    registry.mark_leaving("t", 6)
    registry.put(record(6))
    assert chosen(registry) is None


def test_an_earlier_start_never_displaces_a_later_one(registry):
    registry.put(record(6))
    assert not registry.put(record(5, leaving=True))
    registry.put(record(5))
    assert chosen(registry) == 6
    registry.replace_all([record(5)])
    assert chosen(registry) == 6


def test_it_is_not_set_aside_for_what_the_earlier_one_did(registry):
    registry.put(record(5))
    registry.put(record(5, name="other", port=2))
    (state, _) = registry.targets_in_pool("p")
    state.ejection.record_unreachable(NOW)
    assert chosen(registry, tried=["other@5"]) == 5
    registry.put(record(6))
    (current,) = [one for one in registry.targets_in_pool("p") if one.record.incarnation == "t"]
    assert current.is_available(NOW)


def test_it_is_not_among_the_tried(registry):
    registry.put(record(5))
    (state,) = registry.targets_in_pool("p")
    tried = {state.record.identity}
    assert chosen(registry, tried) is None
    registry.put(record(6))
    assert chosen(registry, tried) == 6


def test_loads_that_peers_told_of_the_earlier_one_are_not_its(registry):
    registry.put(record(5))
    (before,) = registry.targets_in_pool("p")
    registry.put(record(6))
    (after,) = registry.targets_in_pool("p")
    assert before.digest != after.digest


def test_requests_at_the_earlier_one_do_not_count_at_it(registry):
    registry.put(record(5))
    (before,) = registry.targets_in_pool("p")
    registry.begin_request(before)
    registry.put(record(6))
    (after,) = registry.targets_in_pool("p")
    assert after.in_flight == 0
    registry.end_request(before)
    assert chosen(registry) == 6


def test_the_end_of_the_earlier_one_is_told(registry):
    ended = []
    registry.on_target_replaced.append(ended.append)
    registry.put(record(5))
    (before,) = registry.targets_in_pool("p")
    registry.put(record(6))
    assert ended == [before]
    assert before.is_leaving


def test_what_is_learnt_at_the_address_of_the_earlier_one_takes_nothing_from_the_later(registry):
    registry.put(record(5))
    (before,) = registry.targets_in_pool("p")
    registry.put(record(6, port=2))
    registry.remove_misdirected(before)
    assert chosen(registry) == 6


@pytest.mark.parametrize("planned", [True, False])
def test_whether_the_earlier_one_ended_as_planned_is_what_it_said(registry, planned):
    registry.put(record(5))
    (before,) = registry.targets_in_pool("p")
    registry.begin_request(before)
    if planned:
        registry.mark_leaving("t", 5)
    registry.remove("t")
    registry.put(record(6))
    assert before.is_replaced is not planned


def test_a_record_of_another_name_with_its_address_takes_nothing_from_it(registry):
    ended = []
    registry.on_target_replaced.append(ended.append)
    registry.put(record(5))
    registry.put(record(6, name="u"))
    assert ended == []
    assert len(registry.targets_in_pool("p")) == 2


def test_a_start_in_the_future_that_another_writer_made_up_keeps_no_good_record_out(registry):
    registry.put(record(5))
    registry.put(record(4_102_444_800_000, version=8))
    registry.put(record(5, version=9))
    assert chosen(registry) == 5


def test_a_record_with_another_pool_serves_that_one_only(registry):
    registry.put(record(5))
    registry.put(TargetRecord("t", "q", "h", 1, started=5))
    assert registry.targets_in_pool("p") == []
    assert len(registry.targets_in_pool("q")) == 1


def test_an_entry_without_a_start_works_as_it_did(registry):
    registry.put(record(0))
    assert chosen(registry) == 0
    assert registry.put(record(0, leaving=True))
    registry.put(record(0))
    assert chosen(registry) is None


def test_an_entry_that_lost_its_start_is_the_same_target(registry):
    registry.put(record(5))
    registry.put(record(0, leaving=True))
    assert chosen(registry) is None
