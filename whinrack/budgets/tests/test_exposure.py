"""Kill of all instances under the load of a hot workspace, and an outage right after it."""

import pytest

from whinrack.budgets import exposure_text
from whinrack.budgets.tests.simulated_fleet import BUDGET, busy_fleet, run_second
from whinrack.budgets.tests.test_loss_of_power import Scenario

_KILLED_AFTER_SECONDS = 0.6


def kill_all(fleet):
    """Kill and restart all machines; return what was known to be exposed and is written off."""
    fleet.now += _KILLED_AFTER_SECONDS
    parts = [part for m in fleet.machines for part in m.manager.exposures().values()]
    for machine in fleet.machines:
        machine.crash()
        machine.release()
    return parts, fleet.entry().unproven


@pytest.mark.parametrize("seed", range(4))
def test_exposed_tokens_are_what_a_kill_of_all_writes_off(seed):
    scenario = Scenario(seed)
    scenario.run()
    parts, written_off = kill_all(scenario.fleet)
    certain = sum(part.open_cover + part.unreported for part in parts)
    assert certain <= written_off <= sum(part.total for part in parts)


def test_outage_right_after_a_kill_of_all_refuses_nothing():
    fleet = busy_fleet()
    kill_all(fleet)
    run_second(fleet)
    for machine in fleet.machines:
        machine.cut_off = True
    assert sum(run_second(fleet) for _ in range(9)) == 9 * 9


def test_exposures_are_logged_largest_first_without_empty_ones():
    fleet = busy_fleet()
    machine = fleet.machines[0]
    machine.request(100)
    (part,) = machine.manager.exposures().values()
    assert exposure_text({"a": part}) == f"a:100/0/{part.released}"
    assert exposure_text(fleet.machines[1].manager.exposures()).startswith(f"{BUDGET}:0/")
