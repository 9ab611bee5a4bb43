"""Growth of each role's state, messages and CPU time, measured at three sizes or more.

The results are fitted by a straight line; docs/CAPACITY.md extrapolates these lines to the
intended fleet size.
"""

import gc
import time
import tracemalloc

import msgspec
from returns.result import Success

from benchmarks.report import fit_line, print_heading, report
from standins.memory_store import MemoryStore
from whinrack.budgets import (
    BudgetAccount,
    BudgetEntry,
    BudgetManager,
    DemandEstimate,
    DrawOrder,
    SpareTokenSource,
    TokenSource,
    apply_draws,
    apply_topups,
    draw_result,
)
from whinrack.feed import ConfigStore
from whinrack.journal import BillRecord, JournalWriter
from whinrack.membership import Member, MembershipTable
from whinrack.objects import RequestClass, Target, TargetPool, Weighting
from whinrack.peers._codec import member_from_pb, member_to_pb, object_to_pb, order_to_pb
from whinrack.peers._pb import peer_pb2 as pb
from whinrack.requests import RequestMemory, RunState, body_digest
from whinrack.routing import LocalEjection, PickQuery, PoolState, TargetView
from whinrack.store import StoredObject


def report_slope(name, points, unit, per):
    """Report values by size, and the slope and intercept of the line fitted to them."""
    for size, value in points:
        report(name, value, unit, size=size)
    slope, intercept = fit_line(points)
    report(f"{name}.slope", slope, f"{unit}/{per}")
    report(f"{name}.intercept", intercept, unit)


def cpu_seconds_per_call(function, times):
    """Return the mean CPU seconds of one call."""
    began = time.process_time()
    for _ in range(times):
        function()
    return (time.process_time() - began) / times


def allocated_bytes(build):
    """Return the bytes allocated by the object that `build` returns."""
    gc.collect()
    tracemalloc.start()
    retained = build()
    gc.collect()
    size = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    del retained
    return size


# --- budget accounts -----------------------------------------------------------------------


def account_with(budgets, holders=2):
    """Return an account with a number of budgets, each with tokens drawn by several holders."""
    account = BudgetAccount()
    for number in range(budgets):
        name = f"budget-{number:06d}"
        apply_topups(account, name, {"2026-12": 10**6})
        orders = [
            DrawOrder(
                account="a",
                budget=name,
                holder=f"router-{holder}.0123456789",
                sequence=1,
                need=100,
                opening=True,
            )
            for holder in range(holders)
        ]
        apply_draws(account, orders)
    return account


def measure_accounts():
    """Measure the size of an account object and the CPU time of one write."""
    print_heading("budget accounts")
    sizes, times = [], []
    for budgets in (10, 50, 200, 800):
        value = msgspec.json.encode(account_with(budgets))

        def write(value=value):
            account = msgspec.json.decode(value, type=BudgetAccount)
            order = DrawOrder(
                account="a",
                budget="budget-000001",
                holder="router-1.0123456789",
                sequence=2,
                need=100,
            )
            apply_draws(account, [order])
            draw_result(account, order)
            msgspec.json.encode(account)

        sizes.append((budgets, len(value)))
        times.append((budgets, 1e6 * cpu_seconds_per_call(write, 50)))
    report_slope("account_bytes", sizes, "B", "budget")
    report_slope("account_write_cpu", times, "us", "budget")
    rows = [
        (holders, len(msgspec.json.encode(account_with(10, holders))) / 10)
        for holders in (1, 8, 64, 380)
    ]
    report_slope("budget_bytes_by_holders", rows, "B", "holder")


class _AccountSource(TokenSource):
    def __init__(self):
        self.entries = {}

    def draw(self, order):
        account = self.entries.setdefault(order.budget, BudgetAccount())
        if order.budget not in account.budgets:
            account.budgets[order.budget] = BudgetEntry(topups={"1": 10**9})
        apply_draws(account, [order])
        return Success(draw_result(account, order))


class _NoSpares(SpareTokenSource):
    def request_from_peers(self, budget, need, wish, received):
        return ()


def measure_budget_managers():
    """Measure memory per held budget, and CPU time of a cover and of a report round."""
    print_heading("budgets held by one daemon")
    memory, covers, reports = [], [], []
    for budgets in (1000, 3000, 10_000):
        source = _AccountSource()

        def build(budgets=budgets, source=source):
            manager = BudgetManager("r.1", source, _NoSpares())
            for number in range(budgets):
                name = f"budget-{number:06d}"
                manager.cover("a", name, 100, Weighting.OVERSPEND).unwrap().settle(0)
            return manager

        def build_alone(build=build, source=source):
            manager = build()
            source.entries.clear()
            return manager

        memory.append((budgets, allocated_bytes(build_alone)))
        source = _AccountSource()
        manager = build(source=source)

        def cover(manager=manager):
            manager.cover("a", "budget-000001", 1, Weighting.OVERSPEND).unwrap().settle(1)

        covers.append((budgets, 1e6 * cpu_seconds_per_call(cover, 2000)))
        # Make nine of ten budgets idle: all of their tokens are spent and reported.
        for number, held in enumerate(manager._holdings.values()):
            if number % 10:
                tokens = held.ledger.spendable
                held.ledger.open(tokens).unwrap().settle(tokens)
                held.demand = DemandEstimate()
        manager.report(include_idle=True)
        manager.report()
        reports.append((budgets, 1e3 * cpu_seconds_per_call(manager.report, 3)))
    report_slope("held_budgets_memory", memory, "B", "budget")
    report_slope("cover_cpu", covers, "us", "budget")
    report_slope("report_round_cpu", reports, "ms", "budget")


# --- configuration -------------------------------------------------------------------------


def budget_objects(count):
    """Return stored Budget objects."""
    value = b'{"workspace":"workspace-17","topups":[{"id":"2026-12","tokens":1000000}],'
    value += b'"account":"account-0017"}'
    return [
        StoredObject("Budget", f"budget-{number:06d}", number + 1, msgspec.Raw(value))
        for number in range(count)
    ]


def measure_configuration():
    """Measure memory and CPU time of a configuration, and CPU time of one change."""
    print_heading("configuration")
    memory, times = [], []
    for count in (1000, 5000, 20_000):

        def build(count=count):
            config = ConfigStore()
            config.apply_snapshot(count, budget_objects(count))
            return config

        memory.append((count, allocated_bytes(build)))
        times.append((count, 1e3 * cpu_seconds_per_call(build, 1)))
    report_slope("config_memory", memory, "B", "object")
    report_slope("config_snapshot_cpu", times, "ms", "object")
    config = ConfigStore()
    config.apply_snapshot(20_000, budget_objects(20_000))
    version = [20_000]

    def change():
        version[0] += 1
        stored = budget_objects(1)[0]
        config.apply_batch(version[0], [msgspec.structs.replace(stored, version=version[0])])

    report("config_change_cpu", 1e6 * cpu_seconds_per_call(change, 500), "us")
    since = version[0] - 1
    lookup = cpu_seconds_per_call(lambda: config.changes_after(since), 5)
    report("config_changes_after_cpu", 1e6 * lookup, "us", objects=20_000)
    message = object_to_pb(budget_objects(1)[0])
    report("config_change_message", message.ByteSize(), "B")


# --- membership ------------------------------------------------------------------------------


def member(number):
    """Return a member record."""
    return Member(
        incarnation=f"router-{number}.0123456789",
        name=f"router-{number}",
        region=f"region-{number % 11}",
        data_hall=f"hall-{number % 39}",
        http_address=f"10.0.{number // 250}.{number % 250}:8080",
        peer_address=f"10.0.{number // 250}.{number % 250}:8081",
        revision=123_456,
        requests_in_progress=20,
    )


def measure_membership():
    """Measure CPU time of a heartbeat and of choosing the drawing instance, and message sizes."""
    print_heading("membership")
    heartbeats, choices, memory = [], [], []
    for count in (8, 64, 380):
        members = [member(number) for number in range(count)]

        def build(members=members):
            table = MembershipTable("router-0")
            for one in members:
                table.record_heartbeat(member_from_pb(member_to_pb(one)), 0.0)
            return table

        memory.append((count, allocated_bytes(build)))
        table = build()

        def beat(table=table, members=members):
            message = pb.HeartbeatRequest(sender=member_to_pb(members[1]))
            decoded = pb.HeartbeatRequest.FromString(message.SerializeToString())
            table.record_heartbeat(member_from_pb(decoded.sender), 0.0)

        heartbeats.append((count, 1e6 * cpu_seconds_per_call(beat, 500)))
        own = members[0]
        choices.append(
            (
                count,
                1e6
                * cpu_seconds_per_call(
                    lambda t=table, o=own: t.drawing_incarnation(o, "a", 0.0), 50
                ),
            )
        )
    report_slope("member_memory", memory, "B", "member")
    report_slope("heartbeat_cpu", heartbeats, "us", "member")
    report_slope("drawer_choice_cpu", choices, "us", "member")
    size = pb.HeartbeatRequest(sender=member_to_pb(member(1))).ByteSize()
    report("heartbeat_message", size, "B")
    order = DrawOrder(
        account="account-0017", budget="budget-000001", holder="router-1.0123456789", sequence=9
    )
    report("draw_message", order_to_pb(order).ByteSize(), "B")


# --- request memory, journal, routing ----------------------------------------------------------


def measure_requests():
    """Measure memory per remembered request and CPU time of one consultation."""
    print_heading("request memory")
    digest = body_digest(b"body")
    memory = []
    for count in (1000, 5000, 20_000):

        def build(count=count):
            retained = RequestMemory("r.1", max_entries=count)
            for number in range(count):
                retained.reserve(f"workspace-1/key-{number:012d}", digest, 0.0)
                retained.set_state(f"workspace-1/key-{number:012d}", RunState.FINISHED, 0.0)
            return retained

        memory.append((count, allocated_bytes(build)))
    report_slope("request_entry_memory", memory, "B", "request")
    retained = build()
    consult = lambda: retained.consult("workspace-1/key-000000000007", digest, "b.1", "", True, 0.0)  # noqa: E731
    report("consult_cpu", 1e6 * cpu_seconds_per_call(consult, 2000), "us")


def measure_journal():
    """Measure CPU time and stored bytes of one commit, by its number of records."""
    print_heading("journal")
    times, sizes = [], []
    for records in (1, 8, 32, 128):
        store = MemoryStore()
        writer = JournalWriter(store, "r.1")
        record = BillRecord("workspace-1/key-000000000007", "workspace-1", "budget-1", 512)

        def commit(writer=writer, record=record, records=records):
            for _ in range(records):
                writer.add(record)
            writer.commit()

        times.append((records, 1e6 * cpu_seconds_per_call(commit, 40)))
        written = sum(len(item.value) for item in store.objects.values())
        sizes.append((records, written / len(store.objects) / 256 * records))
    report_slope("journal_commit_cpu", times, "us", "record")
    report_slope("journal_bytes_kept", sizes, "B", "record")


def measure_routing():
    """Measure CPU time of one pick, by the number of targets in the pool."""
    print_heading("routing")
    picks, facts = [], []
    for count in (10, 100, 450, 1000):
        pool = PoolState("p", TargetPool(models=("m",)), seed=1)
        spec = Target(pool="p", address="127.0.0.1:1", max_concurrency=16)
        for number in range(count):
            pool.add(TargetView(f"t{number}", spec, LocalEjection()))
        query = PickQuery(request_class=RequestClass.INTERACTIVE)

        def pick(pool=pool, query=query):
            pool.pick(query, 0.0).end_request()

        picks.append((count, 1e6 * cpu_seconds_per_call(pick, 200)))
        facts.append((count, 1e6 * cpu_seconds_per_call(lambda pool=pool: pool.facts(0.0), 200)))
    report_slope("pick_cpu", picks, "us", "target")
    report_slope("pool_facts_cpu", facts, "us", "target")


def main():
    """Run all measurements."""
    measure_accounts()
    measure_budget_managers()
    measure_configuration()
    measure_membership()
    measure_requests()
    measure_journal()
    measure_routing()


if __name__ == "__main__":
    main()
