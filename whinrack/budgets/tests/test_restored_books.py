"""Books that the store has lost some writes of: no overspend, and little that is never sold."""

import hypothesis.strategies as st
import msgspec
import pytest
from hypothesis import settings
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule
from returns.result import Success

from whinrack.budgets import ACCOUNT_KIND, AccountRow, BudgetAccount, BudgetEntry
from whinrack.budgets._store_restore import end_hold, restored
from whinrack.budgets.tests.test_grants import BUDGET, busy_fleet, use_all, work

_BOUND_SECONDS = 8


def come_back(fleet, copy):
    """Restore the store, and let those that reach it state what they hold."""
    fleet.store.restore(copy)
    for machine in fleet.machines:
        machine.keeper.handle_store_restored(fleet.store.era.current)
        machine.keeper.renew()


def forget_books(fleet):
    """Let no writer know more of the books than the store does, as after a change of writers."""
    for machine in fleet.machines:
        machine.keeper.books._latest.clear()
        machine.keeper.books._editor._known.clear()


@pytest.mark.parametrize("forgets", [False, True])
@pytest.mark.parametrize("lost_seconds", [1, 3, 6])
@pytest.mark.parametrize("returns", [1, 2, 3])
def test_a_short_budget_was_sold_over_or_left_over_when_the_store_came_back(
    lost_seconds, returns, forgets
):
    fleet = busy_fleet(limit=20_000, seconds=3)
    for _ in range(returns):
        copy = fleet.store.copy()
        for _ in range(lost_seconds):
            work(fleet)
        if forgets:
            forget_books(fleet)
        come_back(fleet, copy)
    for _ in range(40):
        work(fleet)
    assert 0.9 * fleet.limit <= fleet.used <= fleet.limit


def test_an_account_that_the_copy_lacks_was_never_made_again():
    fleet = busy_fleet(limit=100_000, seconds=2)
    empty = (1, {})
    come_back(fleet, empty)
    assert sum(work(fleet) for _ in range(20)) == 20 * 9


@pytest.mark.parametrize("forgets", [False, True])
def test_what_a_machine_drew_that_is_cut_off_at_the_return_was_sold_once_more(forgets):
    fleet = busy_fleet(limit=20_000, seconds=3)
    copy = fleet.store.copy()
    for _ in range(3):
        work(fleet)
    fleet.machines[0].cut_off = True
    if forgets:
        forget_books(fleet)
    come_back(fleet, copy)
    for _ in range(10):
        work(fleet)
    fleet.machines[0].cut_off = False
    use_all(fleet)
    assert fleet.used <= fleet.limit


@pytest.mark.parametrize("forgets", [False, True])
def test_a_run_that_ended_before_it_could_state_its_row_was_released_by_the_copys(forgets):
    fleet = busy_fleet(limit=20_000, seconds=3)
    copy = fleet.store.copy()
    for _ in range(3):
        work(fleet)
    fleet.machines[0].die()
    if forgets:
        forget_books(fleet)
    come_back(fleet, copy)
    fleet.machines[0].released = False
    use_all(fleet)
    assert fleet.used <= fleet.limit


def test_books_that_came_back_draw_nothing_until_all_had_time_to_state_theirs():
    fleet = busy_fleet(limit=20_000, seconds=3)
    copy = fleet.store.copy()
    work(fleet)
    come_back(fleet, copy)
    drawn = {name: row.drawn for name, row in fleet.books().rows.items()}
    fleet.now += 1.0
    for machine in fleet.machines:
        machine.keeper.renew()
    assert {name: row.drawn for name, row in fleet.books().rows.items()} == drawn


def test_what_nobody_stated_again_is_written_off():
    row = AccountRow(drawn=300)
    entry = BudgetEntry(declared=1000, declared_version=1, rows={"a.1": row})
    books = restored(BudgetAccount(budgets={"b": entry}, era=1, edition=5), None, 2)
    assert entry.unstated == {"a.1"}
    entry.known_taken = 450
    end_hold(books)
    assert (entry.unaccounted, entry.free) == (150, 550)


def test_the_later_of_the_copy_and_of_what_the_writer_knows_is_gone_on_with():
    def books(era, edition):
        return BudgetAccount(era=era, edition=edition)

    assert restored(books(1, 5), books(1, 9), 2).edition == 9
    assert restored(books(1, 9), books(1, 5), 2).edition == 9
    assert restored(books(2, 3), books(1, 9), 3).edition == 3
    assert restored(None, books(1, 9), 2).edition == 9
    assert restored(None, None, 2).edition == 0


class NeverBeyondTheLimitAcrossReturns(RuleBasedStateMachine):
    """A store that comes back at any moment, with machines that are cut off and heal."""

    def __init__(self):
        super().__init__()
        self.fleet = busy_fleet(limit=40_000, seconds=6)
        self.copies = [self.fleet.store.copy()]

    @rule()
    def pass_a_second(self):
        work(self.fleet)
        self.copies = [*self.copies, self.fleet.store.copy()][-_BOUND_SECONDS:]

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
        come_back(self.fleet, copy)
        self.copies = [self.fleet.store.copy()]

    @rule()
    def forget_books(self):
        forget_books(self.fleet)

    @rule(index=st.integers(0, 2))
    def cut(self, index):
        self.fleet.machines[index].cut_off = True

    @rule(index=st.integers(0, 2))
    def heal(self, index):
        self.fleet.machines[index].cut_off = False

    @rule(replies=st.integers(1, 3))
    def lose_store_replies(self, replies):
        self.fleet.store.lose_replies = replies

    @rule(writes=st.integers(1, 3))
    def hold_writes(self, writes):
        self.fleet.store.hold_writes = writes

    @rule()
    def apply_held_writes(self):
        self.fleet.store.apply_held()

    @rule(replies=st.integers(1, 3))
    def lose_peer_replies(self, replies):
        self.fleet.lose_peer_replies = replies

    @invariant()
    def never_beyond_the_limit(self):
        assert self.fleet.spent_at_most() <= self.fleet.limit

    def teardown(self):
        """Heal everything and use what is left: what was used before must not come back."""
        self.fleet.store.apply_held()
        for machine in self.fleet.machines:
            machine.cut_off = False
        use_all(self.fleet)
        self.never_beyond_the_limit()


NeverBeyondTheLimitAcrossReturns.TestCase.settings = settings(
    max_examples=100, stateful_step_count=30, deadline=None, derandomize=True
)
TestNeverBeyondTheLimitAcrossReturns = NeverBeyondTheLimitAcrossReturns.TestCase


def test_a_write_of_an_earlier_era_that_was_done_late_took_back_what_was_written_since():
    fleet = busy_fleet(limit=20_000, seconds=3)
    copy = fleet.store.copy()
    late = fleet.store.objects[ACCOUNT_KIND, "a"]
    work(fleet)
    come_back(fleet, copy)
    for _ in range(4):
        work(fleet)
    fleet.machines[1].die()
    for _ in range(2):
        work(fleet)
    present = fleet.store.objects[ACCOUNT_KIND, "a"]
    fleet.store.put(ACCOUNT_KIND, "a", late.value, present.version)
    use_all(fleet)
    assert 0.9 * fleet.limit <= fleet.used <= fleet.limit
    assert not any(m.keeper._grant(BUDGET).ledger.is_closed for m in fleet.machines)


def test_books_that_an_earlier_build_wrote_could_not_be_drawn_from():
    fleet = busy_fleet(limit=20_000, seconds=2)
    stored = fleet.store.objects[ACCOUNT_KIND, "a"]
    books = msgspec.json.decode(stored.value)
    del books["era"], books["edition"], books["is_held"]
    fleet.store.put(ACCOUNT_KIND, "a", msgspec.json.encode(books), stored.version)
    assert work(fleet) == 9
