"""Power loss of all machines some seconds after an outage of the store.

The load is that of a large workspace whose limit lasts for a minute of its demand. One instance
draws it ahead and gives tokens to the one that receives the requests. The store is unreachable for
8 s. 3 s later all machines lose power for 1.6 s, and their processes start 0.5 s after that.
"""

import random

import pytest
from returns.result import Success

from whinrack.budgets.tests.simulated_fleet import Fleet

_DEMAND = 60_000
_LIMIT = 65 * _DEMAND
_SIZES = (1_500, 2_500, 7_000, 13_000)
_MEAN_SIZE = 6_000
_STEP_SECONDS = 0.05
_STEPS_OF_A_REQUEST = 12
_STEPS_OF_A_REPORT = 10
_OUTAGE = (14.0, 22.0)
_POWER_LOST_AT = 25.0
_DOWN_SECONDS = 2.1


class Scenario:
    """Simulation of the load, the outage and the power loss."""

    def __init__(self, seed, surge=1.0):
        self.rng = random.Random(seed)
        self.surge = surge
        self.fleet = Fleet(3, _LIMIT)
        self.supplier, self.entry, _ = self.fleet.machines
        self.asked = self.served = 0
        for machine in self.fleet.machines:
            machine.supplier = self.supplier
            machine.manager.can_draw_ahead = True

    def run(self):
        """Run until the power is lost; return the fraction served during the outage."""
        running = []
        for step in range(int(_POWER_LOST_AT / _STEP_SECONDS)):
            now = step * _STEP_SECONDS
            is_out = _OUTAGE[0] <= now < _OUTAGE[1]
            for machine in self.fleet.machines:
                machine.cut_off = is_out
            for tokens in self._arrivals(now):
                cover = self.entry.request(tokens)
                if isinstance(cover, Success):
                    running.append(step + _STEPS_OF_A_REQUEST)
                if is_out:
                    self.asked += tokens
                    self.served += tokens * isinstance(cover, Success)
            while running and running[0] <= step:
                running.pop(0)
                self.entry.settle(0.9)
            if step % _STEPS_OF_A_REPORT == 0:
                for machine in self.fleet.machines:
                    machine.manager.renew()
            self.fleet.now += _STEP_SECONDS
        return self.served / self.asked

    def _arrivals(self, now):
        rate = _DEMAND * (self.surge if now >= _OUTAGE[0] - 2.0 else 1.0)
        expected = rate * _STEP_SECONDS / _MEAN_SIZE
        count = int(expected) + (self.rng.random() < expected % 1.0)
        return [self.rng.choice(_SIZES) for _ in range(count)]

    def lose_power(self):
        """Crash and restart all machines; return the fraction of the limit withdrawn from use."""
        self.fleet.now += _DOWN_SECONDS
        for index, machine in enumerate(self.fleet.machines):
            machine.steady_offset = 1e5 * (index + 1)
            machine.crash()
            machine.release()
        entry = self.fleet.entry()
        return (_LIMIT - entry.free - self.fleet.used) / _LIMIT


def mean(values):
    return sum(values) / len(values)


def test_lending_run_renews_its_schedule_with_each_report():
    """A schedule that was 2.5 s old at the power loss withdrew 0.135 of the budget from use."""
    scenario = Scenario(1)
    scenario.run()
    schedule = scenario.supplier.manager._grants["b"].last_schedule
    assert scenario.supplier.steady() - schedule.steady <= _STEPS_OF_A_REPORT * _STEP_SECONDS + 0.01


def test_little_of_a_large_budget_is_out_of_use_after_all_lost_power():
    lost = []
    for seed in range(10):
        scenario = Scenario(seed)
        scenario.run()
        lost.append(scenario.lose_power())
    assert mean(lost) <= 0.03


@pytest.mark.parametrize(("surge", "min_served"), [(1.0, 0.99), (1.5, 0.97), (2.7, 0.9)])
def test_outage_refuses_little_of_a_large_budget(surge, min_served):
    assert mean([Scenario(seed, surge).run() for seed in range(10)]) >= min_served
