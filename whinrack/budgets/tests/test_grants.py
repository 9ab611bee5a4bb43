"""Several grant managers together: no overspend with crashes, partitions and late writes."""

import random

import hypothesis.strategies as st
import pytest
from hypothesis import settings
from hypothesis.stateful import rule
from returns.result import Failure, Success

from whinrack.budgets import GrantOptions
from whinrack.budgets.tests.fault_rules import FaultRules
from whinrack.budgets.tests.simulated_fleet import (
    BUDGET,
    WALL_MARGIN,
    Fleet,
    busy_fleet,
    run_second,
    use_all_tokens,
)
from whinrack.exceptions import BudgetContended, BudgetExhausted


class NeverBeyondTheLimit(FaultRules):
    """Checks that used and reserved tokens never exceed the limit."""

    def machine(self, index):
        return self.fleet.machines[index]

    @rule(index=st.integers(0, 2), tokens=st.integers(1, 600), times=st.integers(1, 6))
    def request(self, index, tokens, times):
        for _ in range(times):
            self.machine(index).request(tokens)

    @rule(index=st.integers(0, 2), tokens=st.sampled_from([37, 300, 2000]))
    def use_all_that_can_be_had(self, index, tokens):
        machine = self.machine(index)
        for _ in range(200):
            if isinstance(machine.request(tokens), Failure):
                return
            machine.settle(1.0)

    @rule(index=st.integers(0, 2), seconds=st.sampled_from([0.0, 0.5, 9.0]))
    def use_all_while_cut_off_and_die(self, index, seconds):
        self.machine(index).cut_off = True
        self.fleet.now += seconds
        self.use_all_that_can_be_had(index, 37)
        self.machine(index).crash()
        self.machine(index).cut_off = False

    @rule(index=st.integers(0, 2), part=st.floats(0.0, 1.0))
    def settle(self, index, part):
        if self.machine(index).covers:
            self.machine(index).settle(part)

    @rule(index=st.integers(0, 2))
    def settle_nothing(self, index):
        while self.machine(index).covers:
            self.machine(index).settle(0.0)

    @rule(index=st.integers(0, 2))
    def renew(self, index):
        self.machine(index).release()
        self.machine(index).manager.renew()

    @rule(seconds=st.sampled_from([0.05, 0.5, 2.0, 9.0]))
    def pass_time(self, seconds):
        self.fleet.now += seconds

    @rule(index=st.integers(0, 2))
    def kill(self, index):
        self.machine(index).crash()

    @rule()
    def kill_all(self):
        for machine in self.fleet.machines:
            machine.crash()

    @rule(index=st.integers(0, 2), steady=st.floats(-1e4, 1e6))
    def lose_power(self, index, steady):
        self.machine(index).steady_offset = steady
        self.machine(index).crash()

    @rule(index=st.integers(0, 2), jump=st.sampled_from([-3.0, -1.5, 0.0, 1.5]))
    def jump_of_the_time_of_day(self, index, jump):
        """Change the time of day of one machine, as the clock check assumes that most are right."""
        for machine in self.fleet.machines:
            machine.wall_offset = 0.0
        self.machine(index).wall_offset = jump

    @rule(index=st.integers(0, 2))
    def planned_stop(self, index):
        machine = self.machine(index)
        machine.manager.drain(False)
        machine.manager.drain(True)
        machine.crash()

    @rule(index=st.integers(0, 2), supplier=st.sampled_from([None, 0, 1, 2]))
    def choose_supplier(self, index, supplier):
        """Change the supplier of one machine; machines may disagree on who supplies them."""
        self.machine(index).supplier = None if supplier is None else self.machine(supplier)

    @rule(supplier=st.integers(0, 2))
    def agree_on_a_supplier(self, supplier):
        for machine in self.fleet.machines:
            machine.supplier = self.machine(supplier)

    @rule(more=st.integers(1, 500))
    def raise_limit(self, more):
        self.fleet.limit += more
        version = self.fleet.limit
        for machine in self.fleet.machines:
            machine.manager.set_limits(version, {BUDGET: self.fleet.limit})


NeverBeyondTheLimit.TestCase.settings = settings(
    max_examples=100, stateful_step_count=40, deadline=None, derandomize=True
)
TestNeverBeyondTheLimit = NeverBeyondTheLimit.TestCase


def test_outage_of_nine_seconds_refuses_nothing():
    fleet = busy_fleet()
    for machine in fleet.machines:
        machine.cut_off = True
    assert sum(run_second(fleet) for _ in range(9)) == 9 * 9


def seldom_used_fleet(limit, seed):
    """Return a supplier and two machines with a large request every two seconds on average."""
    fleet, rng = Fleet(3, limit), random.Random(seed)
    for machine in fleet.machines:
        machine.supplier = fleet.machines[0]

    def second():
        served = asked = 0
        for machine in fleet.machines:
            if rng.random() < 1 / 6:
                asked += 1
                served += isinstance(machine.request(rng.randint(2_000, 16_000)), Success)
            while machine.covers:
                machine.settle(1.0)
            machine.release()
            machine.manager.renew()
        fleet.now += 1.0
        return served, asked

    return fleet, second


def test_outage_refuses_little_of_a_seldom_used_budget():
    """Four requests are expected during the outage, but twice as many may come."""
    served = asked = 0
    for seed in range(30):
        fleet, second = seldom_used_fleet(3_000_000, seed)
        for _ in range(20):
            second()
        for machine in fleet.machines:
            machine.cut_off = True
        for _ in range(8):
            in_time, came = second()
            served, asked = served + in_time, asked + came
    assert served >= 0.95 * asked


def test_machine_without_the_store_draws_through_its_peers():
    fleet = busy_fleet()
    isolated = fleet.machines[0]
    isolated.cut_off = True
    isolated.manager.renew()
    served = 0
    for _ in range(40):
        fleet.now += 1.0
        for _ in range(6):
            served += isinstance(isolated.request(100), Success)
            while isolated.covers:
                isolated.settle(1.0)
        for machine in fleet.machines[1:]:
            machine.manager.renew()
    assert served == 240


@pytest.mark.parametrize(
    ("power", "agreed", "margin"),
    [(False, True, 0.0), (True, False, WALL_MARGIN), (True, True, 0.5)],
)
def test_crash_of_all_machines_loses_only_seconds_of_demand(power, agreed, margin):
    fleet = Fleet(3, 100_000)
    if not agreed:
        for index, machine in enumerate(fleet.machines):
            machine.wall_offset = 0.3 * index
    for _ in range(20):
        run_second(fleet)
    held = sum(machine.manager.spendable()[BUDGET] for machine in fleet.machines)
    fleet.now += 1.3
    for index, machine in enumerate(fleet.machines):
        if power:
            machine.steady_offset = 1e5 * index
        machine.crash()
        machine.release()
    lost = fleet.limit - fleet.entry().free - fleet.used
    seconds = 1.3 + margin
    demand = 900
    options = GrantOptions()
    most = demand * (options.release_seconds + options.release_factor * (seconds + 1.0))
    assert held > 8000
    assert lost <= 1.1 * most
    assert lost < held


def test_crash_loses_little_of_a_nearly_used_budget():
    fleet = busy_fleet(limit=23_000)
    left = fleet.limit - fleet.used
    fleet.now += 1.3
    for machine in fleet.machines:
        machine.crash()
        machine.release()
    assert fleet.entry().free > 0.6 * left


def test_demand_at_one_machine_is_served_in_an_outage_from_all_grants():
    fleet = Fleet(6, 1_000_000)
    busy, *others = fleet.machines

    def second():
        served = 0
        for _ in range(10):
            served += isinstance(busy.request(1200), Success)
            while busy.covers:
                busy.settle(1.0)
        for machine in others:
            if isinstance(machine.request(100), Success):
                machine.settle(1.0)
        for machine in fleet.machines:
            machine.manager.renew()
        fleet.now += 1.0
        return served

    for _ in range(20):
        second()
    for machine in fleet.machines:
        machine.cut_off = True
    assert sum(second() for _ in range(9)) == 90


def test_machine_idle_before_a_crash_loses_little():
    fleet = busy_fleet()
    for _ in range(10):
        fleet.now += 1.0
        for machine in fleet.machines:
            machine.manager.renew()
    fleet.now += 1.3
    for machine in fleet.machines:
        machine.crash()
        machine.release()
    assert fleet.limit - fleet.entry().free - fleet.used <= 0.4 * 9 * 900


def test_retried_refused_requests_do_not_count_as_demand():
    fleet = Fleet(2, 10_000)
    asker = fleet.machines[0]
    for _ in range(50):
        asker.request(9_999_999)
        fleet.now += 0.1
    asker.request(100)
    fleet.now += 1.0
    asker.manager.renew()
    fleet.now += 2.0
    asker.crash()
    asker.release()
    assert fleet.entry().unproven <= 1000


def test_idle_manager_still_considers_the_store_reachable():
    fleet = busy_fleet()
    fleet.now += 60.0
    assert isinstance(fleet.machines[0].request(9000), Success)


def test_stopping_machine_still_draws_for_its_requests():
    fleet = busy_fleet()
    fleet.machines[0].manager.drain(False)
    assert isinstance(fleet.machines[0].request(500), Success)


def test_exhausted_and_contended_budgets_are_distinguished():
    fleet = Fleet(2, 1000)
    assert isinstance(fleet.machines[0].request(900), Success)
    fleet.lose_peer_replies = 10
    assert isinstance(fleet.machines[1].request(200).failure(), BudgetContended)
    fleet.lose_peer_replies = 0
    assert isinstance(fleet.machines[1].request(200).failure(), BudgetExhausted)
    while fleet.machines[0].covers:
        fleet.machines[0].settle(1.0)
    fleet.machines[0].manager.renew()
    fleet.now += 5.0
    assert isinstance(fleet.machines[1].request(200).failure(), BudgetExhausted)


def nearly_used_fleet_cut_off():
    """Return two machines without the store that know of 50 unspent tokens out of 1,000."""
    fleet = Fleet(2, 1000)
    fleet.machines[0].request(900)
    assert isinstance(fleet.machines[1].request(50), Success)
    for machine in fleet.machines:
        machine.cut_off = True
        machine.manager.renew()
    return fleet


def test_budget_exhausted_before_an_outage_stays_exhausted_in_it():
    """Callers of an exhausted budget aren't told to retry, however long the outage lasts."""
    fleet = nearly_used_fleet_cut_off()
    fleet.now += 9.0
    assert isinstance(fleet.machines[1].request(200).failure(), BudgetExhausted)


def test_raised_limit_not_yet_stored_is_not_reported_as_exhausted():
    fleet = nearly_used_fleet_cut_off()
    fleet.machines[1].manager.set_limits(2, {BUDGET: 5000})
    assert isinstance(fleet.machines[1].request(200).failure(), BudgetContended)


def test_tokens_of_open_requests_at_peers_can_not_be_spent():
    """The account still counts the tokens of open requests as held."""
    fleet = Fleet(2, 1000)
    fleet.machines[0].request(900)
    fleet.machines[1].manager.renew()
    assert fleet.entry().outstanding >= 900
    assert isinstance(fleet.machines[1].request(200).failure(), BudgetExhausted)


def test_tokens_of_a_silent_peer_count_as_contended():
    fleet = Fleet(2, 1000)
    fleet.machines[0].request(900)
    fleet.machines[1].manager.renew()
    fleet.lose_peer_replies = 10
    assert isinstance(fleet.machines[1].request(200).failure(), BudgetContended)


def test_tokens_of_a_lost_reply_count_when_the_giver_repeats_its_total():
    fleet = Fleet(2, 1000)
    giver, asker = fleet.machines
    giver.request(800)
    giver.settle(0.0)
    fleet.lose_peer_replies = 10
    asker.request(700)
    (given,) = [total for total in giver.manager.given_totals() if total.receiver == "m1.1"]
    asker.manager.receive(BUDGET, giver.manager.holder, given.total)
    assert isinstance(asker.request(700), Success)


def test_tokens_above_a_lowered_limit_are_returned():
    fleet = busy_fleet()
    for machine in fleet.machines:
        machine.manager.set_limits(2, {BUDGET: fleet.used + 100})
    for _ in range(3):
        for machine in fleet.machines:
            machine.manager.renew()
    assert sum(machine.manager.spendable()[BUDGET] for machine in fleet.machines) <= 100


@pytest.mark.parametrize("death", ["kill", "power", "power and a jump back"])
@pytest.mark.parametrize("seconds", [0.0, 2.0, 9.0])
def test_tokens_used_while_cut_off_are_not_granted_again(death, seconds):
    fleet = busy_fleet(limit=40_000, seconds=6)
    machine = fleet.machines[0]
    machine.cut_off = True
    machine.manager.renew()
    fleet.now += seconds
    while isinstance(machine.request(37), Success):
        machine.settle(1.0)
    if death != "kill":
        machine.steady_offset = 5e5
    if death == "power and a jump back":
        machine.wall_offset = -3.0
    machine.crash()
    machine.cut_off = False
    use_all_tokens(fleet)
    assert 0.7 * fleet.limit < fleet.used <= fleet.limit


def row_of(fleet, machine):
    return fleet.entry().rows.get(machine.manager.holder)


def test_stopping_machine_keeps_reporting_and_returning_tokens():
    fleet = busy_fleet()
    machine = fleet.machines[0]
    machine.manager.drain(False)
    machine.request(500)
    machine.settle(0.2)
    machine.manager.renew()
    row = row_of(fleet, machine)
    assert (row.outstanding, row.billed) == (0, 300 * 20 + 100)


def test_final_order_closes_the_row_despite_open_requests():
    fleet = busy_fleet()
    machine = fleet.machines[0]
    machine.request(500)
    machine.manager.drain(False)
    machine.manager.drain(True)
    assert row_of(fleet, machine) is None
    assert fleet.entry().unproven == 500
    assert isinstance(machine.request(10), Failure)


def test_retry_after_is_longer_while_the_store_is_unreachable():
    fleet = Fleet(2, 1000)
    options = GrantOptions()
    fleet.machines[0].request(900)
    machine = fleet.machines[1]
    fleet.lose_peer_replies = 100
    assert machine.request(200).failure().retry_after == options.retry_after
    machine.cut_off = True
    fleet.now += 6.0
    assert machine.request(200).failure().retry_after == options.unreachable_retry_after


def test_undeliverable_orders_do_not_revoke_released_tokens():
    """What a schedule releases in idle seconds of an outage stays usable in the later ones."""
    fleet = busy_fleet()
    machine = fleet.machines[0]
    machine.cut_off = True
    fleet.lose_peer_replies = 100
    for _ in range(5):
        machine.manager.renew()
        fleet.now += 1.0
    assert isinstance(machine.request(4 * 300), Success)


@pytest.mark.parametrize(("limit", "ahead"), [(1_000_000, 2.5), (40_000, 1.5)])
def test_plentiful_budget_is_released_more_freely(limit, ahead):
    fleet = busy_fleet(limit=limit)
    machine = fleet.machines[0]
    machine.manager.renew()
    schedule = fleet.entry().rows[machine.manager.holder].schedule
    assert schedule.base - 20 * 300 == pytest.approx(ahead * 300, rel=0.15)


def supplied_fleet(**options):
    """Return three machines, the first of which draws ahead for all."""
    fleet = busy_fleet(**options)
    for machine in fleet.machines:
        machine.supplier = fleet.machines[0]
    for _ in range(15):
        run_second(fleet)
    return fleet


def test_only_the_supplier_holds_tokens_ahead():
    fleet = supplied_fleet()
    first, *others = (machine.manager.spendable()[BUDGET] for machine in fleet.machines)
    assert first >= 5 * 900
    assert all(held <= 2 * 100 for held in others)


def test_with_a_supplier_an_outage_refuses_nothing():
    fleet = supplied_fleet()
    for machine in fleet.machines:
        machine.cut_off = True
    assert sum(run_second(fleet) for _ in range(9)) == 9 * 9


def test_request_at_a_supplied_machine_does_not_access_the_store():
    fleet = supplied_fleet()
    calls = fleet.store.call_count
    for _ in range(5):
        assert isinstance(fleet.machines[1].request(100), Success)
    assert fleet.store.call_count == calls


def test_supplier_with_too_few_tokens_gives_none_and_draws_more():
    fleet = supplied_fleet()
    first, second, _ = fleet.machines
    first.manager.renew()
    before = first.manager.spendable()[BUDGET]
    need = before + 1000
    assert first.manager.give_as_supplier(BUDGET, second.manager.holder, 10**9, need, 0) <= 10**9
    first.manager.draw_for_peer(BUDGET, need)
    assert first.manager.spendable()[BUDGET] >= need


def test_supplier_draws_before_the_first_request():
    fleet = Fleet(3, 100_000)
    for machine in fleet.machines:
        machine.supplier = fleet.machines[0]
        machine.manager.can_draw_ahead = True
        machine.manager.renew()
    assert fleet.machines[0].manager.spendable()[BUDGET] == 4000
    assert isinstance(fleet.machines[1].request(1500), Success)
    assert list(fleet.entry().rows) == ["m0.1"]


def test_machine_draws_itself_if_the_supplier_does_not_reply():
    fleet = supplied_fleet()
    fleet.machines[1].manager.spares.request_from_supplier = lambda *arguments: []
    assert isinstance(fleet.machines[1].request(500), Success)


def test_supplier_reduces_the_loss_from_large_requests_when_all_are_killed():
    """Each machine keeps one request released; with a supplier, only the supplier does."""

    def lost(supplied):
        fleet = Fleet(3, 400_000)
        for machine in fleet.machines:
            machine.supplier = fleet.machines[0] if supplied else None
        for second in range(36):
            if second % 4 == 0:
                fleet.machines[second % 3].request(5000)
            for machine in fleet.machines:
                if machine.covers:
                    machine.settle(0.5)
                machine.release()
                machine.manager.renew()
            fleet.now += 1.0
        used = fleet.used
        for machine in fleet.machines:
            machine.crash()
        fleet.now += 1.0
        for machine in fleet.machines:
            machine.release()
        entry = fleet.entry()
        return entry.billed + entry.unproven - used

    assert 0 <= lost(supplied=True) < 0.6 * lost(supplied=False)


def test_immediate_retry_is_refused_for_the_same_reason():
    """The last replies of the peers still distinguish exhausted from contended budgets."""
    fleet = Fleet(2, 1000)
    fleet.machines[0].request(900)
    fleet.machines[1].manager.renew()
    for _ in range(2):
        assert isinstance(fleet.machines[1].request(200).failure(), BudgetExhausted)


def test_peers_are_not_asked_again_at_once_after_a_shortage():
    fleet = busy_fleet(limit=20_000)
    asked = []
    peers = fleet.machines[0].manager.spares
    peers.request_from_peers = lambda *arguments: asked.append(arguments) or []
    peers.peer_count = lambda: 0
    for _ in range(3):
        assert isinstance(fleet.machines[0].request(50_000), Failure)
    assert len(asked) == 2
    fleet.now += 0.2
    assert isinstance(fleet.machines[0].request(50_000), Failure)
    assert len(asked) == 4
