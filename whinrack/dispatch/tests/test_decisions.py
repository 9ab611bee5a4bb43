"""Pure logic of the pipeline: routes, keys, choice of targets, retries and event parsing."""

import pytest

from whinrack.dispatch import (
    Configuration,
    CurrentConfiguration,
    PoolRecord,
    RetryBudget,
    Route,
    RouteKind,
    TargetRecord,
    TargetRegistry,
    WeightedPool,
    WorkspaceRecord,
)
from whinrack.dispatch._events import EventParser
from whinrack.exceptions import AnswerCut, ConfigurationUnknown, NoRoute, Unauthorized
from whinrack.http1 import ServerLimits


def route(name, prefix, host="h", public=False):
    return Route(
        name=name,
        host=host,
        path_prefix=prefix,
        kind=RouteKind.REPEATABLE,
        timeout=1.0,
        weighted_pools=(WeightedPool("p"),),
        is_public=public,
    )


def configuration(version=1, routes=()):
    return Configuration(
        version=version,
        routes=routes,
        pools=[PoolRecord("p", 10)],
        workspaces=[WorkspaceRecord("w", ("k1", "k2"), token_limit=5)],
        limits=ServerLimits(),
    )


@pytest.mark.parametrize(
    ("path", "name"),
    [("/a/b/c", "deep"), ("/a/b/", "deep"), ("/a/b", "short"), ("/a/x/y", "short"), ("/z", "root")],
)
def test_the_longest_prefix_wins(path, name):
    routes = [route("root", "/"), route("short", "/a/"), route("deep", "/a/b/")]
    assert configuration(routes=routes).find_route("h", path).name == name


def test_no_route_for_another_host_or_path():
    config = configuration(routes=[route("short", "/a/")])
    for host, path in (("other", "/a/"), ("h", "/b/"), ("h", "/a"), ("h", "")):
        with pytest.raises(NoRoute):
            config.find_route(host, path)


def test_a_key_identifies_its_workspace_and_public_routes_need_no_key():
    config = configuration()
    assert config.authenticate(route("r", "/"), "k2").name == "w"
    assert config.authenticate(route("r", "/", public=True), "") is None
    with pytest.raises(Unauthorized):
        config.authenticate(route("r", "/"), "k3")


def test_only_newer_configuration_versions_take_effect():
    applied = []
    current = CurrentConfiguration(lambda config: applied.append(config.version))
    with pytest.raises(ConfigurationUnknown):
        current.get()
    assert [current.update(configuration(version)) for version in (3, 2, 3, 7)] == [
        True,
        False,
        False,
        True,
    ]
    assert (current.version, applied) == (7, [3, 7])


def record(name, leaving=False, port=1):
    return TargetRecord(name, "p", "127.0.0.1", port, is_leaving=leaving)


def registry(*names):
    targets = TargetRegistry(seed=1)
    targets.replace_all([record(name) for name in names])
    return targets


def choose(targets, affinity="", tried=(), now=0.0):
    state = targets.choose("p", affinity, tried, now)
    return None if state is None else state.record.incarnation


def test_the_least_loaded_target_is_chosen():
    targets = registry("a", "b")
    targets.begin_request(targets.choose("p", "", ("b",), 0.0))
    assert choose(targets) == "b"


def test_requests_with_the_same_prefix_share_a_target_up_to_the_maximum_imbalance():
    targets = registry("a", "b", "c")
    home = choose(targets, "prefix")
    loads = []
    for _ in range(30):
        state = targets.choose("p", "prefix", (), 0.0)
        targets.begin_request(state)
        loads.append({s.record.incarnation: s.in_flight for s in targets.targets_in_pool("p")})
    assert loads[1][home] == 2
    assert all(max(load.values()) <= 1.25 * sum(load.values()) / 3 + 3 for load in loads)
    assert min(loads[-1].values()) > 0


def loads_of(targets, **counts):
    """Return loads as another instance reports them, given by target name."""
    by_name = {state.record.incarnation: state.digest for state in targets.targets_in_pool("p")}
    return {by_name[name]: count for name, count in counts.items()}


def choose_shared(targets, affinity=""):
    return targets.choose("p", affinity, (), 0.0, uses_remote_loads=True).record.incarnation


def test_requests_of_other_instances_count_if_remote_loads_are_used():
    targets = registry("a", "b")
    targets.remote_loads.update("m2", loads_of(targets, a=5), 0.0)
    assert {choose_shared(targets) for _ in range(20)} == {"b"}
    assert {choose(targets) for _ in range(20)} == {"a", "b"}


def test_affinity_is_given_up_at_a_target_that_other_instances_load():
    targets = registry("a", "b", "c")
    home = choose_shared(targets, "prefix")
    targets.remote_loads.update("m2", loads_of(targets, **{home: 9}), 0.0)
    assert choose_shared(targets, "prefix") != home


def test_affinity_is_kept_while_the_target_has_enough_free_slots():
    targets = TargetRegistry(seed=1)
    targets.replace_all([TargetRecord(name, "p", "127.0.0.1", 1, slots=64) for name in "abc"])
    home = choose_shared(targets, "prefix")
    targets.remote_loads.update("m2", loads_of(targets, **{home: 30}), 0.0)
    assert choose_shared(targets, "prefix") == home
    targets.remote_loads.update("m2", loads_of(targets, **{home: 60}), 0.0)
    assert choose_shared(targets, "prefix") != home


def test_the_latest_loads_of_an_instance_count_until_they_expire():
    targets = registry("a")
    (state,) = targets.targets_in_pool("p")
    for count in (5, 3):
        targets.remote_loads.update("m2", {state.digest: count}, 0.0)
    targets.remote_loads.update("m3", {state.digest: 1}, 1.0)
    assert targets.remote_loads.requests_at(state.digest) == 4
    targets.remote_loads.update("m3", {}, 2.0)
    assert targets.remote_loads.requests_at(state.digest) == 0


def test_an_instance_reports_its_requests_in_flight():
    targets = registry("a", "b")
    state = targets.choose("p", "", ("b",), 0.0)
    targets.begin_request(state)
    assert targets.requests_by_target() == {state.digest: 1}


def test_leaving_and_removed_targets_get_no_requests():
    targets = registry("a", "b", "c", "d")
    assert targets.put(record("a", leaving=True))
    assert targets.remove("b")
    assert targets.mark_leaving("c")
    assert choose(targets) == "d"
    assert not targets.put(record("a")), "an outdated record reactivates a leaving target"
    assert not targets.put(record("c")), "the announcement by a peer is newer than the record"
    assert choose(targets) == "d"
    assert {record.incarnation for record in targets.leaving_records()} == {"a", "c"}


def test_a_failing_target_is_ejected_for_a_while():
    targets = registry("a", "b")
    (failing,) = [s for s in targets.targets_in_pool("p") if s.record.incarnation == "a"]
    for _ in range(3):
        failing.ejection.record_failure(0.0)
    assert {choose(targets, now=0.5) for _ in range(20)} == {"b"}
    assert {choose(targets, now=1.5) for _ in range(40)} == {"a", "b"}


def test_an_unreachable_target_is_ejected_at_once():
    targets = registry("a", "b")
    (gone,) = [s for s in targets.targets_in_pool("p") if s.record.incarnation == "a"]
    gone.ejection.record_unreachable(0.0)
    assert {choose(targets, now=0.1) for _ in range(9)} == {"b"}
    assert not targets.has_eligible_target("p", {"b"}, 0.1)
    assert targets.has_eligible_target("p", {"a"}, 0.1)


def test_an_ejected_target_is_used_if_there_is_no_other():
    targets = registry("a")
    for _ in range(3):
        targets.targets_in_pool("p")[0].ejection.record_failure(0.0)
    assert choose(targets, now=0.1) == "a"


def test_requests_in_flight_at_a_target_are_limited():
    targets = registry("a", "b")
    for _ in range(4):
        targets.begin_request(targets.choose("p", "", (), 0.0, 2))
    assert [state.in_flight for state in targets.targets_in_pool("p")] == [2, 2]
    assert targets.choose("p", "", (), 0.0, 2) is None


def test_a_busy_target_is_used_if_there_is_no_other():
    targets = registry("a")
    targets.mark_busy(targets.targets_in_pool("p")[0], 0.0)
    assert choose(targets) == "a"


def test_retries_are_limited_to_a_ratio_of_the_requests_in_the_window():
    budget = RetryBudget(ratio=0.2, slack=0.0, window=10.0)
    for _ in range(100):
        budget.record_request(0.0)
    permitted = sum(budget.try_acquire(1.0, instances=3) for _ in range(50))
    assert 1 <= permitted <= 20
    assert not budget.try_acquire(2.0, instances=3)
    assert budget.try_acquire(11.5, instances=3), "one retry is always permitted"


@pytest.mark.parametrize("size", [1, 2, 3, 7, 1000])
def test_events_are_complete_however_the_bytes_are_split(size):
    data = b"".join(b"id: %d\ndata: %d\n\n" % (n, n) for n in range(1, 6))
    chunks = [data[at : at + size] for at in range(0, len(data), size)]
    blocks = list(EventParser().blocks(chunks))
    assert b"".join(block.data for block in blocks) == data
    assert sum(block.count for block in blocks) == 5
    assert blocks[-1].last_id == 5


def test_events_that_the_caller_has_received_are_left_out():
    data = b"id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\ndata: c\n\n"
    (block,) = EventParser(after=2).blocks([data])
    assert (block.data, block.count, block.last_id) == (b"id: 3\ndata: c\n\n", 1, 3)


def test_an_incomplete_event_is_never_relayed():
    blocks = EventParser().blocks([b"id: 1\ndata: a\n\nid: 2\nda"])
    assert next(blocks).last_id == 1
    with pytest.raises(AnswerCut):
        next(blocks)


def test_a_leaving_target_stays_leaving_after_its_record_was_removed():
    targets = registry("a", "b")
    leaving = TargetRecord("a", "p", "h", 1, is_leaving=True)
    assert targets.put(leaving)
    targets.remove("a")
    assert targets.put(TargetRecord("a", "p", "h", 1))
    assert targets.choose("p", "", (), 0.0).record.incarnation == "b"


def test_an_announcement_of_leaving_by_a_peer_applies_to_a_record_that_arrives_later():
    targets = registry("b")
    assert not targets.mark_leaving("a")
    assert targets.put(TargetRecord("a", "p", "h", 1))
    assert targets.choose("p", "", (), 0.0).record.incarnation == "b"
