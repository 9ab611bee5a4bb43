"""Accounts and budget managers together: no overspend with any fault, and few false refusals."""

from contextlib import nullcontext

import hypothesis.strategies as st
import pytest
from hypothesis import settings
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, rule
from returns.result import Failure, Success

from standins.memory_store import MemoryStore
from whinrack.budgets import (
    ACCOUNT_KIND,
    AccountWriter,
    BudgetAccount,
    BudgetManager,
    DrawOrder,
    SpareTokenSource,
    TokenSource,
    TransferTotal,
    apply_draws,
    apply_topups,
    release_holder,
)
from whinrack.exceptions import BudgetContended, BudgetExhausted, PeerUnavailable
from whinrack.objects import Weighting
from whinrack.store import ObjectEditor


class Fleet:
    """Budget managers over one memory store, with links that can be cut."""

    def __init__(self, holders, limit, horizon=10.0):
        self.now = 0.0
        self.store = MemoryStore()
        self.editor = ObjectEditor(self.store, ACCOUNT_KIND, BudgetAccount, sleep=self.sleep)
        self.editor.apply("a", lambda account: apply_topups(account, "b", {"1": limit}))
        self.limit = limit
        self.horizon = horizon
        self.managers = {}
        self.cut = set()
        self.lose_spare_replies = 0
        self.served = 0
        for holder in holders:
            self.add(holder)

    def add(self, holder):
        writer = AccountWriter(self.store, nullcontext, sleep=self.sleep, seed=1)
        self.managers[holder] = BudgetManager(
            holder,
            _Source(self, holder, writer),
            _Spares(self, holder),
            report_after=0.0,
            horizon=self.horizon,
            gather_wait=0.0,
            clock=lambda: self.now,
            sleep=self.sleep,
        )

    def sleep(self, seconds):
        self.now += seconds

    def cover(self, holder, tokens, weighting=Weighting.OVERSPEND):
        return self.managers[holder].cover("a", "b", tokens, weighting)

    def entry(self):
        down, self.store.down = self.store.down, False
        account = self.editor.read("a").unwrap()
        self.store.down = down
        return account.budgets["b"]

    def ledgers(self):
        return [ledger for manager in self.managers.values() for ledger in manager.ledgers()]


class _Source(TokenSource):
    def __init__(self, fleet, holder, writer):
        self.fleet, self.holder, self.writer = fleet, holder, writer

    def draw(self, order):
        if self.holder in self.fleet.cut:
            return Failure(PeerUnavailable("cut"))
        return self.writer.draw(order)


class _Spares(SpareTokenSource):
    def __init__(self, fleet, holder):
        self.fleet, self.holder = fleet, holder

    def request_from_peers(self, budget, need, wish, received):
        for name, manager in self.fleet.managers.items():
            if name == self.holder or {name, self.holder} & self.fleet.cut:
                continue
            total = manager.give(budget, self.holder, received.get(name, 0), need, wish)
            if self.fleet.lose_spare_replies > 0:
                self.fleet.lose_spare_replies -= 1
                continue
            yield TransferTotal(name, total)


def settle(fleet, cover, used):
    fleet.served += used
    assert cover.settle(used)


class BudgetMachine(RuleBasedStateMachine):
    """Random requests, reports, partitions, kills, outages and lost replies.

    `served` counts the tokens that targets generated, independently of the account.
    """

    HOLDERS = ("x.1", "y.1", "z.1")

    @initialize(limit=st.integers(50, 2000))
    def start(self, limit):
        self.fleet = Fleet(self.HOLDERS, limit)
        self.paid = limit
        self.open = []
        self.killed = 0
        self.topups = 1

    @rule(who=st.sampled_from(HOLDERS), tokens=st.integers(1, 120))
    def request(self, who, tokens):
        manager = self._live_holder(who)
        result = self.fleet.cover(manager, tokens)
        if isinstance(result, Success):
            self.open.append((manager, result.unwrap()))

    @rule(data=st.data())
    def finish(self, data):
        if not self.open:
            return
        _, cover = self.open.pop(data.draw(st.integers(0, len(self.open) - 1)))
        settle(self.fleet, cover, data.draw(st.integers(0, cover.tokens)))

    @rule(who=st.sampled_from(HOLDERS), seconds=st.floats(0.0, 20.0))
    def report(self, who, seconds):
        self.fleet.now += seconds
        self.fleet.managers[self._live_holder(who)].report()

    @rule(who=st.sampled_from(HOLDERS))
    def kill_and_restart(self, who):
        """Kill and restart an instance; its open requests go on and use their whole covers."""
        old = self._live_holder(who)
        for holder, cover in list(self.open):
            if holder == old:
                self.fleet.served += cover.tokens
                self.open.remove((holder, cover))
        del self.fleet.managers[old]
        self.killed += 1
        self.fleet.add(f"{who.partition('.')[0]}.{self.killed + 1}")

    @rule(who=st.sampled_from(HOLDERS))
    def planned_stop(self, who):
        old = self._live_holder(who)
        for holder, cover in list(self.open):
            if holder == old:
                settle(self.fleet, cover, cover.tokens // 2)
                self.open.remove((holder, cover))
        if self.fleet.managers[old].drain():
            del self.fleet.managers[old]
            self.killed += 1
            self.fleet.add(f"{who.partition('.')[0]}.{self.killed + 1}")

    @rule(who=st.sampled_from(HOLDERS), cut=st.booleans())
    def cut_off(self, who, cut):
        name = self._live_holder(who)
        (self.fleet.cut.add if cut else self.fleet.cut.discard)(name)

    @rule(down=st.booleans(), replies=st.integers(0, 3), writes=st.integers(0, 2))
    def platform_faults(self, down, replies, writes):
        self.fleet.store.down = down
        self.fleet.store.replies_to_drop = replies
        self.fleet.store.writes_to_drop = writes
        self.fleet.lose_spare_replies = replies

    @rule(tokens=st.integers(1, 500), repeat=st.booleans())
    def top_up(self, tokens, repeat):
        if self.fleet.store.down:
            return
        self.topups += not repeat
        change = {str(self.topups): tokens}
        before = self.fleet.entry().limit
        self.fleet.editor.apply("a", lambda account: apply_topups(account, "b", change))
        self.paid += self.fleet.entry().limit - before

    @rule()
    def write_off_dead(self):
        """Release the rows of ended holders as an operator does, without freeing any tokens."""
        if self.fleet.store.down:
            return
        for holder in list(self.fleet.entry().rows):
            if holder not in self.fleet.managers:
                self.fleet.editor.apply(
                    "a", lambda account, who=holder: release_holder(account, "b", who, None)
                )

    @invariant()
    def never_more_than_paid(self):
        if not hasattr(self, "fleet"):
            return
        could_still = sum(ledger.spendable + ledger.open_cover for ledger in self.fleet.ledgers())
        assert self.fleet.served + could_still <= self.paid

    @invariant()
    def books_balance(self):
        if not hasattr(self, "fleet"):
            return
        entry = self.fleet.entry()
        assert entry.limit == entry.billed + entry.unproven + entry.outstanding + entry.free

    def _live_holder(self, who):
        return next(name for name in self.fleet.managers if name[0] == who[0])


BudgetMachine.TestCase.settings = settings(
    max_examples=150, stateful_step_count=40, deadline=None, derandomize=True
)
TestBudget = BudgetMachine.TestCase


def test_account_balances_exactly_after_planned_stops():
    fleet = Fleet(("x.1", "y.1"), 1000)
    for holder, used in (("x.1", 30), ("y.1", 45), ("x.1", 7)):
        settle(fleet, fleet.cover(holder, 100).unwrap(), used)
    assert all(manager.drain() for manager in fleet.managers.values())
    entry = fleet.entry()
    assert (entry.billed, entry.free, entry.outstanding, entry.rows) == (82, 918, 0, {})


def test_last_tokens_are_requested_from_peers_before_a_refusal():
    fleet = Fleet(("x.1", "y.1", "z.1"), 300)
    covers = [fleet.cover(holder, 100).unwrap() for holder in fleet.managers]
    for cover in covers:
        settle(fleet, cover, 10)
    assert isinstance(fleet.cover("x.1", 250), Success)


def test_report_with_nothing_free_does_not_stop_requests_to_peers():
    """A report once marked the budget as having nothing free, so that the peers weren't asked."""
    fleet = Fleet(("x.1", "y.1"), 300, horizon=600.0)
    settle(fleet, fleet.cover("x.1", 150).unwrap(), 10)
    settle(fleet, fleet.cover("y.1", 150).unwrap(), 10)
    fleet.managers["x.1"].report()
    assert isinstance(fleet.cover("x.1", 200), Success)


def test_exhausted_and_contended_budgets_are_distinguished():
    fleet = Fleet(("x.1", "y.1"), 300)
    fleet.cover("y.1", 250).unwrap()
    contended = fleet.cover("x.1", 100).failure()
    assert isinstance(contended, BudgetContended)
    assert contended.retry_after > 0
    assert isinstance(fleet.cover("x.1", 301).failure(), BudgetExhausted)


def test_platform_outage_is_served_from_the_grant():
    fleet = Fleet(("x.1",), 100_000, horizon=60.0)
    for _ in range(20):
        settle(fleet, fleet.cover("x.1", 100).unwrap(), 80)
        fleet.now += 1.0
        fleet.managers["x.1"].report()
    fleet.store.down = True
    served = 0
    for _ in range(30):
        fleet.now += 1.0
        result = fleet.cover("x.1", 100)
        if isinstance(result, Success):
            settle(fleet, result.unwrap(), 80)
            served += 1
    assert served == 30


def test_repeated_order_is_applied_once():
    account = apply_topups(None, "b", {"1": 1000})
    order = DrawOrder(account="a", budget="b", holder="x.1", sequence=1, need=100, opening=True)
    assert apply_draws(account, [order, order]) is not None
    assert apply_draws(account, [order]) is None
    assert account.budgets["b"].rows["x.1"].drawn == 100


def test_late_copy_of_an_order_of_a_stopped_holder_draws_nothing():
    fleet = Fleet(("x.1",), 1000)
    ledger_order = DrawOrder(account="a", budget="b", holder="x.1", sequence=2, need=100)
    settle(fleet, fleet.cover("x.1", 100).unwrap(), 60)
    assert fleet.managers["x.1"].drain()
    fleet.editor.apply("a", lambda account: apply_draws(account, [ledger_order]))
    assert fleet.entry().free == 940


def test_topup_repeated_after_a_lost_reply_counts_once():
    fleet = Fleet((), 100)
    fleet.store.replies_to_drop = 1
    change = lambda account: apply_topups(account, "b", {"2": 50})  # noqa: E731
    fleet.editor.apply("a", change)
    fleet.editor.apply("a", change)
    assert fleet.entry().limit == 150


@pytest.mark.parametrize(("served", "free", "unproven"), [(None, 0, 1000), (300, 700, 300)])
def test_release_frees_only_what_the_operator_declares_unspent(served, free, unproven):
    account = apply_topups(None, "b", {"1": 1000})
    order = DrawOrder(account="a", budget="b", holder="x.1", sequence=1, need=1000, opening=True)
    apply_draws(account, [order])
    assert release_holder(account, "b", "x.1", served) is not None
    entry = account.budgets["b"]
    assert (entry.free, entry.unproven, entry.outstanding) == (free, unproven, 0)


def test_released_holder_that_still_runs_covers_no_more_requests():
    fleet = Fleet(("x.1",), 1000)
    settle(fleet, fleet.cover("x.1", 100).unwrap(), 60)
    fleet.editor.apply("a", lambda account: release_holder(account, "b", "x.1", None))
    fleet.managers["x.1"].report(include_idle=True)
    assert isinstance(fleet.cover("x.1", 10), Failure)


def test_tokens_given_to_a_peer_do_not_count_as_spent():
    """The giver once reported the budget as exhausted, as if the peer had spent the tokens."""
    fleet = Fleet(("x.1", "y.1"), 1000, horizon=600.0)
    settle(fleet, fleet.cover("x.1", 700).unwrap(), 10)
    fleet.cover("y.1", 900).unwrap()
    fleet.now += 60.0
    assert isinstance(fleet.cover("x.1", 395).failure(), BudgetContended)


def test_holders_report_soon_after_a_peer_ran_out():
    fleet = Fleet(("x.1", "y.1"), 1000, horizon=0.0)
    for manager in fleet.managers.values():
        manager.report_after = 1000.0
    settle(fleet, fleet.cover("y.1", 900).unwrap(), 900)
    assert isinstance(fleet.cover("x.1", 500).failure(), BudgetContended)
    fleet.managers["y.1"].report()
    fleet.now += 60.0
    assert isinstance(fleet.cover("x.1", 500).failure(), BudgetExhausted)


def test_request_larger_than_the_budget_draws_nothing():
    """A single oversized request once moved the whole budget to its instance."""
    fleet = Fleet(("x.1", "y.1"), 1000, horizon=0.0)
    assert isinstance(fleet.cover("x.1", 5000).failure(), BudgetExhausted)
    assert fleet.entry().free == 1000


def test_one_transfer_from_a_peer_lasts_for_several_requests():
    fleet = Fleet(("x.1", "y.1"), 1000, horizon=600.0)
    settle(fleet, fleet.cover("x.1", 900).unwrap(), 10)
    fleet.managers["x.1"].is_stopping = True
    asked = []
    give = fleet.managers["x.1"].give
    fleet.managers["x.1"].give = lambda *numbers: asked.append(1) or give(*numbers)
    for _ in range(12):
        settle(fleet, fleet.cover("y.1", 30).unwrap(), 30)
    assert len(asked) <= 4
