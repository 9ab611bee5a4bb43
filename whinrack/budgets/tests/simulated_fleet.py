"""Simulated machines whose grant managers share one budget."""

import msgspec
from returns.result import Failure, Success

from standins.memory_store import MemoryStore
from whinrack.budgets import (
    ACCOUNT_KIND,
    AccountWriter,
    BudgetAccount,
    GrantManager,
    GrantOptions,
    RestartTime,
    SpareTokenSource,
    TransferTotal,
    WallClockReading,
)
from whinrack.exceptions import PlatformUnavailable
from whinrack.store import ObjectEditor, ObjectStore

BUDGET = "b"
WALL_MARGIN = 3.5


class LinkedStore(ObjectStore):
    """Store as reached from one machine."""

    def __init__(self, store, machine):
        self.store = store
        self.machine = machine

    @property
    def era(self):
        return self.store.era

    def get(self, kind, name):
        if self.machine.cut_off:
            return Failure(PlatformUnavailable("cut off"))
        return self.store.get(kind, name)

    def put(self, kind, name, value, version):
        if self.machine.cut_off:
            return Failure(PlatformUnavailable("cut off"))
        return self.store.put(kind, name, value, version)


class Machine:
    """Machine with its clocks and the current run of its instance."""

    def __init__(self, fleet, name):
        self.fleet = fleet
        self.name = name
        self.steady_offset = 100.0 * len(fleet.machines)
        self.wall_offset = 0.0
        self.cut_off = False
        self.runs = 0
        self.released = False
        self.covers = []
        # Machine that draws the budget ahead for this one; None for this machine itself.
        self.supplier = None
        self.start()

    def steady(self):
        return self.fleet.now + self.steady_offset

    def wall(self):
        return 1e9 + self.fleet.now + self.wall_offset

    def wall_clock(self):
        others = [machine for machine in self.fleet.machines if machine is not self]
        agreeing = sum(abs(m.wall_offset - self.wall_offset) < 0.25 for m in others)
        return WallClockReading(self.wall(), agreeing >= 2 and 2 * agreeing > len(others))

    def start(self):
        self.runs += 1
        self.restart = RestartTime(self.steady(), self.wall(), WALL_MARGIN)
        self.released = False
        self.covers = []
        store = LinkedStore(self.fleet.store, self)
        writer = AccountWriter(store, _Lock, clock=self.steady, sleep=lambda seconds: None, seed=1)
        self.manager = GrantManager(
            f"{self.name}.{self.runs}",
            "a",
            writer,
            Peers(self.fleet, self),
            GrantOptions(),
            clock=self.steady,
            wall_clock=self.wall_clock,
            make_lock=_Lock,
        )
        self.manager.set_limits(1, {BUDGET: self.fleet.limit})

    def release(self):
        if not self.released:
            now = self.wall_clock()
            jumped = (now.seconds - self.restart.wall) - (self.steady() - self.restart.steady)
            checked = now.is_checked and abs(jumped) < 0.25
            restart = msgspec.structs.replace(self.restart, wall_checked=checked)
            self.released = isinstance(self.manager.release_earlier_runs(restart), Success)

    def crash(self):
        """End this run and start the next; open requests may have used their whole cover."""
        self.fleet.used += sum(cover.tokens for cover in self.covers)
        self.start()

    def request(self, tokens, urgency=0):
        cover = self.manager.cover(BUDGET, tokens, urgency)
        if isinstance(cover, Success):
            self.covers.append(cover.unwrap())
        return cover

    def settle(self, part):
        cover = self.covers.pop(0)
        billed = int(cover.tokens * part)
        self.fleet.used += billed
        cover.settle(billed)


class Peers(SpareTokenSource):
    """The other machines, reachable unless the fleet loses replies."""

    def __init__(self, fleet, machine):
        self.fleet = fleet
        self.machine = machine

    def others(self):
        return [other for other in self.fleet.machines if other is not self.machine]

    def peer_count(self):
        return len(self.others())

    def request_from_peers(self, budget, need, wish, received):
        return self._ask(self.others(), need, wish, received, draw=False)

    def request_peer_draw(self, budget, need, wish, received):
        reach = [other for other in self.others() if other.manager.is_store_reachable]
        return self._ask(reach[:1], need, wish, received, draw=True)

    def is_supplier(self, budget):
        return self.machine.supplier in (None, self.machine)

    def request_from_supplier(self, budget, need, wish, received):
        supplier = self.machine.supplier
        giver = supplier.manager.holder
        total = supplier.manager.give_as_supplier(
            BUDGET, self.machine.manager.holder, received.get(giver, 0), need, wish
        )
        supplier.manager.draw_for_peer(BUDGET, need)
        if self.fleet.lose_peer_replies > 0:
            self.fleet.lose_peer_replies -= 1
        else:
            yield TransferTotal(giver, total)

    def _ask(self, others, need, wish, received, draw):
        for other in others:
            giver = other.manager.holder
            total = other.manager.give(
                BUDGET, self.machine.manager.holder, received.get(giver, 0), need, wish, draw
            )
            if self.fleet.lose_peer_replies > 0:
                self.fleet.lose_peer_replies -= 1
            else:
                yield TransferTotal(giver, total, other.manager.unreported_use(BUDGET))


class _Lock:
    """Lock that does nothing, since these tests have no green threads."""

    def __enter__(self):
        return self

    def __exit__(self, *exc):
        return False


class Fleet:
    def __init__(self, machines, limit):
        self.now = 50.0
        self.limit = limit
        self.used = 0
        self.lose_peer_replies = 0
        self.store = MemoryStore()
        self.machines = []
        for index in range(machines):
            self.machines.append(Machine(self, f"m{index}"))

    def entry(self):
        editor = ObjectEditor(self.store, ACCOUNT_KIND, BudgetAccount)
        return editor.read("a").unwrap().budgets[BUDGET]

    def max_spent(self):
        open_covers = sum(cover.tokens for m in self.machines for cover in m.covers)
        return self.used + open_covers


def busy_fleet(limit=100_000, seconds=20):
    """Return three machines that each use 300 tokens per second of one budget."""
    fleet = Fleet(3, limit)
    for _ in range(seconds):
        run_second(fleet)
    return fleet


def run_second(fleet):
    served = 0
    for machine in fleet.machines:
        for _ in range(3):
            served += isinstance(machine.request(100), Success)
            while machine.covers:
                machine.settle(1.0)
        machine.release()
        machine.manager.renew()
    fleet.now += 1.0
    return served


def use_all_tokens(fleet):
    """Use all tokens that can still be obtained anywhere."""
    for _ in range(6):
        for machine in fleet.machines:
            machine.release()
            machine.manager.renew()
            for tokens in (2000, 300, 37):
                while isinstance(machine.request(tokens), Success):
                    machine.settle(1.0)
        fleet.now += 2.0
