"""Choice of targets for streams that must keep a software version."""

import types

import eventlet
import msgspec
import pytest

from whinrack.clock import steady
from whinrack.dispatch import Route, RouteKind, TargetRecord, TargetRegistry, WeightedPool
from whinrack.dispatch._route_history import RouteHistory
from whinrack.dispatch._stream_versions import StreamVersions
from whinrack.dispatch._target_state import RECORD_EXPIRY_SECONDS
from whinrack.exceptions import AnsweredByLaterStart, StreamOriginUnknown
from whinrack.observability import Metrics
from whinrack.streams import LocalOrigins, StreamOrigin

NOW = 100.0


def record(name, version, started=1, revision=1):
    return TargetRecord(
        name, "p", "h", 1, started=started, revision=revision, software_version=version
    )


@pytest.fixture
def registry():
    registry = TargetRegistry(seed=1, clock=lambda: NOW)
    registry.confirmed_at = lambda: NOW
    return registry


def choose(registry, version, tried=()):
    state = registry.choose("p", "", tried, NOW, software_version=version)
    return None if state is None else state.record.incarnation


def test_only_targets_of_the_version_are_chosen(registry):
    registry.replace_all([record("a", "v1"), record("b", "v2"), record("c", "v2")])
    assert {choose(registry, "v2") for _ in range(20)} == {"b", "c"}
    assert choose(registry, "v1", tried=("a@1",)) is None
    assert choose(registry, "v3") is None


@pytest.mark.parametrize("wanted", ["", "v1"])
def test_unknown_version_equals_none(registry, wanted):
    registry.replace_all([record("a", "")])
    assert choose(registry, wanted) is None
    assert choose(registry, None) == "a"
    assert not registry.has_version("p", wanted)


def test_target_that_seemed_to_end_has_no_known_version(registry):
    """A later start under its name may have other software, and its record arrives later."""
    registry.replace_all([record("a", "v1")])
    (state,) = registry.targets_in_pool("p")
    state.record_ended(NOW - 1.0)
    assert registry.software_version(state) == ""
    assert choose(registry, "v1") is None


def test_record_that_outlives_a_doubt_is_trusted_again(registry):
    registry.replace_all([record("a", "v1")])
    (state,) = registry.targets_in_pool("p")
    state.record_ended(NOW)
    registry.confirmed_at = lambda: NOW + RECORD_EXPIRY_SECONDS + 0.1
    assert registry.software_version(state) == "v1"


def test_answer_over_an_older_connection_ends_the_doubt(registry):
    registry.replace_all([record("a", "v1")])
    (state,) = registry.targets_in_pool("p")
    state.record_ended(NOW)
    state.record_alive(NOW + 0.1)
    assert registry.software_version(state) == ""
    state.record_alive(NOW - 0.1)
    assert registry.software_version(state) == "v1"


def test_end_that_a_peer_reports_is_a_doubt_once(registry):
    """Peers that repeat each other's reports must not keep the doubt alive."""
    registry.replace_all([record("a", "v1")])
    (state,) = registry.targets_in_pool("p")
    registry.merge_ended("a", 1, "peer")
    assert registry.software_version(state) == ""
    assert registry.recently_ended() == [("a", 1)]
    state.record_alive(NOW - 1.0)
    registry.merge_ended("a", 1, "another peer")
    assert registry.software_version(state) == "v1"


def test_end_of_an_earlier_start_is_no_doubt(registry):
    registry.replace_all([record("a", "v1", started=2)])
    registry.merge_ended("a", 1, "peer")
    assert registry.software_version(registry.targets_in_pool("p")[0]) == "v1"


@pytest.mark.parametrize("started", [0, 1])
def test_record_with_another_version_is_a_later_start(registry, started):
    registry.put(record("a", "v1", started))
    (before,) = registry.targets_in_pool("p")
    before.record_ended(NOW)
    registry.put(record("a", "v2", started, revision=2))
    (after,) = registry.targets_in_pool("p")
    assert before.is_replaced and after is not before
    assert registry.software_version(after) == "v2"
    registry.put(record("a", "v1", started, revision=1))
    assert registry.targets_in_pool("p") == [after]


def test_record_that_no_longer_names_its_version_is_the_same_start(registry):
    registry.put(record("a", "v1"))
    (before,) = registry.targets_in_pool("p")
    registry.put(record("a", "", revision=2))
    assert registry.targets_in_pool("p") == [before]
    assert registry.software_version(before) == ""


class Clock:
    def __init__(self):
        self.now = NOW

    def __call__(self):
        return self.now


@pytest.fixture
def clock():
    return Clock()


@pytest.fixture
def followed(clock):
    """Registry that has followed the targets of one version for 20 s."""
    registry = TargetRegistry(seed=1, clock=clock)
    registry.replace_all([record("a", "v1"), record("b", "v1")])
    clock.now += 20.0
    return registry


def test_sole_version_needs_a_history_of_all_targets(followed):
    assert followed.sole_version("p", 15.0) == "v1"
    assert followed.sole_version("p", 30.0) == ""
    assert followed.sole_version("other", 15.0) == ""


def test_target_of_another_version_counts_for_a_while_after_it_has_gone(followed, clock):
    followed.put(record("c", "v2"))
    clock.now += 1.0
    followed.remove("c")
    clock.now += 14.0
    assert followed.sole_version("p", 15.0) == ""
    clock.now += 2.0
    assert followed.sole_version("p", 15.0) == "v1"


def test_target_that_returned_with_another_version_counts_with_both(followed, clock):
    followed.put(record("a", "v2", started=2))
    followed.put(record("b", "v2", started=2))
    assert followed.sole_version("p", 15.0) == ""
    clock.now += 16.0
    assert followed.sole_version("p", 15.0) == "v2"


@pytest.mark.parametrize("version", ["", "v2"])
def test_there_is_no_sole_version_beside_an_unknown_or_another_one(followed, version):
    followed.put(record("c", version))
    assert followed.sole_version("p", 15.0) == ""


def test_there_is_no_sole_version_while_a_target_may_have_returned(followed, clock):
    followed.confirmed_at = clock
    followed.merge_ended("a", 1, "peer")
    assert followed.sole_version("p", 15.0) == ""
    clock.now += RECORD_EXPIRY_SECONDS + 0.1
    assert followed.sole_version("p", 15.0) == "v1"


def test_new_list_of_all_targets_starts_the_history_anew(followed, clock):
    followed.replace_all([record("a", "v1"), record("b", "v1")])
    assert followed.sole_version("p", 15.0) == ""
    clock.now += 15.0
    assert followed.sole_version("p", 15.0) == "v1"


def wait_seconds(state, connected_at, origin):
    """Return how long the first event of a stream waits for the record of a target."""
    run = types.SimpleNamespace(origin=origin, deadline=steady() + 5.0)
    began = steady()
    StreamVersions(None, None, None, None).await_record(run, state, connected_at)
    return steady() - began


def test_stream_goes_on_at_a_new_connection_once_a_later_start_would_be_known(registry):
    origin = StreamOrigin("p", "v1")
    registry.replace_all([record("a", "v1"), record("b", "v1", started=0)])
    state, without_start = registry.targets_in_pool("p")
    assert 0.2 <= wait_seconds(state, steady(), origin) < 0.5
    assert wait_seconds(state, steady() - 1.0, origin) < 0.1
    assert wait_seconds(state, steady(), None) < 0.1
    assert wait_seconds(without_start, steady(), origin) < 0.1


def test_stream_does_not_go_on_at_a_later_start(registry):
    registry.put(record("a", "v1"))
    (state,) = registry.targets_in_pool("p")
    eventlet.spawn_after(0.05, registry.put, record("a", "v2", started=2))
    with pytest.raises(AnsweredByLaterStart):
        wait_seconds(state, steady(), StreamOrigin("p", "v1"))


class Continuation:
    """The parts of a run that the versions of streams read, of a stream in the pool "p"."""

    is_continuation = True
    stream_key = b"s"

    def __init__(self):
        self.deadline = steady() + 5.0
        self.origin = None
        self.settles_at = float("-inf")
        self.software_version = "v1"
        self.target, self.target_started = "a", 1
        self.connected_at = steady()
        self.request_id = self.resumed_id = ""
        self.workspace_name, self.fingerprint = "w", ""
        self.request = types.SimpleNamespace(resumed_id=b"r", resume_after=1)
        pool = types.SimpleNamespace(pool="p")
        self.route = types.SimpleNamespace(
            name="r", is_resumable=True, weighted_pools=[pool], timeout=4.0
        )

    def seconds_left(self):
        return self.deadline - steady()


@pytest.fixture
def versions(registry, monkeypatch):
    registry.put(record("a", "v1"))
    monkeypatch.setattr("whinrack.dispatch._stream_versions.log_run", lambda *_, **fields: None)
    versions = StreamVersions(LocalOrigins(), registry, Metrics(), RouteHistory())
    registry.on_target_replaced.append(versions.record_later_start)
    return versions


def begin(versions, connected_seconds_ago=0.0, target_started=1):
    run = Continuation()
    run.connected_at -= connected_seconds_ago
    run.target_started = target_started
    versions.record_first_event(run, types.SimpleNamespace(name="p"))
    return run


def look_up_seconds(versions):
    run, began = Continuation(), steady()
    versions.look_up(run)
    assert run.origin == StreamOrigin("p", "v1")
    return steady() - began


def test_begin_at_a_new_connection_is_settled_once_a_later_start_would_be_known(versions):
    began = steady()
    begin(versions)
    assert steady() - began < 0.1
    assert 0.4 <= look_up_seconds(versions) < 0.8
    assert look_up_seconds(versions) < 0.1


@pytest.mark.parametrize("options", [{"connected_seconds_ago": 1.0}, {"target_started": 0}])
def test_begin_that_no_later_start_can_have_answered_is_settled_at_once(versions, options):
    begin(versions, **options)
    assert look_up_seconds(versions) < 0.1


@pytest.mark.parametrize("is_asked_before", [True, False])
def test_stream_has_no_known_version_if_a_later_start_becomes_known(
    versions, registry, is_asked_before
):
    """The run of the caller that began the stream has ended by then."""
    begin(versions)
    later = record("a", "v2", started=2)
    if is_asked_before:
        eventlet.spawn_after(0.1, registry.put, later)
    else:
        registry.put(later)
    with pytest.raises(StreamOriginUnknown):
        versions.look_up(Continuation())


def test_stream_keeps_its_version_if_its_target_restarts_afterwards(versions, registry):
    begin(versions)
    eventlet.sleep(0.6)
    registry.put(record("a", "v2", started=2))
    assert look_up_seconds(versions) < 0.1


def test_lookup_that_ends_before_the_origin_is_settled_finds_no_version(versions):
    begin(versions)
    run = Continuation()
    run.deadline = steady() + 0.05
    with pytest.raises(StreamOriginUnknown):
        versions.look_up(run)


def test_answer_goes_on_elsewhere_once_its_origin_is_settled(versions, registry):
    run = begin(versions)
    versions.await_settled(run)
    assert steady() - run.connected_at >= 0.4
    assert run.origin == StreamOrigin("p", "v1")
    run = Continuation()
    run.origin = StreamOrigin("p", "v1")
    began = steady()
    versions.await_settled(run)
    assert steady() - began < 0.1


def test_answer_does_not_go_on_if_a_later_start_began_it(versions, registry):
    run = begin(versions)
    eventlet.spawn_after(0.1, registry.put, record("a", "v2", started=2))
    versions.await_settled(run)
    assert not run.origin.is_known


def deduced(versions):
    """Return the origin of a stream that no instance knows."""
    run = Continuation()
    run.request = types.SimpleNamespace(resumed_id=b"", resume_after=1, host="h", path="/s/x")
    run.route = stream_route("p")
    run.exchange = types.SimpleNamespace(received_at=steady() - 1.0)
    versions.look_up(run)
    return run.origin


def stream_route(pool, prefix="/s/", timeout=4.0):
    return Route(
        name=f"{pool}{prefix}",
        host="h",
        path_prefix=prefix,
        kind=RouteKind.STREAM,
        timeout=timeout,
        weighted_pools=(WeightedPool(pool),),
    )


@pytest.fixture
def deducing(followed, clock, monkeypatch):
    """Versions with a list of targets and routes that have been followed for 20 s."""
    monkeypatch.setattr("whinrack.dispatch._stream_versions.log_run", lambda *_, **fields: None)
    followed.confirmed_at = steady
    history = RouteHistory(clock)
    clock.now -= 20.0
    history.replace([stream_route("p")])
    clock.now += 20.0
    return StreamVersions(LocalOrigins(), followed, Metrics(), history)


def supersede(versions, *routes):
    """Let other routes take effect, and then the present one again."""
    versions.route_history.replace(routes)
    versions.route_history.replace([stream_route("p")])


def test_origin_is_deduced_if_the_route_has_led_to_one_pool(deducing):
    supersede(deducing, stream_route("p"), stream_route("other", "/t/"))
    assert deduced(deducing) == StreamOrigin("p", "v1")


@pytest.mark.parametrize("prefix", ["/s/", "/"])
def test_no_origin_is_deduced_if_the_path_has_led_to_another_pool(deducing, clock, prefix):
    """Guards against streams that go on in a pool in which they did not begin."""
    supersede(deducing, stream_route("other", prefix))
    with pytest.raises(StreamOriginUnknown):
        deduced(deducing)
    clock.now += 8.1
    assert deduced(deducing) == StreamOrigin("p", "v1")


def test_origin_is_deduced_only_after_the_longest_timeout_of_the_route(deducing, clock):
    """Guards against streams that began under a longer timeout."""
    supersede(deducing, stream_route("p", timeout=15.0))
    with pytest.raises(StreamOriginUnknown):
        deduced(deducing)
    clock.now += 10.1
    assert deduced(deducing) == StreamOrigin("p", "v1")


def test_no_origin_is_deduced_while_earlier_routes_are_unknown(deducing, clock):
    deducing.route_history = RouteHistory(clock)
    deducing.route_history.replace([stream_route("p")])
    with pytest.raises(StreamOriginUnknown):
        deduced(deducing)
    clock.now += 8.1
    assert deduced(deducing) == StreamOrigin("p", "v1")


def test_routes_are_forgotten_with_the_time_since_when_they_are_known(clock):
    history, path = RouteHistory(clock), (stream_route("p"), "h", "/s/x")
    for number in range(20):
        clock.now += 1.0
        history.replace([stream_route("p"), stream_route(f"p{number}", "/t/")])
    assert history.had_same_pools(*path, seconds=7.5)
    assert not history.had_same_pools(*path, seconds=12.5)
    history.replace([stream_route("other")])
    clock.now += 200.0
    history.replace([stream_route("p")])
    clock.now += 1.0
    assert history.had_same_pools(*path, seconds=0.5)
    assert not history.had_same_pools(*path, seconds=1.5)


def test_configurations_with_the_same_streams_are_not_kept(clock):
    """Guards against a history that grows with each configuration."""
    history, path = RouteHistory(clock), (stream_route("p"), "h", "/s/x")
    for number in range(20):
        clock.now += 1.0
        other = msgspec.structs.replace(
            stream_route(f"p{number}", "/t/"), kind=RouteKind.REPEATABLE
        )
        history.replace([stream_route("p"), other])
    assert history.had_same_pools(*path, seconds=18.5)
