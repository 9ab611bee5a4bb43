"""Tests of the quarantine in a fleet: only the request that ends targets is refused."""

import pytest

from standins.memory_store import MemoryStore
from whinrack.exceptions import RequestQuarantined
from whinrack.quarantine import CaseStore, Quarantine, RequestSignature, TargetEnd
from whinrack.quarantine.tests.connected_host import ConnectedHost

DEADLY = RequestSignature("deadly", "w", "r")
NEIGHBOUR = RequestSignature("neighbour", "v", "r")
POPULAR = RequestSignature("popular", "v", "r")
# Time for which requests of the dispatcher wait for a decision at most, seconds.
PATIENCE_SECONDS = 4.0


class Instance(ConnectedHost):
    """Instance with a clock that the fleet sets."""

    def __init__(self, name, store, clock, patience):
        super().__init__(name)
        self.clock = clock
        self.patience = patience
        self.case_store = CaseStore(store, lambda: clock[0])
        self.quarantine = Quarantine(
            self.case_store, self, lambda: clock[0], lambda: clock[0], self._sleep
        )

    def _sleep(self, seconds):
        self.clock[0] += seconds

    def admit(self, request):
        deadline = None if self.patience is None else self.clock[0] + self.patience
        return self.quarantine.admit(request, deadline)

    def compare(self, peer):
        """Exchange cases as heartbeats with different checksums do."""
        if self.quarantine.table.checksum() != peer.quarantine.table.checksum():
            peer.quarantine.merge_cases(self.quarantine.table.suspect_cases(), self.name)
            self.quarantine.merge_cases(peer.quarantine.table.suspect_cases(), peer.name)

    def admits(self, request):
        try:
            self.admit(request)
        except RequestQuarantined:
            return False
        return True


class Fleet:
    def __init__(self, count=4, patience=None):
        self.patience = patience
        self.store = MemoryStore()
        self.clock = [1_000_000.0]
        self.start(count)

    def start(self, count):
        self.all = [
            Instance(f"m{number}", self.store, self.clock, self.patience) for number in range(count)
        ]
        self.connect(self.all)

    def connect(self, *groups):
        for group in groups:
            for instance in group:
                instance.reachable = [peer for peer in group if peer is not instance]

    def end(self, number, target, *requests):
        self.all[number].quarantine.record_target_end(TargetEnd(target), list(requests))

    def admits(self, request=DEADLY):
        return [instance.admits(request) for instance in self.all]


@pytest.fixture(params=[None, PATIENCE_SECONDS], ids=["at once", "patient"])
def fleet(request):
    return Fleet(patience=request.param)


@pytest.fixture
def impatient_fleet():
    return Fleet()


def test_ends_observed_by_different_instances_add_up(fleet):
    for number, target in enumerate("abc"):
        assert fleet.admits() == [True] * 4
        fleet.end(number, target, DEADLY)
    assert fleet.admits() == [False] * 4


def test_end_observed_by_all_instances_counts_once(fleet):
    for number in range(4):
        fleet.end(number, "a", DEADLY)
        fleet.end(number, "b", DEADLY)
    assert fleet.admits() == [True] * 4


def test_refusal_has_the_time_of_the_next_trial(fleet):
    for target in "abc":
        fleet.end(0, target, DEADLY)
    with pytest.raises(RequestQuarantined) as refused:
        fleet.all[1].admit(DEADLY)
    assert 30.0 <= refused.value.retry_after <= 32.0


def test_successful_run_clears_the_request_on_all_instances(fleet):
    for target in "abc":
        fleet.end(0, target, POPULAR)
    fleet.all[2].quarantine.record_success(POPULAR)
    assert fleet.admits(POPULAR) == [True] * 4


def test_request_with_recent_successes_is_never_quarantined(fleet):
    for number, target in enumerate("abcdef"):
        fleet.clock[0] += 5.0
        fleet.all[3].quarantine.record_success(POPULAR)
        fleet.end(number % 3, target, POPULAR, DEADLY)
        assert fleet.admits(POPULAR) == [True] * 4
    assert fleet.admits() == [False] * 4


def test_neighbour_is_admitted_once_the_culprit_is_known(impatient_fleet):
    """Without a deadline; test_undecided.py has what a request that may wait gets meanwhile."""
    fleet = impatient_fleet
    for target in "abc":
        fleet.end(0, target, DEADLY, NEIGHBOUR)
    assert fleet.admits(NEIGHBOUR) == [False] * 4
    # One more end, of a run that was in progress, distinguishes the two.
    fleet.end(1, "d", DEADLY)
    assert fleet.admits(NEIGHBOUR) == [True] * 4
    assert fleet.admits() == [False] * 4


def test_evidence_of_two_partitions_is_merged_when_they_are_connected(fleet):
    fleet.connect(fleet.all[:2], fleet.all[2:])
    fleet.end(0, "a", DEADLY)
    fleet.end(0, "b", DEADLY)
    fleet.end(2, "c", DEADLY)
    fleet.connect(fleet.all)
    fleet.all[0].compare(fleet.all[2])
    assert fleet.admits() == [False] * 4


def test_partitions_share_evidence_through_the_store(fleet):
    fleet.connect(fleet.all[:2], fleet.all[2:])
    fleet.end(0, "a", DEADLY)
    fleet.end(0, "b", DEADLY)
    fleet.end(2, "c", DEADLY)
    for instance in fleet.all:
        instance.quarantine.merge_stored_cases(instance.case_store.read().unwrap())
    assert fleet.admits()[2:] == [False, False]


def test_instance_that_was_cut_off_is_updated_by_comparing_checksums(fleet):
    asleep = fleet.all[3]
    fleet.connect(fleet.all[:3])
    asleep.reachable = []
    for target in "abc":
        fleet.end(0, target, DEADLY)
    assert asleep.admits(DEADLY)
    fleet.all[1].compare(asleep)
    assert not asleep.admits(DEADLY)


def test_quarantine_survives_a_kill_of_all_instances(fleet):
    for target in "abc":
        fleet.end(0, target, DEADLY)
    fleet.start(4)
    for instance in fleet.all:
        instance.quarantine.merge_stored_cases(instance.case_store.read().unwrap())
    assert fleet.admits() == [False] * 4


def test_three_trials_are_admitted_within_a_day(fleet):
    for target in "abc":
        fleet.end(0, target, DEADLY)
    admitted = 0
    for second in range(86_400):
        fleet.clock[0] += 1.0
        if fleet.all[second % 4].admits(DEADLY):
            admitted += 1
            fleet.end(second % 4, f"later-{second}", DEADLY)
    assert admitted == 3


def test_wrongly_blamed_request_is_cleared_by_the_first_trial(fleet):
    for target in "abc":
        fleet.end(0, target, POPULAR)
    fleet.clock[0] += 60.0
    assert sum(fleet.admits(POPULAR)) == 1
    fleet.all[1].quarantine.record_success(POPULAR)
    assert fleet.admits(POPULAR) == [True] * 4


def test_no_trial_is_admitted_while_the_store_is_down(fleet):
    for target in "abc":
        fleet.end(0, target, DEADLY)
    fleet.store.down = True
    fleet.clock[0] += 60.0
    assert fleet.admits() == [False] * 4
    fleet.store.down = False
    assert sum(fleet.admits()) == 1


def test_store_that_is_known_to_be_down_is_not_called(fleet):
    for target in "abc":
        fleet.end(0, target, DEADLY)
    fleet.clock[0] += 60.0
    calls = fleet.store.call_count
    for instance in fleet.all:
        instance.store_answers = False
    assert fleet.admits() == [False] * 4
    assert fleet.store.call_count == calls


def test_trial_with_a_lost_reply_of_its_claim_is_not_admitted(fleet):
    for target in "abc":
        fleet.end(0, target, DEADLY)
    fleet.clock[0] += 60.0
    fleet.store.replies_to_drop = 1
    assert fleet.admits() == [False] * 4


def test_operator_lifts_the_quarantine_on_all_instances(fleet):
    for target in "abc":
        fleet.end(0, target, DEADLY)
    assert [case.fingerprint for case in fleet.all[1].quarantine.quarantined_cases()] == ["deadly"]
    assert fleet.all[1].quarantine.lift("deadly")
    assert not fleet.all[1].quarantine.lift("deadly")
    assert fleet.admits() == [True] * 4
