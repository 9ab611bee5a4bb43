"""Cost of the edge daemon's work besides requests: heartbeats, budget accounts, choices."""

import time

import msgspec

from benchmarks.report import print_heading, report
from whinrack.budgets import (
    BudgetAccount,
    DrawOrder,
    ReleaseSchedule,
    apply_draws,
    results_for_holder,
)
from whinrack.dispatch import TargetRecord, TargetRegistry
from whinrack.gossip import Heartbeat, PeerAddress, PeerState, PeerTable

BUDGETS = 24
HALLS = 5
HOLDERS = (8, 30, 87, 300)
TARGETS = (9, 70, 300, 1200)
ROUNDS = 200


def _cpu_microseconds(function, rounds: int = ROUNDS) -> float:
    began = time.process_time()
    for _ in range(rounds):
        function()
    return (time.process_time() - began) / rounds * 1e6


def _make_orders(holder: int, sequence: int) -> list[DrawOrder]:
    return [
        DrawOrder(
            account="a",
            budget=f"workspace-{budget}",
            holder=f"instance-{holder}.0123456789",
            sequence=sequence,
            want=10,
            billed=sequence,
            opening=sequence == 1,
            limit=10**9,
            limit_version=1,
            schedule=ReleaseSchedule(
                base=10**5, rate=1234.5, steady=1.5e5, wall=1.7e9, wall_checked=True, delay=1.5
            ),
        )
        for budget in range(BUDGETS)
    ]


def _make_account(holders: int) -> BudgetAccount:
    account = None
    for holder in range(holders):
        account = apply_draws(account, _make_orders(holder, 1))
    return account


def measure_accounts() -> None:
    """Report the size of an account and the CPU time of one write, by holders."""
    for holders in HOLDERS:
        data = msgspec.json.encode(_make_account(holders))
        decode = msgspec.json.Decoder(BudgetAccount).decode

        def write(data=data, decode=decode):
            account = decode(data)
            orders = _make_orders(0, 2)
            apply_draws(account, orders)
            results_for_holder(account, orders[0].holder, orders)
            msgspec.json.encode(account)

        report("books", len(data), "B", holders=holders, budgets=BUDGETS)
        report("write_of_books", _cpu_microseconds(write, 20), "us", holders=holders)


def measure_heartbeats() -> None:
    """Report the size and rate of heartbeats and the CPU time to process one, by peers."""
    for peers in HOLDERS:
        sender, receiver = _make_table(peers), _make_table(peers)
        message = _make_heartbeat(0, 2, sender)
        encoded = msgspec.msgpack.encode(message)
        decode = msgspec.msgpack.Decoder(Heartbeat).decode
        times = iter(range(3, 10**9))

        def receive(encoded=encoded, decode=decode, receiver=receiver, times=times):
            received = decode(encoded)
            receiver.record_heartbeat(msgspec.structs.replace(received, number=next(times)), 0.0)

        report("heartbeat", len(encoded), "B", peers=peers)
        short = msgspec.structs.replace(message, ages=sender.ages(0.0, own_hall_only=True))
        report("brief_heartbeat", len(msgspec.msgpack.encode(short)), "B", peers=peers)
        report(
            "heartbeats_sent",
            _receiver_count(sender) / sender.heartbeat_interval(0.25),
            "/s",
            peers=peers,
        )
        report("heartbeat_taken_in", _cpu_microseconds(receive), "us", peers=peers)


def _receiver_count(table: PeerTable) -> int:
    chosen = table.next_receivers(0.0)
    return len(chosen.own_hall) + len(chosen.other_halls)


def _make_table(peers: int) -> PeerTable:
    """Return the peer table of an instance that has received a heartbeat of every peer."""
    table = PeerTable("instance", 1.0, 60.0, seed=1, data_hall="hall-0")
    for number in range(peers):
        table.record_heartbeat(_make_heartbeat(number, 1, PeerTable("", 1.0, 60.0)), 0.0)
    return table


def _make_heartbeat(number: int, sequence: int, sender: PeerTable) -> Heartbeat:
    host = f"10.0.{number // 250}.{number % 250}"
    state = PeerState(
        incarnation=f"instance-{number}.0123456789",
        sequence=sequence,
        sender=PeerAddress(f"instance-{number}", host, 7340),
        callers=f"{host}:8000",
        data_hall=f"hall-{number % HALLS}",
        ready=True,
        store_answers=True,
        load=5,
        configuration=7,
    )
    return Heartbeat(
        state=state, number=sequence, peers=sender.live_addresses(0.0), ages=sender.ages(0.0)
    )


def measure_choice() -> None:
    """Report the CPU time to choose a target by prompt prefix, by targets."""
    for count in TARGETS:
        registry = TargetRegistry(seed=1)
        registry.replace_all([TargetRecord(f"i-{n}", "p", "127.0.0.1", n) for n in range(count)])

        def choose(registry=registry):
            registry.choose("p", "prefix", (), 0.0)

        report("choice_by_prefix", _cpu_microseconds(choose), "us", targets=count)


def main() -> None:
    """Run the benchmark."""
    print_heading("edge: budget accounts, heartbeats, choices")
    measure_accounts()
    measure_heartbeats()
    measure_choice()


if __name__ == "__main__":
    main()
