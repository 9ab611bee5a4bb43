"""One workspace with small urgent and large other requests, whose budget runs out."""

import eventlet
import pytest
from eventlet.semaphore import Semaphore
from returns.result import Failure, Success

from whinrack.budgets import GrantManager, GrantOptions
from whinrack.budgets._reserve import UrgencyDemand, more_urgent_share
from whinrack.budgets.tests.simulated_fleet import BUDGET, Fleet
from whinrack.budgets.tests.test_waiting import NoPeers, SlowBackend
from whinrack.exceptions import BudgetReserved

URGENT, OTHER = 0, 2
# Tokens of the requests that each of three machines gets in a second: 1,440 a second in all.
LOAD = [(40, URGENT), (360, OTHER), (40, URGENT), (40, URGENT)]
SHORT, PLENTIFUL = 28_800, 1_000_000


class Play:
    """Seconds of load on three machines, the first of which draws ahead for all."""

    def __init__(self, limit, urgencies=(URGENT, OTHER), machines=3):
        self.fleet = Fleet(machines, limit)
        self.served = {URGENT: 0, OTHER: 0}
        self.refusals = []
        for machine in self.fleet.machines:
            machine.supplier = self.fleet.machines[0]
            machine.manager.set_urgencies(urgencies)

    def run(self, seconds, load=LOAD):
        for _ in range(seconds):
            for tokens, urgency in load:
                for machine in self.fleet.machines:
                    self._request(machine, tokens, urgency)
            for machine in self.fleet.machines:
                machine.manager.renew()
            self.fleet.now += 1.0
        assert self.fleet.used <= self.fleet.limit
        return self

    def _request(self, machine, tokens, urgency):
        cover = machine.request(tokens, urgency)
        if isinstance(cover, Success):
            self.served[urgency] += 1
            machine.settle(1.0)
        elif isinstance(cover.failure(), BudgetReserved):
            self.refusals.append((urgency, cover.failure()))


def test_short_budget_serves_urgent_requests_for_longer():
    plain, kept = Play(SHORT, [URGENT]).run(45), Play(SHORT).run(45)
    # A quarter of the tokens are urgent, so that 15 s of them last as long as 4 s of everything.
    assert kept.served[URGENT] >= 1.4 * plain.served[URGENT]
    assert kept.served[OTHER] >= 0.7 * plain.served[OTHER]
    assert kept.fleet.used >= 0.95 * plain.fleet.used
    assert {urgency for urgency, _ in kept.refusals} == {OTHER}
    assert all(refusal.retry_after >= 1.0 for _, refusal in kept.refusals)
    assert not plain.refusals


def test_sufficient_budget_refuses_nothing():
    play = Play(PLENTIFUL).run(45)
    assert play.served == {URGENT: 45 * 9, OTHER: 45 * 3}


def test_outage_with_enough_tokens_refuses_nothing_less_urgent():
    play = Play(PLENTIFUL).run(20)
    for machine in play.fleet.machines:
        machine.cut_off = True
    play.run(6)
    assert not play.refusals


def test_long_outage_keeps_the_tokens_of_the_supplier_for_urgent_requests():
    def served_in_outage(urgencies):
        play = Play(PLENTIFUL, urgencies, machines=1).run(20)
        play.fleet.machines[0].cut_off = True
        before = play.served[URGENT]
        play.run(40)
        return play.served[URGENT] - before

    assert served_in_outage([URGENT, OTHER]) >= 1.4 * served_in_outage([URGENT])


def test_reserve_is_held_soon_after_a_restart_of_all_instances():
    play = Play(SHORT).run(18)
    play.refusals.clear()
    for machine in play.fleet.machines:
        machine.crash()
        machine.manager.set_urgencies([URGENT, OTHER])
        machine.release()
    play.run(2)
    assert play.refusals


def test_raised_limit_ends_the_reserve():
    play = Play(SHORT).run(19)
    assert play.refusals
    play.refusals.clear()
    play.fleet.limit = PLENTIFUL
    for machine in play.fleet.machines:
        machine.manager.set_limits(2, {BUDGET: PLENTIFUL})
    play.run(10)
    assert not play.refusals


def test_reserve_is_released_without_urgent_demand():
    play = Play(SHORT).run(19)
    before = play.served[OTHER]
    play.run(60, [(360, OTHER)])
    assert play.served[OTHER] - before >= 10
    assert play.fleet.used >= SHORT - 2 * 360


def test_reserve_held_is_reported_once_until_it_ends():
    manager = Play(SHORT).fleet.machines[0].manager
    assert [manager.begin_reserve(BUDGET) for _ in range(3)] == [True, False, False]
    assert manager.take_ended_reserves() == []
    manager.clock = lambda: 1e9
    assert manager.take_ended_reserves() == [BUDGET]
    assert manager.take_ended_reserves() == []


@pytest.mark.parametrize(("requests", "low", "high"), [(1, 0.2, 0.35), (300, 0.0, 0.1)])
def test_share_of_few_requests_stays_near_that_of_all_budgets(requests, low, high):
    own, overall = UrgencyDemand(), UrgencyDemand()
    for number in range(400):
        tokens, urgency = LOAD[number % 4]
        overall.record_asked(urgency, tokens, 0.0)
    for _ in range(requests):
        own.record_asked(OTHER, 360, 0.0)
        own.record_covered(OTHER, 360, 0.0)
    assert low <= more_urgent_share(own, overall, OTHER, 0.0) <= high
    assert more_urgent_share(own, overall, URGENT, 0.0) == 0.0


def test_nothing_is_kept_for_routes_that_a_workspace_does_not_use():
    """Others send urgent requests, and this workspace never does."""
    own, overall = UrgencyDemand(), UrgencyDemand()
    for _ in range(200):
        own.record_asked(OTHER, 360, 0.0)
        own.record_covered(OTHER, 360, 0.0)
        for urgency in (URGENT, OTHER):
            overall.record_asked(urgency, 200, 0.0)
    assert more_urgent_share(own, overall, OTHER, 0.0) == 0.0
    own.record_asked(URGENT, 40, 0.0)
    assert more_urgent_share(own, overall, OTHER, 0.0) > 0.0


def test_refill_goes_to_urgent_waiting_requests_first():
    """The last tokens arrive while less urgent requests are ahead in the queue."""
    manager = GrantManager(
        "m.1", "a", SlowBackend(), NoPeers(), GrantOptions(), make_lock=Semaphore
    )
    manager.set_limits(1, {BUDGET: 1_000})
    manager.set_urgencies([URGENT, OTHER])
    waiters = [
        eventlet.spawn(manager.cover, BUDGET, tokens, urgency)
        for tokens, urgency in [(600, OTHER), (700, OTHER), (300, URGENT), (300, URGENT)]
    ]
    covers = [waiter.wait() for waiter in waiters]
    assert [isinstance(cover, Failure) for cover in covers] == [True, True, False, False]
