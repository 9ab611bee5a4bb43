"""Two outages of the store shortly after a large budget came into use.

The load is that of one workspace in a fleet of 195 instances: requests begin at 0 s, the store is
unreachable from 2.7 to 4.8 s and from 5.1 to 13.2 s, and from 3 s on there are three times as many
requests. One instance receives all of them; another one draws the budget ahead.
"""

import random

import pytest
from returns.result import Success

from whinrack.budgets.tests.simulated_fleet import BUDGET, Fleet

_LIMIT = 4_400_000
# Peak demand in tokens per second, before and after the increase.
_EARLY, _LATER = 40_000, 115_000
_SIZES = (1_500, 2_500, 7_000, 13_000)
_STEP_SECONDS = 0.05
_STEPS = 280
_STEPS_OF_A_REQUEST = 30
_STEPS_OF_A_REPORT = 10


def run_scenario(seed):
    """Return the served fraction of the requested tokens."""
    rng = random.Random(seed)
    fleet = Fleet(3, _LIMIT)
    supplier, entry, _ = fleet.machines
    for machine in fleet.machines:
        machine.supplier = supplier
        machine.manager.can_draw_ahead = True
    for _ in range(10):
        renew(fleet)
        fleet.now += 1.0
    asked = served = 0
    running = []
    for step in range(_STEPS):
        now = step * _STEP_SECONDS
        for machine in fleet.machines:
            machine.cut_off = 2.7 <= now < 4.8 or 5.1 <= now < 13.2
        for tokens in arrivals(rng, now):
            asked += tokens
            cover = entry.request(tokens)
            if isinstance(cover, Success):
                served += tokens
                running.append(step + _STEPS_OF_A_REQUEST)
        while running and running[0] <= step:
            running.pop(0)
            entry.settle(0.5)
        if step % _STEPS_OF_A_REPORT == 0:
            renew(fleet)
        fleet.now += _STEP_SECONDS
    return served / asked


def arrivals(rng, now):
    expected = (_EARLY if now < 3.0 else _LATER) * _STEP_SECONDS / 3_000
    count = int(expected) + (rng.random() < expected % 1.0)
    return [rng.choice(_SIZES) for _ in range(count)]


def renew(fleet):
    for machine in fleet.machines:
        machine.manager.renew()


def test_outages_right_after_the_start_refuse_little_of_a_large_budget():
    served = [run_scenario(seed) for seed in range(10)]
    assert sum(served) / len(served) >= 0.9


@pytest.mark.parametrize("seconds", [30, 60])
def test_tokens_held_while_the_demand_was_unknown_are_returned(seconds):
    fleet = Fleet(1, _LIMIT)
    (machine,) = fleet.machines
    machine.manager.can_draw_ahead = True
    held = []
    for _ in range(seconds):
        machine.request(1_000)
        machine.settle(1.0)
        machine.manager.renew()
        held.append(machine.manager.spendable()[BUDGET])
        fleet.now += 1.0
    assert max(held) >= 25_000
    assert held[-1] <= 17_000
