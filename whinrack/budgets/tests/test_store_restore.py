"""Accounts after a store lost writes: no overspend, and few tokens that are never granted."""

import hypothesis.strategies as st
import msgspec
import pytest
from hypothesis import settings
from hypothesis.stateful import rule
from returns.result import Success

from whinrack.budgets import ACCOUNT_KIND, AccountRow, BudgetAccount, BudgetEntry
from whinrack.budgets._store_restore import end_hold, restore_account
from whinrack.budgets.tests.fault_rules import FaultRules
from whinrack.budgets.tests.simulated_fleet import (
    BUDGET,
    busy_fleet,
    run_second,
    use_all_tokens,
)

_BOUND_SECONDS = 8


def restore_store(fleet, copy):
    """Restore the store and let the machines that reach it report what they hold."""
    fleet.store.restore(copy)
    for machine in fleet.machines:
        machine.manager.handle_store_restored(fleet.store.era.current)
        machine.manager.renew()


def clear_known_accounts(fleet):
    """Clear the writers' knowledge of later accounts, as after a change of writers."""
    for machine in fleet.machines:
        machine.manager.backend._latest.clear()
        machine.manager.backend._editor._known.clear()


@pytest.mark.parametrize("clears", [False, True])
@pytest.mark.parametrize("lost_seconds", [1, 3, 6])
@pytest.mark.parametrize("returns", [1, 2, 3])
def test_short_budget_is_neither_overspent_nor_left_unused_after_a_restore(
    lost_seconds, returns, clears
):
    fleet = busy_fleet(limit=20_000, seconds=3)
    for _ in range(returns):
        copy = fleet.store.take_snapshot()
        for _ in range(lost_seconds):
            run_second(fleet)
        if clears:
            clear_known_accounts(fleet)
        restore_store(fleet, copy)
    for _ in range(40):
        run_second(fleet)
    assert 0.9 * fleet.limit <= fleet.used <= fleet.limit


def test_account_missing_from_the_copy_is_created_again():
    fleet = busy_fleet(limit=100_000, seconds=2)
    empty = (1, {})
    restore_store(fleet, empty)
    assert sum(run_second(fleet) for _ in range(20)) == 20 * 9


@pytest.mark.parametrize("clears", [False, True])
def test_tokens_of_a_machine_cut_off_during_a_restore_are_not_granted_again(clears):
    fleet = busy_fleet(limit=20_000, seconds=3)
    copy = fleet.store.take_snapshot()
    for _ in range(3):
        run_second(fleet)
    fleet.machines[0].cut_off = True
    if clears:
        clear_known_accounts(fleet)
    restore_store(fleet, copy)
    for _ in range(10):
        run_second(fleet)
    fleet.machines[0].cut_off = False
    use_all_tokens(fleet)
    assert fleet.used <= fleet.limit


@pytest.mark.parametrize("clears", [False, True])
def test_run_that_ended_before_reporting_again_is_not_released_by_its_restored_row(clears):
    fleet = busy_fleet(limit=20_000, seconds=3)
    copy = fleet.store.take_snapshot()
    for _ in range(3):
        run_second(fleet)
    fleet.machines[0].crash()
    if clears:
        clear_known_accounts(fleet)
    restore_store(fleet, copy)
    fleet.machines[0].released = False
    use_all_tokens(fleet)
    assert fleet.used <= fleet.limit


def test_restored_account_grants_nothing_until_holders_had_time_to_report():
    fleet = busy_fleet(limit=20_000, seconds=3)
    copy = fleet.store.take_snapshot()
    run_second(fleet)
    restore_store(fleet, copy)
    drawn = {name: row.drawn for name, row in fleet.entry().rows.items()}
    fleet.now += 1.0
    for machine in fleet.machines:
        machine.manager.renew()
    assert {name: row.drawn for name, row in fleet.entry().rows.items()} == drawn


def test_tokens_not_reported_again_are_written_off():
    row = AccountRow(drawn=300)
    entry = BudgetEntry(declared=1000, declared_version=1, rows={"a.1": row})
    restored = restore_account(BudgetAccount(budgets={"b": entry}, era=1, edition=5), None, 2)
    assert entry.unstated == {"a.1"}
    entry.known_taken = 450
    end_hold(restored)
    assert (entry.unaccounted, entry.free) == (150, 550)


def test_restore_continues_with_the_later_of_the_copy_and_the_known_account():
    def account(era, edition):
        return BudgetAccount(era=era, edition=edition)

    assert restore_account(account(1, 5), account(1, 9), 2).edition == 9
    assert restore_account(account(1, 9), account(1, 5), 2).edition == 9
    assert restore_account(account(2, 3), account(1, 9), 3).edition == 3
    assert restore_account(None, account(1, 9), 2).edition == 9
    assert restore_account(None, None, 2).edition == 0


class NeverBeyondTheLimitAcrossReturns(FaultRules):
    """Restores the store at any moment, with machines that are cut off and healed."""

    def __init__(self):
        super().__init__()
        self.copies = [self.fleet.store.take_snapshot()]

    @rule()
    def pass_a_second(self):
        run_second(self.fleet)
        self.copies = [*self.copies, self.fleet.store.take_snapshot()][-_BOUND_SECONDS:]

    @rule(index=st.integers(0, 2), tokens=st.sampled_from([37, 300, 2000]))
    def use_much(self, index, tokens):
        machine = self.fleet.machines[index]
        for _ in range(30):
            if not isinstance(machine.request(tokens), Success):
                return
            machine.settle(1.0)

    @rule(age=st.integers(1, _BOUND_SECONDS))
    def come_back(self, age):
        copy = self.copies[-min(age, len(self.copies))]
        restore_store(self.fleet, copy)
        self.copies = [self.fleet.store.take_snapshot()]

    @rule()
    def clear_known_accounts(self):
        clear_known_accounts(self.fleet)


NeverBeyondTheLimitAcrossReturns.TestCase.settings = settings(
    max_examples=100, stateful_step_count=30, deadline=None, derandomize=True
)
TestNeverBeyondTheLimitAcrossReturns = NeverBeyondTheLimitAcrossReturns.TestCase


def test_late_write_of_an_earlier_era_does_not_undo_later_writes():
    fleet = busy_fleet(limit=20_000, seconds=3)
    copy = fleet.store.take_snapshot()
    late = fleet.store.objects[ACCOUNT_KIND, "a"]
    run_second(fleet)
    restore_store(fleet, copy)
    for _ in range(4):
        run_second(fleet)
    fleet.machines[1].crash()
    for _ in range(2):
        run_second(fleet)
    present = fleet.store.objects[ACCOUNT_KIND, "a"]
    fleet.store.put(ACCOUNT_KIND, "a", late.value, present.version)
    use_all_tokens(fleet)
    assert 0.9 * fleet.limit <= fleet.used <= fleet.limit
    assert not any(m.manager._grant(BUDGET).ledger.is_closed for m in fleet.machines)


def test_account_written_by_an_earlier_version_can_be_drawn_from():
    fleet = busy_fleet(limit=20_000, seconds=2)
    stored = fleet.store.objects[ACCOUNT_KIND, "a"]
    account = msgspec.json.decode(stored.value)
    del account["era"], account["edition"], account["is_held"]
    fleet.store.put(ACCOUNT_KIND, "a", msgspec.json.encode(account), stored.version)
    assert run_second(fleet) == 9
