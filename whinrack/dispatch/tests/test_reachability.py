"""Detection of pools whose targets this instance has lost contact with."""

import pytest

from whinrack.dispatch import ContactFailure, Reachability


class Pool:
    """Pool `p` with a settable list of targets, and the changes that were reported."""

    def __init__(self, *targets):
        self.now = 100.0
        self.targets = list(targets)
        self.reachability = Reachability(lambda pool: self.targets, lambda: self.now)
        self.changes = []
        self.reachability.on_change.append(self.changes.append)
        self.failed_pools = []
        self.reachability.on_failure.append(self.failed_pools.append)

    def fail(self, *targets, kind=ContactFailure.UNREACHABLE, began_at=None, opened_at=None):
        began_at = self.now if began_at is None else began_at
        for target in targets:
            self.reachability.record_failure("p", target, kind, began_at, opened_at)

    def answer(self, target="a", opened_at=None):
        opened_at = self.now if opened_at is None else opened_at
        self.reachability.record_answer("p", target, opened_at)

    def check(self, failing):
        """Probe the targets that are to be checked; those in `failing` do not answer."""
        for target in self.reachability.targets_to_check("p"):
            if target in failing:
                self.fail(target)
            else:
                self.answer(target)

    @property
    def is_lost(self):
        return self.reachability.is_lost("p")


def test_unknown_pool_is_not_lost():
    assert not Pool("a", "b").is_lost


@pytest.mark.parametrize("kind", ContactFailure)
def test_pool_whose_targets_all_fail_after_two_have_failed(kind):
    pool = Pool("a", "b", "c", "d")
    pool.fail("a", "a", kind=kind)
    assert not pool.reachability.is_suspected("p")
    pool.fail("b", kind=kind)
    assert pool.reachability.is_suspected("p")
    assert pool.failed_pools == ["p"] * 3
    pool.check(failing="cd")
    assert pool.is_lost
    (change,) = pool.changes
    assert change.is_lost and change.targets == 4
    assert change.evidence.startswith(f"a:{kind}@0.00/0.00 b:{kind}@0.00/0.00")
    assert change.untried == 0


@pytest.mark.parametrize("ended", ["ab", "abc", "abcdef"])
def test_ended_targets_are_not_taken_for_a_lost_path(ended):
    """Guards against giving up a pool whose other targets were not asked."""
    pool = Pool(*"abcdefgh")
    pool.fail(*ended)
    assert not pool.is_lost
    pool.check(failing=ended)
    assert not pool.is_lost
    assert not pool.reachability.is_suspected("p")
    assert pool.changes == []


def test_answers_over_open_connections_do_not_hide_that_no_new_one_can_be_opened():
    pool = Pool("a", "b", "c")
    opened_at = pool.now - 5.0
    for target in "abc":
        pool.now += 0.1
        pool.fail(target)
        pool.answer("c", opened_at=opened_at)
    assert pool.is_lost


def test_failures_over_open_connections_alone_are_no_loss():
    pool = Pool("a", "b", "c")
    pool.fail("a", "b", "c", kind=ContactFailure.CUT, opened_at=pool.now - 5.0)
    assert pool.reachability.is_suspected("p") and not pool.is_lost
    pool.check(failing="a")
    assert not pool.reachability.is_suspected("p")


def test_only_some_targets_of_a_large_pool_are_checked():
    names = [str(number) for number in range(100)]
    pool = Pool(*names)
    pool.fail("0", "1")
    assert len(pool.reachability.targets_to_check("p")) == 14
    pool.check(failing=names)
    assert pool.is_lost


def test_an_answer_in_between_is_evidence_against_a_loss():
    pool = Pool("a", "b", "c")
    pool.fail("a")
    pool.now += 0.1
    pool.answer("c")
    pool.now += 0.1
    pool.fail("b")
    assert not pool.is_lost


def test_failure_of_an_attempt_that_began_before_the_last_answer():
    pool = Pool("a", "b", "c")
    pool.answer("c")
    pool.fail("a", began_at=pool.now - 1.0)
    pool.fail("b", began_at=pool.now - 1.0)
    assert not pool.is_lost
    # They are a reason to check the pool all the same.
    assert pool.failed_pools == ["p"] * 2


def test_single_target_of_a_pool():
    pool = Pool("a")
    pool.fail("a")
    assert pool.is_lost


def test_pool_without_targets_in_service_is_not_lost():
    pool = Pool()
    pool.fail("a")
    pool.fail("b")
    assert not pool.is_lost


def test_an_answer_over_a_connection_from_before_a_loss_does_not_end_it():
    pool = Pool("a", "b", "c")
    pool.fail("a", "b", "c")
    pool.answer("c", opened_at=pool.now - 1.0)
    assert pool.is_lost


def test_one_failed_target_is_not_enough_while_another_pool_is_lost():
    """Guards against a pool that is down and one crashed target of another taken for a cut."""
    pool = Pool("a", "b", "c")
    pool.fail("a", "b", "c")
    pool.reachability.record_failure("q", "a", ContactFailure.UNREACHABLE, pool.now)
    assert pool.reachability.lost_pools() == ["p"]


def test_any_answer_over_a_new_connection_ends_a_loss():
    pool = Pool("a", "b", "c")
    pool.fail("a", "b", "c")
    pool.now += 5.0
    pool.answer("c")
    assert not pool.is_lost
    assert [change.is_lost for change in pool.changes] == [True, False]
    assert pool.changes[1].evidence == "c"


def test_a_loss_is_confirmed_after_a_second():
    pool = Pool("a", "b")
    pool.fail("a")
    pool.fail("b")
    pool.now += 0.9
    assert not pool.reachability.is_loss_confirmed("p")
    pool.now += 0.1
    assert pool.reachability.is_loss_confirmed("p")
    pool.answer()
    assert not pool.reachability.is_loss_confirmed("p")


def test_replacement_of_the_failed_targets_ends_a_loss():
    pool = Pool("a", "b")
    pool.fail("a")
    pool.fail("b")
    assert pool.reachability.lost_pools() == ["p"]
    pool.targets = ["c", "d"]
    assert pool.reachability.lost_pools() == []
    assert [change.is_lost for change in pool.changes] == [True, False]


def test_a_lost_pool_gets_a_trial_request_now_and_then():
    pool = Pool("a", "b")
    pool.fail("a", "b")
    trials = []
    for _ in range(10):
        pool.now += 0.2
        trials.append(pool.reachability.take_trial("p"))
    assert trials.count(True) == 3


def test_targets_that_come_during_a_check_do_not_prolong_it():
    """Guards against a loss that is never noticed while targets are replaced one by one."""
    pool = Pool("a", "b", "c")
    pool.fail("a", "b")
    pool.targets += ["d"]
    assert pool.reachability.targets_to_check("p") == ["c"]
    pool.fail("c")
    assert pool.is_lost


def test_later_suspicions_consider_the_targets_of_their_time():
    pool = Pool("a", "b", "c")
    pool.fail("a", "b")
    pool.check(failing="")
    pool.targets = ["d", "e", "f"]
    pool.now += 1.0
    pool.fail("d", "e")
    assert not pool.is_lost
    assert pool.reachability.targets_to_check("p") == ["f"]


def test_silence_of_a_target_that_answers_others_is_no_evidence():
    """Guards against hanging health checks of targets that serve over open connections."""
    pool = Pool("a", "b")
    began_at = pool.now
    pool.fail("a")
    pool.now += 0.5
    pool.answer("b", opened_at=began_at - 10.0)
    pool.now += 0.2
    pool.fail("b", kind=ContactFailure.SILENT, began_at=began_at)
    assert not pool.is_lost
    pool.fail("b", kind=ContactFailure.CUT, began_at=pool.now)
    assert pool.is_lost


def test_pool_is_doubted_until_a_target_has_answered():
    pool = Pool("a", "b")
    assert pool.reachability.is_doubted("p")
    pool.fail("a")
    assert pool.reachability.is_doubted("p")
    pool.answer()
    assert not pool.reachability.is_doubted("p")


def test_targets_of_a_pool_without_any_contact_are_checked():
    """Guards against a doubt that lasts until callers' requests happen to end it."""
    pool = Pool("a", "b")
    assert pool.reachability.targets_to_check("p") == ["a", "b"]


def test_loss_of_one_pool_puts_the_others_in_doubt_until_they_answer():
    pool = Pool("a", "b")
    pool.reachability.record_answer("q", "x", pool.now)
    pool.answer()
    pool.now += 1.0
    pool.fail("a", "b")
    assert pool.is_lost
    assert not pool.reachability.is_doubted("p")
    assert pool.reachability.is_doubted("q")
    pool.now += 0.1
    pool.reachability.record_answer("q", "x", pool.now)
    assert not pool.reachability.is_doubted("q")


def test_pool_is_lost_if_the_only_target_that_this_instance_may_send_to_fails():
    pool = Pool("a", "b", "c")
    pool.reachability.targets_with_quota = lambda name: ["b"]
    pool.fail("b")
    assert pool.is_lost


def test_request_that_waited_in_vain_leads_to_a_check_unless_the_pool_is_lost():
    pool = Pool("a", "b")
    pool.reachability.request_check("p")
    assert pool.failed_pools == ["p"]
    pool.fail("a", "b")
    pool.failed_pools.clear()
    pool.reachability.request_check("p")
    assert pool.failed_pools == []
