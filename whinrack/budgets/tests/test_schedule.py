"""Release schedules: what a run may use when, and what the next run infers from them."""

from whinrack.budgets import (
    BudgetAccount,
    BudgetEntry,
    DrawOrder,
    ReleasedRow,
    ReleaseGuard,
    ReleaseSchedule,
    RestartTime,
    RunRelease,
    apply_draws,
    find_earlier_runs,
    release_earlier_runs,
)


def schedule(base, rate=0.0, steady=100.0, wall=1000.0):
    return ReleaseSchedule(base=base, rate=rate, steady=steady, wall=wall)


def released(account, holder):
    """Release what earlier runs of the holder's instance held."""
    restart = RestartTime(102.0, 1002.0, 3.5)
    return release_earlier_runs(
        account, RunRelease(holder, restart, find_earlier_runs(account, holder))
    )


def test_nothing_may_be_used_before_the_first_schedule():
    assert ReleaseGuard().max_used(0.0) == 0


def test_order_without_a_reply_binds_together_with_the_previous_one():
    guard = ReleaseGuard()
    guard.record_sent(1, schedule(10))
    guard.record_sent(2, schedule(50))
    assert guard.max_used(100.0) == 10
    guard.record_applied(2)
    assert guard.max_used(100.0) == 50


def test_later_stricter_schedule_binds_at_once():
    guard = ReleaseGuard()
    guard.record_sent(1, schedule(50))
    guard.record_applied(1)
    guard.record_sent(2, schedule(10))
    assert guard.max_used(100.0) == 10


def test_schedule_releases_more_over_time():
    guard = ReleaseGuard()
    guard.record_sent(1, schedule(10, rate=3.0))
    assert [guard.max_used(at) for at in (99.0, 100.0, 101.0, 101.5)] == [10, 10, 13, 15]


def test_after_a_kill_the_monotonic_clock_is_used():
    restart = RestartTime(steady=102.0, wall=1002.0, wall_margin=3.5)
    assert restart.max_used(schedule(10, rate=5.0)) == 20


def test_after_a_power_loss_the_time_of_day_is_used_with_a_margin():
    for steady in (0.0, 5.0, 7e6):
        restart = RestartTime(steady=steady, wall=1002.0, wall_margin=3.5)
        assert restart.max_used(schedule(10, rate=2.0)) == 10 + 2 * 5.5


def test_time_of_day_that_jumped_back_still_adds_the_margin():
    restart = RestartTime(steady=3.0, wall=997.0, wall_margin=3.5)
    assert restart.max_used(schedule(10, rate=2.0)) == 17


def account_after(**order):
    account = BudgetAccount(budgets={"b": BudgetEntry(topups={"1": 1000})})
    first = DrawOrder(account="a", budget="b", holder="m.1", sequence=1, need=300, opening=True)
    return apply_draws(account, [first, DrawOrder(**_SECOND | order)])


_SECOND = {"account": "a", "budget": "b", "holder": "m.1", "sequence": 2}


def test_next_run_frees_what_the_schedule_did_not_release():
    account = account_after(billed=40, schedule=schedule(100, rate=10.0))
    rows = released(account, "m.2")
    entry = account.budgets["b"]
    # At most 100 + 20 of the 300 tokens were used; 40 of them are billed.
    assert (entry.free, entry.unproven, entry.billed) == (880, 80, 40)
    assert rows == [ReleasedRow(budget="b", written_off=80, freed=180, seconds=2.0)]


def test_without_a_schedule_nothing_of_an_ended_run_is_freed():
    account = account_after(billed=40)
    released(account, "m.2")
    entry = account.budgets["b"]
    assert (entry.free, entry.unproven) == (700, 260)


def test_only_runs_of_the_same_instance_are_released():
    account = account_after(schedule=schedule(0))
    assert released(account, "n.1") == []


def test_late_release_does_not_affect_a_run_started_since():
    """A slow writer may carry out a release when a third run already spends its own grant."""
    account = account_after(schedule=schedule(0))
    release = RunRelease("m.2", RestartTime(102.0, 1002.0, 3.5), find_earlier_runs(account, "m.2"))
    newest = DrawOrder(account="a", budget="b", holder="m.3", sequence=1, need=200, opening=True)
    apply_draws(account, [newest])
    release_earlier_runs(account, release)
    rows = account.budgets["b"].rows
    assert (rows["m.1"].closed, rows["m.3"].closed) == (True, False)
    assert rows["m.3"].outstanding == 200


def test_order_after_the_release_changes_nothing():
    account = account_after(schedule=schedule(0))
    released(account, "m.2")
    late = DrawOrder(**_SECOND | {"sequence": 3, "need": 100})
    assert apply_draws(account, [late]) is None


def test_final_order_returns_grants_unknown_to_the_holder():
    account = account_after(billed=40, returned=10)
    draw = DrawOrder(**_SECOND | {"sequence": 3, "need": 200, "billed": 40, "returned": 10})
    final = DrawOrder(
        **_SECOND | {"sequence": 4, "billed": 40, "returned": 10, "final": True, "given": 30}
    )
    apply_draws(account, [draw, final])
    entry = account.budgets["b"]
    # Everything but the billed tokens and those that a peer has yet to report.
    assert entry.free == 1000 - 40 - 30
    peer = DrawOrder(
        account="a", budget="b", holder="n.1", sequence=1, received={"m.1": 30}, opening=True
    )
    apply_draws(account, [peer])
    assert "m.1" not in entry.rows
    assert entry.rows["n.1"].outstanding == 30


def test_declared_limit_replaces_payments_and_only_newer_versions_count():
    orders = [
        DrawOrder(
            account="a", budget="b", holder="m.1", sequence=1, opening=True,
            limit=500, limit_version=3,
        ),
        DrawOrder(account="a", budget="b", holder="m.1", sequence=2, limit=900, limit_version=2),
    ]  # fmt: skip
    account = apply_draws(None, orders)
    assert account.budgets["b"].limit == 500
    apply_draws(account, [DrawOrder(**_SECOND | {"sequence": 3, "limit": 70, "limit_version": 9})])
    assert account.budgets["b"].free == 70


def test_delay_postpones_the_rate_and_is_counted_by_the_next_run():
    delayed = ReleaseSchedule(base=10, rate=5.0, steady=100.0, wall=1000.0, delay=1.0)
    guard = ReleaseGuard()
    guard.record_sent(1, delayed)
    assert [guard.max_used(at) for at in (100.0, 101.0, 102.0)] == [10, 10, 15]
    restart = RestartTime(steady=102.0, wall=1002.0, wall_margin=3.5)
    assert restart.max_used(delayed) == 15


def test_verified_clocks_reduce_the_margin_after_a_power_loss():
    declared = ReleaseSchedule(base=10, rate=2.0, steady=100.0, wall=1000.0, wall_checked=True)
    checked = RestartTime(steady=3.0, wall=1002.0, wall_margin=3.5, wall_checked=True)
    assert checked.max_used(declared) == 10 + 2 * 2.5
    unchecked = RestartTime(steady=3.0, wall=1002.0, wall_margin=3.5)
    assert unchecked.max_used(declared) == 10 + 2 * 5.5
    assert checked.max_used(schedule(10, rate=2.0)) == 10 + 2 * 5.5
