"""Following of the store and waiting for it during an outage."""

import eventlet
import pytest
from returns.result import Failure, Success

from standins.memory_store import MemoryStore
from whinrack.clock import steady
from whinrack.edge import _kind_follower
from whinrack.edge._kind_follower import KindFollower, Upstream, UpstreamSelector
from whinrack.edge._relay import WatchCache
from whinrack.edge._store_availability import StoreAvailability
from whinrack.exceptions import PlatformUnavailable
from whinrack.observability import Event
from whinrack.store import StoredObject, WatchBatch, lost_reply_failure


def make_follower(store, seen, probes=True, availability=None):
    return KindFollower(
        UpstreamSelector(store),
        "k",
        lambda objects, revision: seen.append(("listed", sorted(item.name for item in objects))),
        lambda objects: seen.append(("changed", sorted(item.name for item in objects))),
        availability or StoreAvailability(lambda is_available: None),
        watch_seconds=0.1,
        probes_store=probes,
        cache=WatchCache(),
    )


def test_a_list_is_followed_by_changes():
    store, seen = MemoryStore(), []
    store.put("k", "a", b"1", 0)
    follower = make_follower(store, seen)
    assert follower.poll()
    store.put("k", "b", b"1", 0)
    assert follower.poll()
    assert follower.poll()
    assert seen == [("listed", ["a"]), ("changed", ["b"])]


def test_a_gap_causes_a_new_list():
    class GapStore(MemoryStore):
        def watch(self, kinds, since, wait):
            return Success(WatchBatch(since, gap=True))

    store, seen = GapStore(), []
    follower = make_follower(store, seen)
    for _ in range(3):
        assert follower.poll()
    assert seen == [("listed", []), ("listed", [])]


def test_availability_reports_only_changes():
    reported = []
    availability = StoreAvailability(reported.append)
    for answered in (True, False, False, True, True, False):
        availability.report(answered)
    assert reported == [False, True, False]


def test_waiters_resume_when_the_store_answers():
    availability = StoreAvailability(lambda is_available: None)
    availability.report(False)
    order = []

    def wait(name):
        availability.wait_until_available(60.0)
        order.append(name)

    for name in ("renewal", "follower"):
        eventlet.spawn(wait, name)
    eventlet.sleep(0)
    assert order == []
    availability.report(True)
    eventlet.sleep(0.01)
    assert sorted(order) == ["follower", "renewal"]


def test_waiting_returns_at_once_while_the_store_answers():
    availability = StoreAvailability(lambda is_available: None)
    availability.wait_until_available(60.0)


def test_only_the_probing_follower_retries_an_unavailable_store():
    class DownStore(MemoryStore):
        def list(self, kinds):
            self.call_count += 1
            return Failure(PlatformUnavailable("down"))

    availability = StoreAvailability(lambda is_available: None)
    prober, waiter = DownStore(), DownStore()
    threads = [
        eventlet.spawn(make_follower(prober, [], True, availability).run),
        eventlet.spawn(make_follower(waiter, [], False, availability).run),
    ]
    while prober.call_count < 5:
        eventlet.sleep(0.01)
    for thread in threads:
        thread.kill()
    assert waiter.call_count == 1


def test_a_probe_of_an_unavailable_store_returns_at_once():
    """A held watch reports the recovery late, since nothing may change for long after an outage."""
    waits = []

    class RecordingStore(MemoryStore):
        def watch(self, kinds, since, wait):
            waits.append(wait)
            return super().watch(kinds, since, 0.0)

    availability = StoreAvailability(lambda is_available: None)
    follower = make_follower(RecordingStore(), [], availability=availability)
    follower.poll()
    follower.poll()
    availability.report(False)
    follower.poll()
    assert availability.is_available
    follower.poll()
    assert waits[0] == waits[2] == 0.1
    assert waits[1] <= 0.05


class FailingStore(MemoryStore):
    """A store whose next watches fail."""

    def __init__(self, *failures):
        super().__init__()
        self.failures = list(failures)
        self.watches = 0

    def watch(self, kinds, since, wait):
        self.watches += 1
        if self.failures:
            return Failure(self.failures.pop(0))
        return super().watch(kinds, since, wait)


def lost_answer():
    return lost_reply_failure("GET", "no answer")


def test_a_lost_reply_is_retried_before_the_store_counts_as_unavailable():
    store, reported = FailingStore(lost_answer()), []
    follower = make_follower(store, [], availability=StoreAvailability(reported.append))
    assert follower.poll()
    assert follower.poll()
    assert (store.watches, reported) == (2, [])


def test_two_lost_replies_make_the_store_unavailable():
    store, reported = FailingStore(lost_answer(), lost_answer()), []
    follower = make_follower(store, [], availability=StoreAvailability(reported.append))
    assert follower.poll()
    assert not follower.poll()
    assert (store.watches, reported) == (2, [False])


@pytest.mark.parametrize(
    ("failures", "repeated"), [([lost_answer()], "answered"), ([lost_answer()] * 2, "no answer")]
)
def test_a_lost_reply_is_logged_with_the_result_of_the_repeated_call(
    monkeypatch, failures, repeated
):
    """Otherwise a late change after a lost reply doesn't show which of both calls took long."""
    lines = []
    monkeypatch.setattr(
        _kind_follower, "log_event", lambda event, **fields: lines.append((event, fields))
    )
    follower = make_follower(FailingStore(*failures), [])
    follower.poll()
    follower.poll()
    ((event, fields),) = [line for line in lines if line[0] is not Event.FEED_CHANGED]
    assert event is Event.STORE_REPLY_LOST
    assert (fields["kind"], fields["why"], fields["repeated"]) == ("k", "no answer", repeated)
    assert 0.0 <= float(fields["seconds"]) < 1.0
    assert 0.0 <= float(fields["repeated_seconds"]) < 1.0


def test_a_refused_call_is_not_retried_at_once():
    store, reported = FailingStore(PlatformUnavailable("busy")), []
    follower = make_follower(store, [], availability=StoreAvailability(reported.append))
    assert follower.poll()
    assert not follower.poll()
    assert (store.watches, reported) == (1, [False])


class FallbackSelector(UpstreamSelector):
    """Selects a peer until that is reported as failed or stale, then the store."""

    def __init__(self, store, peer):
        super().__init__(store)
        self.peer = peer
        self.failures_reported = 0

    def select(self):
        if self.failures_reported:
            return super().select()
        return Upstream(self.peer, ("peer", 1))

    def report_failure(self, upstream):
        self.failures_reported += 1

    def report_stale(self, upstream):
        self.failures_reported += 1


class StalePeer(MemoryStore):
    """A peer without changes that has not reached the store for some seconds."""

    def __init__(self, age):
        super().__init__()
        self.age = age

    def watch(self, kinds, since, wait):
        return Success(WatchBatch(since, age=self.age))


def make_peer_follower(store, peer, seen, reported):
    upstreams = FallbackSelector(store, peer)
    follower = make_follower(store, seen, availability=StoreAvailability(reported.append))
    follower.upstreams = upstreams
    return follower


def test_a_failing_peer_is_left_without_affecting_store_availability():
    store, peer, seen, reported = MemoryStore(), MemoryStore(), [], []
    store.put("k", "a", b"1", 0)
    peer.down = True
    follower = make_peer_follower(store, peer, seen, reported)
    assert not follower.poll()
    assert follower.poll()
    assert (seen, reported) == ([("listed", ["a"])], [])


def test_an_older_list_of_a_peer_is_rejected():
    store, peer, seen = MemoryStore(), MemoryStore(), []
    for _ in range(3):
        store.put("k", "a", b"1", store.objects.get(("k", "a"), StoredObject("k", "a", 0)).version)
    peer.put("k", "old", b"1", 0)
    follower = make_peer_follower(store, peer, seen, [])
    follower.upstreams.failures_reported = 1
    assert follower.poll()
    follower.revision, follower.upstreams.failures_reported = None, 0
    assert not follower.poll()
    assert seen == [("listed", ["a"])]


def test_a_peer_with_stale_data_is_left_though_it_answers():
    """The answer of a relay states the age of its data, which decides."""
    store, peer, seen = MemoryStore(), StalePeer(60.0), []
    follower = make_peer_follower(store, peer, seen, [])
    for _ in range(2):
        follower.poll()
    store.put("k", "a", b"1", 0)
    follower.poll()
    assert follower.upstreams.failures_reported
    assert ("changed", ["a"]) in seen or ("listed", ["a"]) in seen


def test_a_gap_does_not_refresh_the_confirmation_time():
    """The changes in the gap are missing, so the known objects are not up to date."""
    peer = StalePeer(0.0)
    follower = make_follower(peer, [])
    follower.poll()
    follower.cache.confirmed_at = before = steady() - 5.0
    peer.watch = lambda kinds, since, wait: Success(WatchBatch(since, gap=True))
    follower.poll()
    assert follower.cache.confirmed_at == before


def test_changes_in_quick_succession_share_a_watch():
    """Twenty changes within 0.4 s cause few calls."""
    store, seen = MemoryStore(), []
    store.call_count = 0
    follower = make_follower(store, seen)
    thread = eventlet.spawn(follower.run)
    eventlet.sleep(0.05)
    before = store.call_count
    for number in range(20):
        store.put("k", f"n{number}", b"1", 0)
        eventlet.sleep(0.02)
    eventlet.sleep(0.3)
    thread.kill()
    changed = [name for what, names in seen if what == "changed" for name in names]
    assert sorted(changed) == sorted(f"n{number}" for number in range(20))
    assert store.call_count - before - 20 <= 9


class SwitchingSelector(UpstreamSelector):
    """Selects the store until a peer is set, and again after `prefer_store`."""

    peer = None
    is_store_preferred = False

    def select(self):
        if self.peer is None or self.is_store_preferred:
            return super().select()
        return Upstream(self.peer, ("peer", 1))

    def prefer_store(self):
        self.is_store_preferred = True


def selector_after_watching(peer, is_available=True):
    """Return the selector of a follower that polled the store and then a peer."""
    upstreams, availability = (
        SwitchingSelector(MemoryStore()),
        StoreAvailability(lambda is_available: None),
    )
    follower = make_follower(upstreams.store, [], availability=availability)
    follower.upstreams = upstreams
    assert follower.poll()
    upstreams.peer, availability.is_available = peer, is_available
    eventlet.sleep(0.05)
    assert follower.poll()
    return upstreams


def test_the_store_is_preferred_when_a_peers_data_is_older_than_the_last_store_answer():
    """Otherwise an instance that restarted while all others were cut off from the store followed
    them and used an old configuration for 5 s although it could reach the store."""
    assert selector_after_watching(StalePeer(2.9)).is_store_preferred


def test_a_peer_whose_age_is_explained_by_held_watches_is_kept():
    assert not selector_after_watching(StalePeer(2.2)).is_store_preferred


def test_a_stale_peer_is_kept_while_the_store_is_unavailable():
    assert not selector_after_watching(StalePeer(2.9), is_available=False).is_store_preferred
