"""Which cut answers count as crashes of targets and are reported to the quarantine."""

import socket

import eventlet
import pytest

from whinrack.clock import steady
from whinrack.dispatch import ContactFailure, TargetRecord, TargetRegistry
from whinrack.dispatch._crash_detector import CrashDetector, Presence, probe_address
from whinrack.quarantine import RequestSignature, RunGuard, TargetEnd

REQUESTS = [RequestSignature(f"f{number}", "w", "r") for number in range(3)]
RECORD = TargetRecord("t", "p", "h", 1, started=7)


class Guard(RunGuard):
    """Records the reported crashes."""

    def __init__(self):
        self.ends = []

    def record_target_end(self, end, runs):
        self.ends.append((end, runs))


class Harness:
    """One target, the result of probing its address, and the reports to the quarantine."""

    def __init__(self):
        self.presence = Presence.ENDED
        self.probed = []
        self.guard = Guard()
        self.registry = TargetRegistry()
        self.ends = CrashDetector(self.registry, self.guard, self.probe_address)
        self.registry.put(RECORD)
        (self.state,) = self.registry.targets_in_pool("p")

    def probe_address(self, address):
        self.probed.append(address)
        return self.presence

    def cut(self, before_recheck=lambda: None, seconds=0.5):
        for request in REQUESTS:
            self.ends.record_cut(self.state, request)
        eventlet.sleep(0.1)
        before_recheck()
        eventlet.sleep(seconds)
        return self.guard.ends


@pytest.fixture
def harness():
    return Harness()


@pytest.fixture
def listener():
    sock = socket.create_server(("127.0.0.1", 0))
    yield sock
    sock.close()


def test_a_listening_target_is_present(listener):
    assert probe_address(listener.getsockname()) is Presence.HERE


def test_a_target_whose_process_has_ended_is_detected(listener):
    address = listener.getsockname()
    listener.close()
    assert probe_address(address) is Presence.ENDED


def test_simultaneous_cuts_cause_one_probe_and_one_report(harness):
    assert harness.cut() == [(TargetEnd("t", 7), REQUESTS)]
    assert len(harness.probed) == 1


def test_a_target_that_still_listens_has_not_crashed(harness):
    harness.presence = Presence.HERE
    assert harness.cut() == []


def test_a_broken_link_is_no_evidence_of_a_crash(harness):
    harness.presence = Presence.UNKNOWN
    assert harness.cut() == []


def test_a_target_that_refuses_connections_while_requests_run_has_not_crashed(harness):
    harness.registry.begin_request(harness.state)
    assert harness.cut() == []
    harness.registry.end_request(harness.state)
    eventlet.sleep(0.5)
    assert len(harness.guard.ends) == 1


def test_a_crashed_target_is_unavailable_for_a_while(harness):
    harness.cut()
    assert not harness.state.is_available(steady())


def test_the_end_of_a_leaving_target_is_planned(harness):
    harness.registry.mark_leaving("t")
    assert harness.cut() == []


def test_another_target_at_the_same_address_reveals_a_crash(harness):
    harness.presence = Presence.HERE
    successor = TargetRecord("u", "p", "h", 1, started=9)
    assert len(harness.cut(lambda: harness.registry.put(successor))) == 1


def test_an_unreachable_target_whose_record_expires_has_crashed(harness):
    harness.presence = Presence.UNKNOWN
    harness.registry.begin_request(harness.state)
    assert len(harness.cut(lambda: harness.registry.remove("t"))) == 1


def test_a_listening_target_whose_record_is_removed_leaves_as_planned(harness):
    harness.presence = Presence.HERE
    harness.registry.begin_request(harness.state)
    assert harness.cut(lambda: harness.registry.remove("t")) == []


def lose_pool(harness):
    """Let two targets of the pool fail, so that contact with it counts as lost."""
    other = TargetRecord("other", "p", "h", 2, started=7)
    harness.registry.put(other)
    for identity in (RECORD.identity, other.identity):
        harness.registry.reachability.record_failure(
            "p", identity, ContactFailure.UNREACHABLE, steady()
        )
    assert harness.registry.reachability.is_lost("p")


def test_end_in_a_lost_pool_counts_once_the_pool_is_reached(harness):
    """Guards against losing the evidence of every end while other targets have just ended."""
    lose_pool(harness)
    assert harness.cut(seconds=0.0) == []
    harness.registry.reachability.record_answer("p", "other@7", steady())
    eventlet.sleep(0.7)
    assert harness.guard.ends == [(TargetEnd("t", 7), REQUESTS)]


def test_cut_in_a_pool_that_stays_lost_is_no_evidence(harness):
    """The path to all targets is broken, which says nothing about a single one."""
    lose_pool(harness)
    assert harness.cut(seconds=6.5) == []


def test_refused_connection_is_reported_as_an_end(harness):
    harness.registry.put(TargetRecord("u", "p", "h", 2, started=7))
    harness.ends.record_refused(harness.state)
    assert harness.registry.software_version(harness.state) == ""
    eventlet.sleep(0.4)
    assert harness.registry.recently_ended() == [("t", 7)]


def test_refused_connections_of_a_lost_pool_are_not_reported_as_ends(harness):
    """Guards against peers that doubt targets which only a partitioned instance can't reach."""
    harness.ends.record_refused(harness.state)
    lose_pool(harness)
    eventlet.sleep(0.4)
    assert harness.registry.recently_ended() == []


def test_answer_over_an_older_connection_speaks_against_an_end(harness):
    opened_at = steady()
    harness.registry.put(TargetRecord("u", "p", "h", 2, started=7))
    harness.ends.record_refused(harness.state)
    harness.state.record_alive(opened_at)
    eventlet.sleep(0.4)
    assert harness.registry.recently_ended() == []


def test_end_that_a_peer_refutes_is_no_evidence(harness):
    """Guards against blaming harmless requests while some instances are cut off from a target."""

    def refute():
        harness.registry.merge_alive("t", 7)

    assert harness.cut(refute, seconds=0.6) == []
    assert harness.registry.recently_ended() == []


def test_refuted_report_is_new_again_after_a_second():
    now = 100.0
    registry = TargetRegistry(clock=lambda: now)
    registry.put(RECORD)
    assert registry.merge_ended("t", 7, "peer") is not None
    registry.merge_alive("t", 7)
    assert registry.merge_ended("t", 7, "another peer") is None
    now += 1.1
    assert registry.merge_ended("t", 7, "peer") is not None
