"""Tests of the membership table with a lagging list and heartbeats."""

from whinrack.membership import Member, MembershipTable
from whinrack.store import InstanceRecord, InstanceState


def member(number, hall="a", **fields):
    name = f"r{number}"
    return Member(
        incarnation=f"{name}.1",
        name=name,
        region="south",
        data_hall=hall,
        http_address=f"{name}:80",
        peer_address=f"{name}:81",
        **fields,
    )


def table_of(*members):
    table = MembershipTable("r0", suspect_after=3.0)
    for peer in members:
        table.record_heartbeat(peer, 0.0)
    return table


def test_silent_peer_is_not_live_until_it_is_heard_again():
    table = table_of(member(1))
    assert [peer.name for peer in table.live_members(2.0)] == ["r1"]
    assert table.live_members(4.0) == []
    assert table.record_heartbeat(member(1), 5.0)
    assert not table.record_heartbeat(member(1), 6.0)


def test_silence_timeout_is_longer_in_a_large_fleet():
    table = table_of(*[member(number) for number in range(1, 97)])
    assert len(table.live_members(11.0)) == 96
    assert table.live_members(13.0) == []


def test_instance_is_leaving_if_any_source_reports_it():
    table = table_of(member(1), member(2, leaving=True))
    record = InstanceRecord("r1", "router", InstanceState.LEAVING)
    own = member(0)
    assert [peer.name for peer in table.entry_points(own, 0.0)] == ["r0", "r1"]
    table.update_from_list([record], 0.0)
    assert [peer.name for peer in table.entry_points(own, 0.0)] == ["r0"]
    assert table.add_leaving_instances(["t1"], 0.0) == ["t1"]
    assert table.add_leaving_instances(["t1"], 0.0) == []
    assert table.leaving_instances(1.0) == {"r1", "t1"}
    assert table.leaving_instances(500.0) == {"r1"}


def test_callers_are_sent_to_the_own_hall_and_idle_instances_first():
    own = member(0, requests_in_progress=9)
    table = table_of(member(1, hall="b"), member(2, requests_in_progress=1))
    assert [peer.name for peer in table.entry_points(own, 0.0)] == ["r2", "r0", "r1"]


def test_callers_are_sent_to_busy_instances_only_if_all_are_busy():
    table = table_of(member(1, requests_in_progress=50), member(2, requests_in_progress=5))
    own = member(0, requests_in_progress=60)
    assert [peer.name for peer in table.entry_points(own, 0.0, busy=50)] == ["r2"]
    assert [peer.name for peer in table.entry_points(own, 0.0, busy=5)] == ["r2", "r1", "r0"]


def test_instances_with_the_same_view_make_the_same_choices():
    members = [member(number) for number in range(4)]
    choices = set()
    for own in members:
        table = MembershipTable(own.name, 3.0)
        for peer in members:
            table.record_heartbeat(peer, 0.0)
        choices.add(
            (
                table.drawing_incarnation(own, "a", 0.0),
                tuple(table.watcher_incarnations(own, 2, 0.0)),
            )
        )
    assert len(choices) == 1


def test_silent_unlisted_peer_is_removed():
    table = table_of(member(1), member(2))
    table.update_from_list([InstanceRecord("r2", "router", peer_address="r2:81")], 0.0)
    assert table.remove_silent(100.0, after=60.0) == ["r1"]
    assert table.heartbeat_addresses() == ["r2:81"]
