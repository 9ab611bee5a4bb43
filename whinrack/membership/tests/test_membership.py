"""Membership from a lagging list and heartbeats."""

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


def table(*members):
    kept = MembershipTable("r0", suspect_after=3.0)
    for one in members:
        kept.record_heartbeat(one, 0.0)
    return kept


def test_a_silent_peer_stops_looking_alive_and_comes_back():
    kept = table(member(1))
    assert [one.name for one in kept.live_members(2.0)] == ["r1"]
    assert kept.live_members(4.0) == []
    assert kept.record_heartbeat(member(1), 5.0)
    assert not kept.record_heartbeat(member(1), 6.0)


def test_in_a_large_fleet_peers_are_given_more_time():
    kept = table(*[member(number) for number in range(1, 97)])
    assert len(kept.live_members(11.0)) == 96
    assert kept.live_members(13.0) == []


def test_leaving_is_believed_from_whoever_says_it_first():
    kept = table(member(1), member(2, leaving=True))
    record = InstanceRecord("r1", "router", InstanceState.LEAVING)
    own = member(0)
    assert [one.name for one in kept.entry_points(own, 0.0)] == ["r0", "r1"]
    kept.update_from_list([record], 0.0)
    assert [one.name for one in kept.entry_points(own, 0.0)] == ["r0"]
    assert kept.add_leaving_instances(["t1"], 0.0) == ["t1"]
    assert kept.add_leaving_instances(["t1"], 0.0) == []
    assert kept.leaving_instances(1.0) == {"r1", "t1"}
    assert kept.leaving_instances(500.0) == {"r1"}


def test_callers_are_sent_to_near_and_idle_instances_first():
    own = member(0, requests_in_progress=9)
    kept = table(member(1, hall="b"), member(2, requests_in_progress=1))
    assert [one.name for one in kept.entry_points(own, 0.0)] == ["r2", "r0", "r1"]


def test_callers_are_not_sent_to_overloaded_instances_unless_all_are():
    kept = table(member(1, requests_in_progress=50), member(2, requests_in_progress=5))
    own = member(0, requests_in_progress=60)
    assert [one.name for one in kept.entry_points(own, 0.0, busy=50)] == ["r2"]
    assert [one.name for one in kept.entry_points(own, 0.0, busy=5)] == ["r2", "r1", "r0"]


def test_those_who_see_the_same_choose_the_same():
    members = [member(number) for number in range(4)]
    choices = set()
    for own in members:
        kept = MembershipTable(own.name, 3.0)
        for one in members:
            kept.record_heartbeat(one, 0.0)
        choices.add(
            (kept.drawing_incarnation(own, "a", 0.0), tuple(kept.watcher_incarnations(own, 2, 0.0)))
        )
    assert len(choices) == 1


def test_a_peer_neither_listed_nor_heard_is_forgotten():
    kept = table(member(1), member(2))
    kept.update_from_list([InstanceRecord("r2", "router", peer_address="r2:81")], 0.0)
    assert kept.remove_silent(100.0, after=60.0) == ["r1"]
    assert kept.heartbeat_addresses() == ["r2:81"]
