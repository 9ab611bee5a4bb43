"""Following the store, and waiting for it while it is away."""

import eventlet
from returns.result import Failure, Success

from standins.memory_store import MemoryStore
from whinrack.clock import steady
from whinrack.edge._kind_follower import FollowedSource, KindFollower, SourcePlan
from whinrack.edge._relay import KindRelay
from whinrack.edge._store_availability import StoreContact
from whinrack.exceptions import PlatformUnavailable
from whinrack.store import StoredObject, WatchBatch, lost_reply_failure


def follower(store, seen, probes=True, contact=None):
    return KindFollower(
        SourcePlan(store),
        "k",
        lambda objects, revision: seen.append(("listed", sorted(item.name for item in objects))),
        lambda objects: seen.append(("changed", sorted(item.name for item in objects))),
        contact or StoreContact(lambda answers: None),
        watch_seconds=0.1,
        probes=probes,
        relay=KindRelay(),
    )


def test_a_list_comes_first_and_then_the_changes():
    store, seen = MemoryStore(), []
    store.put("k", "a", b"1", 0)
    following = follower(store, seen)
    assert following.step()
    store.put("k", "b", b"1", 0)
    assert following.step()
    assert following.step()
    assert seen == [("listed", ["a"]), ("changed", ["b"])]


def test_lost_history_means_a_new_list():
    class Forgetful(MemoryStore):
        def watch(self, kinds, since, wait):
            return Success(WatchBatch(since, gap=True))

    store, seen = Forgetful(), []
    following = follower(store, seen)
    for _ in range(3):
        assert following.step()
    assert seen == [("listed", []), ("listed", [])]


def test_contact_tells_only_changes():
    told = []
    contact = StoreContact(told.append)
    for answered in (True, False, False, True, True, False):
        contact.report(answered)
    assert told == [False, True, False]


def test_who_waits_goes_on_as_soon_as_the_store_answers():
    contact = StoreContact(lambda answers: None)
    contact.report(False)
    order = []

    def wait(name):
        contact.wait(60.0)
        order.append(name)

    for name in ("renewal", "follower"):
        eventlet.spawn(wait, name)
    eventlet.sleep(0)
    assert order == []
    contact.report(True)
    eventlet.sleep(0.01)
    assert sorted(order) == ["follower", "renewal"]


def test_nobody_waits_while_the_store_answers():
    contact = StoreContact(lambda answers: None)
    contact.wait(60.0)


def test_only_the_probing_task_calls_a_lost_store_again_and_again():
    class Down(MemoryStore):
        def list(self, kinds):
            self.calls += 1
            return Failure(PlatformUnavailable("down"))

    contact = StoreContact(lambda answers: None)
    probed, waiting = Down(), Down()
    threads = [
        eventlet.spawn(follower(probed, [], True, contact).run),
        eventlet.spawn(follower(waiting, [], False, contact).run),
    ]
    while probed.calls < 5:
        eventlet.sleep(0.01)
    for thread in threads:
        thread.kill()
    assert waiting.calls == 1


def test_a_probe_of_a_lost_store_is_not_held_open():
    """Nothing may change for long after an outage: a held watch would tell it late."""
    waits = []

    class Noting(MemoryStore):
        def watch(self, kinds, since, wait):
            waits.append(wait)
            return super().watch(kinds, since, 0.0)

    contact = StoreContact(lambda answers: None)
    following = follower(Noting(), [], contact=contact)
    following.step()
    following.step()
    contact.report(False)
    following.step()
    assert contact.answers
    following.step()
    assert waits[0] == waits[2] == 0.1
    assert waits[1] <= 0.05


class Losing(MemoryStore):
    """A store whose next answers are lost on the way, or refused."""

    def __init__(self, *failures):
        super().__init__()
        self.failures = list(failures)
        self.watches = 0

    def watch(self, kinds, since, wait):
        self.watches += 1
        if self.failures:
            return Failure(self.failures.pop(0))
        return super().watch(kinds, since, wait)


def lost():
    return lost_reply_failure("GET", "no answer")


def test_a_lost_answer_is_asked_for_again_before_the_store_counts_as_lost():
    store, told = Losing(lost()), []
    following = follower(store, [], contact=StoreContact(told.append))
    assert following.step()
    assert following.step()
    assert (store.watches, told) == (2, [])


def test_a_store_that_does_not_answer_twice_is_lost():
    store, told = Losing(lost(), lost()), []
    following = follower(store, [], contact=StoreContact(told.append))
    assert following.step()
    assert not following.step()
    assert (store.watches, told) == (2, [False])


def test_a_store_that_refuses_is_not_asked_again_at_once():
    store, told = Losing(PlatformUnavailable("busy")), []
    following = follower(store, [], contact=StoreContact(told.append))
    assert following.step()
    assert not following.step()
    assert (store.watches, told) == (1, [False])


class Fed(SourcePlan):
    """A plan that sends the follower to a peer, until that fails."""

    def __init__(self, store, feed):
        super().__init__(store)
        self.feed = feed
        self.fails = 0

    def source(self):
        if self.fails:
            return super().source()
        return FollowedSource(self.feed, ("peer", 1))

    def failed(self, source):
        self.fails += 1

    def behind(self, source):
        self.fails += 1


class Aged(MemoryStore):
    """A peer that knows nothing newer, and heard the store some seconds ago."""

    def __init__(self, age):
        super().__init__()
        self.age = age

    def watch(self, kinds, since, wait):
        return Success(WatchBatch(since, age=self.age))


def fed_follower(store, feed, seen, told):
    plan = Fed(store, feed)
    following = follower(store, seen, contact=StoreContact(told.append))
    following.plan = plan
    return following


def test_a_peer_that_fails_says_nothing_of_the_store_and_is_left():
    store, feed, seen, told = MemoryStore(), MemoryStore(), [], []
    store.put("k", "a", b"1", 0)
    feed.down = True
    following = fed_follower(store, feed, seen, told)
    assert not following.step()
    assert following.step()
    assert (seen, told) == ([("listed", ["a"])], [])


def test_a_peer_that_is_behind_does_not_bring_old_lists_back():
    store, feed, seen = MemoryStore(), MemoryStore(), []
    for _ in range(3):
        store.put("k", "a", b"1", store.objects.get(("k", "a"), StoredObject("k", "a", 0)).version)
    feed.put("k", "old", b"1", 0)
    following = fed_follower(store, feed, seen, [])
    following.plan.fails = 1
    assert following.step()
    following.revision, following.plan.fails = None, 0
    assert not following.step()
    assert seen == [("listed", ["a"])]


def test_a_peer_that_lost_the_store_is_left_though_it_answers():
    """What a feeder passes on may be old: its answer says how old, and that counts."""
    store, feed, seen = MemoryStore(), Aged(60.0), []
    following = fed_follower(store, feed, seen, [])
    for _ in range(2):
        following.step()
    store.put("k", "a", b"1", 0)
    following.step()
    assert following.plan.fails
    assert ("changed", ["a"]) in seen or ("listed", ["a"]) in seen


def test_lost_history_confirms_nothing():
    """The changes in the gap are missing: what is known has not become fresher by it."""
    feed = Aged(0.0)
    following = follower(feed, [])
    following.step()
    following.relay.confirmed_at = before = steady() - 5.0
    feed.watch = lambda kinds, since, wait: Success(WatchBatch(since, gap=True))
    following.step()
    assert following.relay.confirmed_at == before


def test_changes_that_come_in_quick_succession_share_a_watch():
    """Twenty changes within 0.4 s cost a few calls."""
    store, seen = MemoryStore(), []
    store.calls = 0
    following = follower(store, seen)
    thread = eventlet.spawn(following.run)
    eventlet.sleep(0.05)
    before = store.calls
    for number in range(20):
        store.put("k", f"n{number}", b"1", 0)
        eventlet.sleep(0.02)
    eventlet.sleep(0.3)
    thread.kill()
    changed = [name for what, names in seen if what == "changed" for name in names]
    assert sorted(changed) == sorted(f"n{number}" for number in range(20))
    assert store.calls - before - 20 <= 9


class BlindPeer(MemoryStore):
    """A peer that has not heard from the store for some seconds, and has no news."""

    def __init__(self, age):
        super().__init__()
        self.age = age

    def watch(self, kinds, since, wait):
        return Success(WatchBatch(since, age=self.age))


class Plan(SourcePlan):
    """Follows the store until a peer is known, and again when it is told to."""

    peer = None
    prefers_store = False

    def source(self):
        if self.peer is None or self.prefers_store:
            return super().source()
        return FollowedSource(self.peer, ("peer", 1))

    def follow_store(self):
        self.prefers_store = True


def fed_by(peer, answers=True):
    """Return the plan of an instance that heard from the store and then is fed by a peer."""
    plan, contact = Plan(MemoryStore()), StoreContact(lambda answers: None)
    following = follower(plan.store, [], contact=contact)
    following.plan = plan
    assert following.step()
    plan.peer, contact.answers = peer, answers
    eventlet.sleep(0.05)
    assert following.step()
    return plan


def test_a_peer_that_is_blinder_than_this_instance_is_left_for_the_store():
    """An instance that restarted while all others were cut off followed these, and answered
    by an old configuration for 5 s though the store was in its reach."""
    assert fed_by(BlindPeer(2.9)).prefers_store


def test_a_peer_whose_watch_and_its_feeders_are_only_held_is_not_left():
    assert not fed_by(BlindPeer(2.2)).prefers_store


def test_a_blind_peer_is_kept_where_the_store_is_lost_here_too():
    assert not fed_by(BlindPeer(2.9), answers=False).prefers_store
