"""Requests that wait for a place at a brittle target, without exceeding its quota."""

import eventlet
import pytest

from whinrack.clock import steady
from whinrack.dispatch import ContactFailure, TargetRecord, TargetRegistry
from whinrack.dispatch._forwarding import ForwardingPeer, PeerSelector, RequestForwarder
from whinrack.dispatch._place_waits import PlaceWaits
from whinrack.dispatch._run_times import RunTimes

REFUSALS = 1.0
LONG = 60.0


class Instance:
    """An instance with a brittle target and runs of known durations."""

    def __init__(self, slots=2, targets=1, durations=(0.1,) * 5):
        self.registry = TargetRegistry(seed=1)
        for number in range(targets):
            record = TargetRecord(f"t{number}", "p", "h", 1, slots=slots)
            self.registry.put(record)
            self.registry.brittle_limits.record_answer(record.identity, REFUSALS, steady())
        self.run_times = RunTimes()
        for seconds in durations:
            self.run_times.observe("p", seconds, steady())
        self.waits = PlaceWaits(self.registry, self.run_times)
        self.most_in_flight = 0

    @property
    def target(self):
        return self.registry.targets_in_pool("p")[0]

    def begin(self):
        """Choose a target and count a request there, None if none may be used."""
        state = self.registry.choose("p", "", (), steady())
        if state is not None:
            self.registry.begin_request(state)
            self.most_in_flight = max(self.most_in_flight, state.in_flight)
        return state

    def run(self, seconds):
        """Run a request in the background; return its target, None if there is no place."""
        state = self.begin()
        if state is not None:
            eventlet.spawn_n(self._hold, state, seconds)
        eventlet.sleep(0)
        return state

    def _hold(self, state, seconds):
        with state.timed_run(steady()):
            eventlet.sleep(seconds)
        self.registry.end_request(state)
        self.waits.notify("p")

    def wait(self, deadline=LONG):
        return self.waits.wait("p", (), steady() + deadline)


def test_a_request_gets_the_place_of_a_run_that_ends_soon():
    instance = Instance(slots=1)
    assert instance.run(0.1) is not None
    assert instance.run(0.1) is None
    wait = instance.wait()
    assert wait.is_free
    assert 0.05 < wait.seconds < 0.24
    assert instance.begin() is not None
    assert instance.most_in_flight == 1


def test_requests_that_wait_never_exceed_the_quota():
    instance = Instance(slots=3, durations=(0.02,) * 5)
    served = []

    def serve():
        wait = None if instance.run(0.02) else instance.wait()
        if wait is not None and wait.is_free:
            served.append(instance.run(0.02))

    workers = [eventlet.spawn(serve) for _ in range(40)]
    for worker in workers:
        worker.wait()
    assert instance.most_in_flight == 3
    assert len(served) == 3
    assert None not in served


def test_requests_that_wait_are_served_in_their_order():
    instance = Instance(slots=2)
    instance.run(0.05)
    instance.run(0.1)
    served = []

    def serve(number):
        assert instance.wait().is_free
        assert instance.run(0.2) is not None
        served.append(number)

    workers = [eventlet.spawn(serve, number) for number in range(2)]
    for worker in workers:
        worker.wait()
    assert served == [0, 1]


def test_no_more_requests_wait_than_places_are_expected():
    instance = Instance(slots=2)
    instance.run(0.1)
    instance.run(0.1)
    first, second = (eventlet.spawn(instance.wait) for _ in range(2))
    eventlet.sleep(0)
    assert instance.wait() is None
    assert [first.wait().before, second.wait().before] == [0, 1]


@pytest.mark.parametrize("durations", [(), (0.1,) * 4, (5.0,) * 5, (0.001,) * 5])
def test_a_request_does_not_wait_for_a_run_whose_end_is_unknown_or_far(durations):
    """The last case: the run takes longer than any recent one."""
    instance = Instance(slots=1, durations=durations)
    instance.run(1.0)
    eventlet.sleep(0.01)
    began_at = steady()
    assert instance.wait() is None
    assert steady() - began_at < 0.05


def test_a_request_does_not_wait_beyond_its_deadline():
    instance = Instance(slots=1)
    instance.run(0.1)
    assert instance.wait(deadline=0.05) is None
    assert instance.wait(deadline=-1.0) is None


def test_a_wait_ends_without_a_place_if_the_run_takes_longer_than_expected():
    instance = Instance(slots=1)
    instance.run(1.0)
    wait = instance.wait()
    assert not wait.is_free
    assert 0.2 < wait.seconds < 0.5


def test_runs_beyond_a_lowered_quota_free_no_place():
    instance = Instance(slots=2)
    instance.run(0.1)
    instance.run(0.1)
    instance.registry.mark_busy(instance.target, steady())
    assert instance.waits.expected_places("p", (), 0.25, steady()) == 1


def test_targets_that_get_no_requests_are_not_waited_for():
    for spoil in (
        lambda registry, state: state.record_refused(steady()),
        lambda registry, state: state.hold_slot(steady() + LONG, steady()),
        lambda registry, state: registry.mark_leaving(state.record.incarnation),
        lambda registry, state: (
            registry.brittle_targets.record_failure(state, steady()),
            registry.reachability.record_failure(
                "p", state.record.identity, ContactFailure.SILENT, steady(), steady() - 1.0
            ),
        ),
    ):
        instance = Instance(slots=1)
        instance.run(0.1)
        assert instance.waits.expected_places("p", (), 0.25, steady()) == 1
        spoil(instance.registry, instance.target)
        assert instance.waits.expected_places("p", (), 0.25, steady()) == 0


def test_targets_that_were_tried_are_not_waited_for():
    instance = Instance(slots=1)
    instance.run(0.1)
    tried = (instance.target.record.identity,)
    assert instance.waits.wait("p", tried, steady() + LONG) is None


def test_requests_do_not_wait_for_targets_that_are_not_brittle():
    instance = Instance(slots=1)
    identity = instance.target.record.identity
    instance.registry.brittle_limits.record_answer(identity, float("inf"), steady())
    instance.run(0.1)
    assert instance.wait() is None


def test_only_named_peers_that_can_be_asked_count_as_peers_with_room():
    """Guards against a refusal in the name of a silent instance, before a place is waited for."""
    peers = PeerSelector()
    peers.candidates = lambda pool, needs_version=False: [ForwardingPeer("m1", ("h", 1))]
    forwarder = RequestForwarder(None, peers, None, lambda address, moved: None)
    assert forwarder.has_peer("p")
    assert forwarder.has_peer("p", names={"m1", "m2"})
    assert not forwarder.has_peer("p", names={"m2"})
