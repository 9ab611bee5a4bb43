"""Starts of one target are independent: the state of an earlier one does not affect a later one."""

import pytest

from whinrack.dispatch import TargetRecord, TargetRegistry

NOW = 10.0


def record(started, leaving=False, port=1, name="t", revision=0):
    return TargetRecord(
        name, "p", "h", port, started=started, is_leaving=leaving, revision=revision
    )


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


def test_a_peers_announcement_about_an_earlier_start_does_not_affect_a_later_one(registry):
    registry.put(record(6))
    assert not registry.mark_leaving("t", 5)
    assert chosen(registry) == 6
    assert registry.mark_leaving("t", 6)
    assert chosen(registry) is None


def test_an_announcement_without_a_start_refers_to_the_known_start(registry):
    registry.put(record(5))
    assert registry.mark_leaving("t")
    registry.put(record(6))
    assert chosen(registry) == 6


def test_an_announcement_that_arrives_before_the_record_takes_effect(registry):
    registry.put(record(5))
    registry.mark_leaving("t", 6)
    registry.put(record(6))
    assert chosen(registry) is None


def test_an_earlier_start_never_replaces_a_later_one(registry):
    registry.put(record(6))
    assert not registry.put(record(5, leaving=True))
    registry.put(record(5))
    assert chosen(registry) == 6
    registry.replace_all([record(5)])
    assert chosen(registry) == 6


def test_a_later_start_is_not_ejected_for_failures_of_the_earlier_one(registry):
    registry.put(record(5))
    registry.put(record(5, name="other", port=2))
    (state, _) = registry.targets_in_pool("p")
    state.ejection.record_unreachable(NOW)
    assert chosen(registry, tried=["other@5"]) == 5
    registry.put(record(6))
    (current,) = [
        state for state in registry.targets_in_pool("p") if state.record.incarnation == "t"
    ]
    assert current.is_available(NOW)


def test_a_later_start_does_not_count_as_tried(registry):
    registry.put(record(5))
    (state,) = registry.targets_in_pool("p")
    tried = {state.record.identity}
    assert chosen(registry, tried) is None
    registry.put(record(6))
    assert chosen(registry, tried) == 6


def test_loads_reported_for_an_earlier_start_do_not_apply_to_a_later_one(registry):
    registry.put(record(5))
    (before,) = registry.targets_in_pool("p")
    registry.put(record(6))
    (after,) = registry.targets_in_pool("p")
    assert before.digest != after.digest


def test_requests_at_an_earlier_start_do_not_count_for_a_later_one(registry):
    registry.put(record(5))
    (before,) = registry.targets_in_pool("p")
    registry.begin_request(before)
    registry.put(record(6))
    (after,) = registry.targets_in_pool("p")
    assert after.in_flight == 0
    registry.end_request(before)
    assert chosen(registry) == 6


def test_listeners_are_notified_when_a_start_is_replaced(registry):
    ended = []
    registry.on_target_replaced.append(ended.append)
    registry.put(record(5))
    (before,) = registry.targets_in_pool("p")
    registry.put(record(6))
    assert ended == [before]
    assert before.is_leaving


def test_a_misdirected_answer_at_an_earlier_start_does_not_affect_a_later_one(registry):
    registry.put(record(5))
    (before,) = registry.targets_in_pool("p")
    registry.put(record(6, port=2))
    registry.remove_misdirected(before)
    assert chosen(registry) == 6


@pytest.mark.parametrize("planned", [True, False])
def test_a_replaced_start_ended_as_planned_if_it_announced_leaving(registry, planned):
    registry.put(record(5))
    (before,) = registry.targets_in_pool("p")
    registry.begin_request(before)
    if planned:
        registry.mark_leaving("t", 5)
    registry.remove("t")
    registry.put(record(6))
    assert before.is_replaced is not planned


def test_a_record_of_another_name_with_the_same_address_changes_nothing(registry):
    ended = []
    registry.on_target_replaced.append(ended.append)
    registry.put(record(5))
    registry.put(record(6, name="u"))
    assert ended == []
    assert len(registry.targets_in_pool("p")) == 2


def test_a_wrong_start_time_in_the_future_does_not_block_valid_records(registry):
    registry.put(record(5))
    registry.put(record(4_102_444_800_000, revision=8))
    registry.put(record(5, revision=9))
    assert chosen(registry) == 5


def test_a_record_with_another_pool_moves_the_target(registry):
    registry.put(record(5))
    registry.put(TargetRecord("t", "q", "h", 1, started=5))
    assert registry.targets_in_pool("p") == []
    assert len(registry.targets_in_pool("q")) == 1


def test_records_without_a_start_time_are_supported(registry):
    registry.put(record(0))
    assert chosen(registry) == 0
    assert registry.put(record(0, leaving=True))
    registry.put(record(0))
    assert chosen(registry) is None


def test_a_record_that_lost_its_start_time_refers_to_the_known_start(registry):
    registry.put(record(5))
    registry.put(record(0, leaving=True))
    assert chosen(registry) is None
