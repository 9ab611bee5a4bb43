"""Requests that were blamed beside the cause are released by evidence or a trial, not refused.

Guards against refusing an innocent request that ran at the same ends of targets as the cause.
"""

import pytest

from standins.memory_store import MemoryStore
from whinrack.exceptions import RequestQuarantined
from whinrack.quarantine import CaseStore, Quarantine, RequestSignature, TargetEnd
from whinrack.quarantine.tests.connected_host import ConnectedHost

CAUSE = RequestSignature("cause", "w", "r")
NEIGHBOUR = RequestSignature("neighbour", "v", "r")
OTHER = RequestSignature("other", "v", "r")
PATIENCE_SECONDS = 4.0


class Instance(ConnectedHost):
    """Instance with a simulated clock, whose time of day differs from that of the others."""

    def __init__(self, fleet, name):
        super().__init__(name)
        self.fleet = fleet
        self.case_store = CaseStore(fleet.store, lambda: fleet.now + self.wall_offset)
        self.wall_offset = 3.0 * int(name)
        self.quarantine = Quarantine(
            self.case_store,
            self,
            lambda: fleet.now + self.wall_offset,
            lambda: fleet.now,
            fleet.sleep,
        )

    def is_hearing_majority(self):
        return 2 * (1 + len(self.reachable)) > len(self.fleet.instances)

    def end(self, target, *requests):
        self.quarantine.record_target_end(TargetEnd(target), list(requests))

    def admit(self, request):
        """Return whether the run is a trial, or None if the request is refused."""
        try:
            return self.quarantine.admit(request, self.fleet.now + PATIENCE_SECONDS)
        except RequestQuarantined:
            return None


class Fleet:
    """Instances with a simulated clock; `later` holds what happens while a request waits."""

    def __init__(self, count=4):
        self.store = MemoryStore()
        self.now = 1_000_000.0
        self.later = []
        self.instances = [Instance(self, str(number)) for number in range(count)]
        self.connect(self.instances)

    def connect(self, *groups):
        for group in groups:
            for instance in group:
                instance.reachable = [peer for peer in group if peer is not instance]

    def sleep(self, seconds):
        self.now += seconds
        due = [action for at, action in self.later if at <= self.now]
        self.later = [(at, action) for at, action in self.later if at > self.now]
        for action in due:
            action()

    def after(self, seconds, action):
        self.later.append((self.now + seconds, action))


@pytest.fixture
def fleet():
    return Fleet()


@pytest.fixture
def tied(fleet):
    """Fleet in which two requests ran at the same three ends."""
    for target in "abc":
        fleet.instances[0].end(target, CAUSE, NEIGHBOUR)
    return fleet


def test_request_with_a_rival_is_tried_at_once(tied):
    began = tied.now
    assert tied.instances[2].admit(NEIGHBOUR) is True
    assert tied.now == began


def test_successful_trial_releases_the_request_and_leaves_the_cause_quarantined(tied):
    tied.instances[2].admit(NEIGHBOUR)
    tied.instances[2].quarantine.record_success(NEIGHBOUR)
    assert [instance.admit(NEIGHBOUR) for instance in tied.instances] == [False] * 4
    assert [instance.admit(CAUSE) for instance in tied.instances] == [None] * 4


def test_trial_that_ends_its_target_releases_the_rivals(tied):
    assert tied.instances[1].admit(CAUSE) is True
    tied.instances[1].end("d", CAUSE)
    assert [instance.admit(NEIGHBOUR) for instance in tied.instances] == [False] * 4
    assert [instance.admit(CAUSE) for instance in tied.instances] == [None] * 4


def test_second_request_waits_for_the_trial_of_the_first(tied):
    began = tied.now
    tied.instances[0].admit(NEIGHBOUR)
    tied.after(0.7, lambda: tied.instances[0].quarantine.record_success(NEIGHBOUR))
    assert tied.instances[3].admit(NEIGHBOUR) is False
    assert 0.7 <= tied.now - began < 0.8


def test_rivals_are_not_tried_at_the_same_time(tied):
    began = tied.now
    tied.instances[0].admit(CAUSE)
    tied.after(0.2, lambda: tied.instances[0].end("d", CAUSE))
    assert tied.instances[1].admit(NEIGHBOUR) is False
    assert 0.2 <= tied.now - began < 0.3


def test_only_three_runs_of_a_cause_that_keeps_its_rivals_are_admitted(tied):
    """A rival with as many ends as the cause must not let the cause run without a bound."""
    admitted = 0
    for second in range(3600):
        if tied.instances[second % 4].admit(CAUSE):
            admitted += 1
            tied.instances[second % 4].end(f"later-{second}", CAUSE, NEIGHBOUR)
        tied.now += 1.0
    assert admitted == 3


def test_request_that_nothing_can_decide_soon_is_refused_at_once(tied):
    for _ in range(2):
        tied.instances[0].admit(CAUSE)
        tied.now += 2.5
    began = tied.now
    assert tied.instances[1].admit(CAUSE) is None
    assert tied.now == began


def test_request_waits_for_evidence_against_its_rival_that_is_on_its_way(fleet):
    """Guards against refusing a request in the moment before other instances report the cause."""
    first, last = fleet.instances[0], fleet.instances[3]
    fleet.connect(fleet.instances[:3], fleet.instances[3:])
    for target in "abc":
        last.end(target, NEIGHBOUR)
        first.end(target, CAUSE)
    first.end("d", CAUSE)
    reported = first.quarantine.table.suspect_cases()
    fleet.after(0.1, lambda: last.quarantine.merge_cases(reported, first.name))
    began = fleet.now
    assert last.admit(NEIGHBOUR) is False
    assert fleet.now - began < 0.2


def test_request_without_rivals_is_refused_once_no_evidence_is_on_its_way(fleet):
    for target in "abc":
        fleet.instances[0].end(target, CAUSE)
    began = fleet.now
    assert fleet.instances[1].admit(CAUSE) is None
    assert fleet.now - began < 0.6
    began = fleet.now
    assert fleet.instances[1].admit(CAUSE) is None
    assert fleet.now == began


def test_trial_is_admitted_once_while_the_store_does_not_answer(tied):
    for instance in tied.instances:
        instance.store_answers = False
    assert tied.instances[1].admit(NEIGHBOUR) is True
    tied.after(0.3, lambda: tied.instances[1].quarantine.record_success(NEIGHBOUR))
    assert tied.instances[2].admit(NEIGHBOUR) is False


def test_no_trial_is_admitted_without_the_store_in_the_smaller_part_of_a_fleet(tied):
    tied.connect(tied.instances[:1], tied.instances[1:])
    for instance in tied.instances:
        instance.store_answers = False
    assert tied.instances[0].admit(NEIGHBOUR) is None
    assert tied.instances[3].admit(NEIGHBOUR) is True


def test_trial_that_no_target_ran_is_used_by_the_next_request(tied):
    began = tied.now
    tied.instances[0].admit(NEIGHBOUR)
    tied.instances[0].quarantine.return_trial(NEIGHBOUR)
    assert tied.instances[0].admit(NEIGHBOUR) is True
    assert tied.now == began


def test_trial_that_no_target_ran_is_lost_if_another_instance_has_had_one_since(tied):
    tied.instances[0].admit(NEIGHBOUR)
    tied.instances[0].quarantine.return_trial(NEIGHBOUR)
    tied.now += 2.5
    assert tied.instances[1].admit(NEIGHBOUR) is True
    began = tied.now
    tied.after(1.0, lambda: tied.instances[1].quarantine.record_success(NEIGHBOUR))
    assert tied.instances[0].admit(NEIGHBOUR) is False
    assert tied.now - began >= 1.0


def test_three_requests_with_the_same_ends_are_released_one_after_the_other(fleet):
    for target in "abc":
        fleet.instances[0].end(target, CAUSE, NEIGHBOUR, OTHER)
    for request in (NEIGHBOUR, OTHER):
        assert fleet.instances[1].admit(request) is True
        fleet.instances[1].quarantine.record_success(request)
    assert fleet.instances[1].admit(CAUSE) is None


def test_two_requests_that_both_end_targets_run_three_times_more_each(tied):
    """Each end releases the other cause until both have three ends of their own."""
    runs = {CAUSE: 0, NEIGHBOUR: 0}
    for second in range(60):
        for request in runs:
            instance = tied.instances[second % 4]
            if instance.admit(request) is not None:
                runs[request] += 1
                instance.end(f"{request.fingerprint}-{second}", request)
            tied.now += 0.5
    assert set(runs.values()) == {3}
    assert len(tied.instances[0].quarantine.quarantined_cases()) == 2
