"""A fleet keeps a request out that ends its targets, and nobody else's."""

import pytest

from standins.memory_store import MemoryStore
from whinrack.exceptions import RequestQuarantined
from whinrack.quarantine import CaseStore, Quarantine, QuarantineHost, RequestSignature, TargetEnd

DEADLY = RequestSignature("deadly", "w", "r")
NEIGHBOUR = RequestSignature("neighbour", "v", "r")
POPULAR = RequestSignature("popular", "v", "r")


class Instance(QuarantineHost):
    """One instance; it reaches the peers in `hears`."""

    def __init__(self, name, store, clock):
        self.name = name
        self.hears = []
        self.store_answers = True
        self.archive = CaseStore(store, lambda: clock[0])
        self.quarantine = Quarantine(self.archive, self, lambda: clock[0], lambda: clock[0])

    def send_to_owners(self, case):
        self.send_to_all([case])

    def send_to_all(self, cases):
        for peer in self.hears:
            lacking = peer.quarantine.merge_cases(cases, self.name)
            if lacking:
                self.quarantine.merge_cases(lacking, peer.name)

    def reaches_store(self):
        return self.store_answers

    def schedule_save(self):
        self.archive.write(self.quarantine.table.suspect_cases())

    def compare(self, peer):
        """Do what heartbeats with different checksums do."""
        if self.quarantine.table.checksum() != peer.quarantine.table.checksum():
            peer.quarantine.merge_cases(self.quarantine.table.suspect_cases(), self.name)
            self.quarantine.merge_cases(peer.quarantine.table.suspect_cases(), peer.name)

    def admits(self, request):
        try:
            self.quarantine.admit(request)
        except RequestQuarantined:
            return False
        return True


class Fleet:
    def __init__(self, count=4):
        self.store = MemoryStore()
        self.clock = [1_000_000.0]
        self.start(count)

    def start(self, count):
        self.all = [Instance(f"m{number}", self.store, self.clock) for number in range(count)]
        self.connect(self.all)

    def connect(self, *groups):
        for group in groups:
            for instance in group:
                instance.hears = [peer for peer in group if peer is not instance]

    def end(self, number, target, *requests):
        self.all[number].quarantine.record_target_end(TargetEnd(target), list(requests))

    def admits(self, request=DEADLY):
        return [instance.admits(request) for instance in self.all]


@pytest.fixture
def fleet():
    return Fleet()


def test_three_ends_at_three_instances_are_three(fleet):
    for number, target in enumerate("abc"):
        assert fleet.admits() == [True] * 4
        fleet.end(number, target, DEADLY)
    assert fleet.admits() == [False] * 4


def test_one_end_that_all_see_is_one(fleet):
    for number in range(4):
        fleet.end(number, "a", DEADLY)
        fleet.end(number, "b", DEADLY)
    assert fleet.admits() == [True] * 4


def test_the_caller_is_told_when_the_next_run_is_let_through(fleet):
    for target in "abc":
        fleet.end(0, target, DEADLY)
    with pytest.raises(RequestQuarantined) as refused:
        fleet.all[1].quarantine.admit(DEADLY)
    assert 30.0 <= refused.value.retry_after <= 32.0


def test_a_run_that_ended_well_clears_the_request_everywhere(fleet):
    for target in "abc":
        fleet.end(0, target, POPULAR)
    fleet.all[2].quarantine.record_success(POPULAR)
    assert fleet.admits(POPULAR) == [True] * 4


def test_a_request_that_ends_well_beside_is_never_blamed(fleet):
    for number, target in enumerate("abcdef"):
        fleet.clock[0] += 5.0
        fleet.all[3].quarantine.record_success(POPULAR)
        fleet.end(number % 3, target, POPULAR, DEADLY)
        assert fleet.admits(POPULAR) == [True] * 4
    assert fleet.admits() == [False] * 4


def test_neighbours_go_free_once_the_culprit_is_known(fleet):
    for target in "abc":
        fleet.end(0, target, DEADLY, NEIGHBOUR)
    assert fleet.admits(NEIGHBOUR) == [False] * 4
    # One more end, that of a run that was under way, tells the two apart.
    fleet.end(1, "d", DEADLY)
    assert fleet.admits(NEIGHBOUR) == [True] * 4
    assert fleet.admits() == [False] * 4


def test_two_halves_that_were_cut_apart_put_their_ends_together(fleet):
    fleet.connect(fleet.all[:2], fleet.all[2:])
    fleet.end(0, "a", DEADLY)
    fleet.end(0, "b", DEADLY)
    fleet.end(2, "c", DEADLY)
    fleet.connect(fleet.all)
    fleet.all[0].compare(fleet.all[2])
    assert fleet.admits() == [False] * 4


def test_halves_that_stay_apart_learn_of_each_other_through_the_store(fleet):
    fleet.connect(fleet.all[:2], fleet.all[2:])
    fleet.end(0, "a", DEADLY)
    fleet.end(0, "b", DEADLY)
    fleet.end(2, "c", DEADLY)
    for instance in fleet.all:
        instance.quarantine.merge_stored_cases(instance.archive.read().unwrap())
    assert fleet.admits()[2:] == [False, False]


def test_an_instance_that_was_away_learns_by_the_checksums(fleet):
    asleep = fleet.all[3]
    fleet.connect(fleet.all[:3])
    asleep.hears = []
    for target in "abc":
        fleet.end(0, target, DEADLY)
    assert asleep.admits(DEADLY)
    fleet.all[1].compare(asleep)
    assert not asleep.admits(DEADLY)


def test_it_outlasts_a_kill_of_all(fleet):
    for target in "abc":
        fleet.end(0, target, DEADLY)
    fleet.start(4)
    for instance in fleet.all:
        instance.quarantine.merge_stored_cases(instance.archive.read().unwrap())
    assert fleet.admits() == [False] * 4


def test_in_a_day_one_run_of_it_is_let_through_at_most_three_times(fleet):
    for target in "abc":
        fleet.end(0, target, DEADLY)
    let_through = 0
    for second in range(86_400):
        fleet.clock[0] += 1.0
        if fleet.all[second % 4].admits(DEADLY):
            let_through += 1
            fleet.end(second % 4, f"later-{second}", DEADLY)
    assert let_through == 3


def test_a_wrong_blame_ends_with_the_first_trial(fleet):
    for target in "abc":
        fleet.end(0, target, POPULAR)
    fleet.clock[0] += 60.0
    assert sum(fleet.admits(POPULAR)) == 1
    fleet.all[1].quarantine.record_success(POPULAR)
    assert fleet.admits(POPULAR) == [True] * 4


def test_without_the_store_no_run_is_let_through(fleet):
    for target in "abc":
        fleet.end(0, target, DEADLY)
    fleet.store.down = True
    fleet.clock[0] += 60.0
    assert fleet.admits() == [False] * 4
    fleet.store.down = False
    assert sum(fleet.admits()) == 1


def test_while_the_store_is_away_nobody_waits_for_it(fleet):
    for target in "abc":
        fleet.end(0, target, DEADLY)
    fleet.clock[0] += 60.0
    calls = fleet.store.calls
    for instance in fleet.all:
        instance.store_answers = False
    assert fleet.admits() == [False] * 4
    assert fleet.store.calls == calls


def test_a_trial_that_may_have_been_taken_is_not_taken_again(fleet):
    for target in "abc":
        fleet.end(0, target, DEADLY)
    fleet.clock[0] += 60.0
    fleet.store.lose_replies = 1
    assert fleet.admits() == [False] * 4


def test_an_operator_lifts_it_everywhere(fleet):
    for target in "abc":
        fleet.end(0, target, DEADLY)
    assert [case.fingerprint for case in fleet.all[1].quarantine.quarantined_cases()] == ["deadly"]
    assert fleet.all[1].quarantine.lift("deadly")
    assert not fleet.all[1].quarantine.lift("deadly")
    assert fleet.admits() == [True] * 4
