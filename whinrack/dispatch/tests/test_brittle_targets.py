"""Quotas of brittle targets: together the instances never exceed a target's slots."""

import pytest

from whinrack.dispatch import (
    NO_LIMIT,
    ContactFailure,
    SharedRatePermits,
    TargetRecord,
    TargetRegistry,
)


class Fleet:
    """Registries of several instances with the same targets and a common clock."""

    def __init__(self, instances, slots, refusals, targets=1):
        self.now = 100.0
        self.without_pool = []
        self.names = [f"m{number}" for number in range(instances)]
        self.registries = {name: self._registry(name, slots, targets) for name in self.names}
        for registry in self.registries.values():
            for number in range(targets):
                registry.brittle_limits.record_answer(f"t{number}", refusals, self.now)

    def _registry(self, name, slots, targets):
        permits = SharedRatePermits(name, lambda: frozenset(self.names), lambda: True)
        registry = TargetRegistry(
            seed=1,
            rate_permits=permits,
            instances_without=lambda pool: self.without_pool,
            clock=lambda: self.now,
        )
        for number in range(targets):
            registry.put(TargetRecord(f"t{number}", "p", "h", 1, slots=slots))
        return registry

    def send_all(self, name, most=1000):
        """Send requests from one instance until it chooses no target; return how many."""
        registry = self.registries[name]
        for count in range(most):
            state = registry.choose("p", "", (), self.now)
            if state is None:
                return count
            registry.begin_request(state)
        return most


@pytest.mark.parametrize("instances", [1, 2, 3, 8, 87])
@pytest.mark.parametrize("slots", [1, 4, 6, 64])
@pytest.mark.parametrize("refusals", [0.0, 1.0, 3.0, 8.0])
def test_all_instances_together_use_the_slots_and_no_more(instances, slots, refusals):
    fleet = Fleet(instances, slots, refusals)
    for registry in fleet.registries.values():
        # All instances know that others use everything that is beyond their own quotas.
        for number, state in enumerate(registry.targets_in_pool("p")):
            assert number == 0
            registry.remote_loads.update("others", {state.digest: slots}, fleet.now)
    sent = sum(fleet.send_all(name) for name in fleet.names)
    assert sent == slots


@pytest.mark.parametrize(("instances", "slots"), [(2, 12), (3, 4), (8, 64), (87, 18)])
def test_bursts_after_a_pause_stay_within_the_slots(instances, slots):
    """Guards against instances that each take what looks free before they hear of the others."""
    fleet = Fleet(instances, slots, 0.0)
    assert sum(fleet.send_all(name) for name in fleet.names) == slots


def test_instances_without_a_quota_know_who_has_one():
    fleet = Fleet(87, 6, 0.0, targets=3)
    holders = {name for name in fleet.names if fleet.send_all(name)}
    for name, registry in fleet.registries.items():
        assert registry.instances_with_free_slots("p", fleet.now) >= holders - {name}
    for state in fleet.registries["m0"].targets_in_pool("p"):
        fleet.registries["m0"].remote_loads.update("m1", {state.digest: 6}, fleet.now)
    assert len(fleet.registries["m0"].instances_with_free_slots("p", fleet.now)) < len(holders)


def test_targets_that_are_not_brittle_have_no_quota():
    fleet = Fleet(4, 2, NO_LIMIT)
    assert fleet.send_all("m0", most=50) == 50


def test_instance_that_was_refused_stays_below_its_quota_for_some_time():
    fleet = Fleet(2, 8, 3.0)
    registry = fleet.registries["m0"]
    (state,) = registry.targets_in_pool("p")
    registry.mark_busy(state, fleet.now)
    assert fleet.send_all("m0") == 2
    fleet.now += 3.1
    assert fleet.send_all("m0") >= 2


def test_instance_that_was_refused_within_a_quota_of_one_pauses():
    """Guards against one slot that nobody counts and that causes refusal after refusal."""
    fleet = Fleet(4, 4, 1.0)
    registry = fleet.registries["m0"]
    (state,) = registry.targets_in_pool("p")
    registry.mark_busy(state, fleet.now)
    fleet.now += 0.9
    assert fleet.send_all("m0") == 0
    fleet.now += 0.2
    assert fleet.send_all("m0") == 1


def test_instances_that_have_lost_the_pool_leave_their_quotas_to_the_others():
    fleet = Fleet(4, 8, 0.0)
    (state,) = fleet.registries["m0"].targets_in_pool("p")
    fleet.registries["m0"].remote_loads.update("others", {state.digest: 8}, fleet.now)
    assert fleet.send_all("m0") == 2
    fleet.without_pool = ["m1", "m2", "m3"]
    fleet.now += 0.2
    # Requests that the others have sent may still run.
    assert fleet.send_all("m0") == 0
    fleet.now += 3.1
    assert fleet.send_all("m0") == 6
    fleet.without_pool = []
    fleet.now += 0.2
    for name in fleet.names[1:]:
        assert fleet.send_all(name) == 2


def test_quota_follows_the_members():
    fleet = Fleet(2, 8, 0.0)
    (state,) = fleet.registries["m0"].targets_in_pool("p")
    fleet.registries["m0"].remote_loads.update("m1", {state.digest: 8}, fleet.now)
    assert fleet.send_all("m0") == 4
    fleet.names.append("m2")
    fleet.now += 1.0
    assert fleet.send_all("m0") == 0
    del fleet.names[1:]
    fleet.now += 1.0
    assert fleet.send_all("m0") == 0
    fleet.now += 3.1
    assert fleet.send_all("m0") == 4


def test_quotas_never_exceed_the_slots_while_instances_learn_of_a_change():
    """Guards against parts of instances that know different members."""
    fleet = Fleet(4, 9, 0.0)
    for registry in fleet.registries.values():
        assert registry.instances_with_free_slots("p", fleet.now)
    fleet.names.remove("m3")
    fleet.now += 1.0
    informed = ["m0", "m1"]
    assert sum(fleet.send_all(name) for name in informed) <= 5
    fleet.names.append("m3")
    assert sum(fleet.send_all(name) for name in fleet.names) <= 9


def test_an_instance_that_reaches_its_pool_again_waits_for_the_others():
    fleet = Fleet(2, 8, 0.0)
    registry = fleet.registries["m0"]
    identities = [state.record.identity for state in registry.targets_in_pool("p")]
    registry.reachability.record_failure("p", *identities, ContactFailure.UNREACHABLE, fleet.now)
    fleet.now += 0.2
    assert fleet.send_all("m0") == 0
    registry.reachability.record_answer("p", *identities, fleet.now)
    fleet.now += 0.2
    assert fleet.send_all("m0") == 0
    fleet.now += 3.1
    assert fleet.send_all("m0") == 4


def new_start(registry, name="t1", started=9):
    registry.put(TargetRecord(name, "p", "h", 1, started=started, slots=4))
    return next(s for s in registry.targets_in_pool("p") if s.record.incarnation == name)


def state_brittle(registry, state, refusals, now):
    registry.brittle_targets.record_statement(state, refusals, now, "")


def test_a_new_start_in_a_brittle_pool_counts_as_brittle_before_its_first_answer():
    fleet = Fleet(2, 4, NO_LIMIT)
    told, other = fleet.registries.values()
    state_brittle(told, told.targets_in_pool("p")[0], 3.0, fleet.now)
    other.brittle_limits.merge_reports(told.brittle_limits.next_reports(), "m0")
    for registry in (told, other):
        state = new_start(registry)
        assert registry.brittle_targets.is_brittle(state)
        state_brittle(registry, state, NO_LIMIT, fleet.now + 0.1)
        assert not registry.brittle_targets.is_brittle(state)


def test_a_pool_stays_brittle_while_none_of_its_targets_is_left():
    fleet = Fleet(1, 4, NO_LIMIT)
    (registry,) = fleet.registries.values()
    state_brittle(registry, registry.targets_in_pool("p")[0], 0.0, fleet.now)
    registry.remove("t0")
    assert registry.brittle_targets.is_brittle(new_start(registry))


def test_a_pool_is_no_longer_brittle_when_its_targets_stop_stating_it():
    fleet = Fleet(1, 4, NO_LIMIT, targets=2)
    (registry,) = fleet.registries.values()
    first, second = registry.targets_in_pool("p")
    state_brittle(registry, first, 3.0, fleet.now)
    state_brittle(registry, second, 3.0, fleet.now)
    fleet.now += 1.0
    state_brittle(registry, first, NO_LIMIT, fleet.now)
    assert registry.brittle_targets.is_brittle(new_start(registry, "t2"))
    state_brittle(registry, second, NO_LIMIT, fleet.now)
    assert not registry.brittle_targets.is_brittle(new_start(registry, "t3"))


def test_a_brittle_target_that_may_have_ended_gets_no_requests():
    """Guards against a later start that gets the quota of its earlier one besides its own."""
    fleet = Fleet(1, 4, 0.0)
    (registry,) = fleet.registries.values()
    registry.remove("t0")
    state_brittle(registry, new_start(registry), 0.0, fleet.now)
    (state,) = registry.targets_in_pool("p")
    state.record_unreachable(fleet.now)
    state.record_refused(fleet.now)
    fleet.now += 3.0
    assert fleet.send_all("m0") == 0
    new_start(registry, started=10)
    assert fleet.send_all("m0") == 4


def test_a_target_that_was_not_brittle_counts_as_brittle_when_its_pool_becomes_so_later():
    fleet = Fleet(1, 4, NO_LIMIT, targets=2)
    (registry,) = fleet.registries.values()
    first, second = registry.targets_in_pool("p")
    state_brittle(registry, first, 3.0, fleet.now)
    state_brittle(registry, second, NO_LIMIT, fleet.now)
    assert not registry.brittle_targets.is_brittle(second)
    fleet.now += 10.0
    state_brittle(registry, first, 3.0, fleet.now)
    assert registry.brittle_targets.is_brittle(second)


def test_health_checks_use_the_quota():
    """Guards against checks that take the slots of other instances or are refused."""
    fleet = Fleet(2, 4, 0.0)
    registry = fleet.registries["m0"]
    (state,) = registry.targets_in_pool("p")
    checks = 0
    while registry.brittle_targets.can_check(state, fleet.now):
        state.checks_in_flight += 1
        checks += 1
    assert checks == 2
    assert fleet.send_all("m0") == 0
    state.checks_in_flight = 0
    assert fleet.send_all("m0") == 2
    assert not registry.brittle_targets.can_check(state, fleet.now)


def test_instances_without_a_quota_send_no_health_checks():
    fleet = Fleet(87, 6, 0.0)
    checking = [
        name
        for name, registry in fleet.registries.items()
        for state in registry.targets_in_pool("p")
        if registry.brittle_targets.can_check(state, fleet.now)
    ]
    assert len(checking) == 6


def test_a_brittle_target_that_has_failed_gets_no_requests_until_a_check_is_answered():
    fleet = Fleet(1, 4, 0.0, targets=2)
    (registry,) = fleet.registries.values()
    first, second = registry.targets_in_pool("p")
    reachability, brittle = registry.reachability, registry.brittle_targets
    brittle.record_failure(first, fleet.now)
    reachability.record_failure("p", first.record.identity, ContactFailure.SILENT, fleet.now)
    assert brittle.needs_check(first, fleet.now) and not brittle.needs_check(second, fleet.now)
    assert fleet.send_all("m0") == 4 and first.in_flight == 0
    fleet.now += 1.0
    reachability.record_answer("p", first.record.identity, fleet.now)
    assert not brittle.needs_check(first, fleet.now)
    assert fleet.send_all("m0") == 4


def test_an_instance_that_has_lost_a_brittle_pool_checks_only_targets_with_free_slots():
    fleet = Fleet(2, 4, 0.0)
    registry = fleet.registries["m0"]
    (state,) = registry.targets_in_pool("p")
    identity = state.record.identity
    registry.reachability.record_failure("p", identity, ContactFailure.UNREACHABLE, fleet.now)
    assert registry.reachability.is_lost("p")
    assert registry.brittle_targets.can_check(state, fleet.now)
    registry.remote_loads.update("m1", {state.digest: 4}, fleet.now)
    assert not registry.brittle_targets.can_check(state, fleet.now)


def test_a_pool_is_lost_when_all_targets_with_a_quota_fail():
    """Guards against a loss that is never noticed since most targets may not be checked."""
    fleet = Fleet(4, 2, 0.0, targets=8)
    registry = fleet.registries["m0"]
    states = registry.targets_in_pool("p")
    usable = [s for s in states if registry.brittle_targets.has_quota(s, fleet.now)]
    assert 2 <= len(usable) < len(states)
    for state in usable:
        assert not registry.reachability.is_lost("p")
        registry.reachability.record_failure(
            "p", state.record.identity, ContactFailure.UNREACHABLE, fleet.now
        )
    assert registry.reachability.is_lost("p")


def test_a_brittle_target_whose_health_checks_hang_gets_requests_again():
    fleet = Fleet(1, 4, 0.0, targets=2)
    (registry,) = fleet.registries.values()
    first, _ = registry.targets_in_pool("p")
    registry.brittle_targets.record_failure(first, fleet.now)
    for _ in range(6):
        identity = first.record.identity
        registry.reachability.record_failure("p", identity, ContactFailure.SILENT, fleet.now)
        assert not registry.brittle_targets.can_send(first, fleet.now)
        fleet.now += 0.5
    assert registry.brittle_targets.can_send(first, fleet.now)


def test_a_lost_pool_whose_failed_targets_are_gone_has_quotas():
    """Whether the pool is lost depends on the quotas then, and they on whether it is lost."""
    fleet = Fleet(4, 2, 0.0, targets=8)
    registry = fleet.registries["m0"]
    for state in registry.targets_in_pool("p"):
        registry.reachability.record_failure(
            "p", state.record.identity, ContactFailure.UNREACHABLE, fleet.now
        )
    assert registry.reachability.is_lost("p")
    registry.replace_all([TargetRecord(f"n{number}", "p", "h", 1, slots=2) for number in range(8)])
    fleet.now += 5.0
    identities = [state.record.identity for state in registry.targets_in_pool("p")]
    for identity in identities:
        registry.brittle_limits.record_answer(identity, 0.0, fleet.now)
    registry.reachability.record_failure("p", identities[0], ContactFailure.UNREACHABLE, fleet.now)
    assert isinstance(registry.reachability.is_lost("p"), bool)
    state = registry.targets_in_pool("p")[-1]
    assert isinstance(registry.brittle_targets.has_quota(state, fleet.now), bool)
