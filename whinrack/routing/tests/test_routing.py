"""Tests of routing programs, pickers, queues, concurrency limits and ejection."""

import pytest
from returns.result import Failure, Success

from whinrack.exceptions import DeadlineUnreachable, PolicyFailure, QueueFull
from whinrack.objects import RequestClass, Target, TargetPool, TargetState
from whinrack.routing import (
    AffinityPicker,
    LoadReport,
    LocalEjection,
    MajorityEjection,
    PickQuery,
    PoolFacts,
    PoolQueue,
    PoolState,
    QueuedRequest,
    RandomPicker,
    RequestFacts,
    RoutingProgram,
    Spread,
    TargetView,
    TwoChoicesPicker,
)

FACTS = RequestFacts(workspace="w", request_class=RequestClass.DEFERRABLE, prompt_bytes=10)
POOLS = {"fast": PoolFacts(targets=1), "slow": PoolFacts(targets=2)}
INTERACTIVE = PickQuery(request_class=RequestClass.INTERACTIVE)


def make_target(name, limit=4, state=TargetState.ACTIVE):
    spec = Target(pool="p", address="127.0.0.1:1", max_concurrency=limit, state=state)
    return TargetView(name, spec, LocalEjection(failure_threshold=2))


def make_pool(count=2, limit=4):
    state = PoolState("p", TargetPool(models=("m",)), seed=1)
    for index in range(count):
        state.add(make_target(f"t{index}", limit))
    return state


def make_request(request_class=RequestClass.INTERACTIVE, deadline=100.0):
    return QueuedRequest(request_class, deadline, lambda: None)


# --- programs ------------------------------------------------------------------------


def test_a_program_decides_on_the_facts_of_a_request():
    program = RoutingProgram(
        '{"pools": request.class == "deferrable" ? ["slow", "gone"] : ["fast"],'
        ' "wait": 3, "spread": "affinity", "class": "interactive"}'
    )
    decision = program.decide(FACTS, POOLS).unwrap()
    assert decision.pools == ("slow",)
    assert (decision.wait, decision.spread) == (3.0, Spread.AFFINITY)
    assert decision.request_class is RequestClass.INTERACTIVE


@pytest.mark.parametrize(
    "source",
    [
        "1",
        '{"pools": ["gone"]}',
        '{"attempts": 99}',
        '{"wait": -1}',
        '{"wait": 0.0 / 0.0}',
        '{"spread": "all"}',
        '{"typo": 1}',
        "request.nothing",
        '{"pools": 3}',
    ],
)
def test_an_invalid_decision_is_a_policy_failure(source):
    result = RoutingProgram(source).decide(FACTS, POOLS)
    assert isinstance(result.failure(), PolicyFailure)


@pytest.mark.parametrize("source", ["1 +", "x" * 10_000])
def test_a_program_that_does_not_compile_is_rejected(source):
    with pytest.raises(PolicyFailure):
        RoutingProgram(source)


# --- targets and pickers -------------------------------------------------------------


def test_own_requests_count_at_once_and_old_reports_are_discounted():
    target = make_target("t")
    target.report = LoadReport(running=4, waiting=0, received_at=0.0, own_in_flight=0)
    target.begin_request()
    assert target.estimate_load(0.0) == 5.0
    assert target.estimate_load(2.0) == 3.0


def test_a_target_that_any_source_reports_as_leaving_accepts_no_work():
    declared = make_target("t", state=TargetState.LEAVING)
    listed = make_target("u")
    listed.is_instance_leaving = True
    assert not declared.accepts_work(0.0)
    assert not listed.accepts_work(0.0)


def test_a_target_accepts_no_work_until_its_longest_back_off_ends():
    target = make_target("t")
    target.start_backoff(3.0, now=10.0)
    target.start_backoff(1.0, now=11.0)
    assert not target.accepts_work(12.9)
    assert target.accepts_work(13.0)
    target.start_backoff(1e12, now=20.0)
    assert target.accepts_work(20.0 + 3600.0)


def test_concurrency_limit_falls_on_overload_and_recovers():
    target = make_target("t", limit=8)
    for _ in range(4):
        target.begin_request()
    target.record_overload()
    assert target.concurrency_limit == pytest.approx(3.5)
    for _ in range(100):
        target.record_success(0.0)
    assert target.concurrency_limit == 8.0


@pytest.mark.parametrize(
    "picker", [RandomPicker(1), TwoChoicesPicker(1), AffinityPicker(RandomPicker(1))]
)
def test_every_picker_chooses_a_given_target_or_none(picker):
    targets = [make_target("a"), make_target("b")]
    assert picker.pick(targets, "key", 0.0) in targets
    assert picker.pick([], "key", 0.0) is None


def test_two_choices_balance_load_better_than_random_choice():
    spreads = {}
    for picker in (RandomPicker(1), TwoChoicesPicker(1)):
        targets = [make_target(f"t{index}", limit=100) for index in range(10)]
        for _ in range(500):
            picker.pick(targets, "", 0.0).begin_request()
        loads = [target.in_flight for target in targets]
        spreads[type(picker)] = max(loads) - min(loads)
    assert spreads[TwoChoicesPicker] * 3 < spreads[RandomPicker]


def test_affinity_keeps_a_target_until_its_load_exceeds_the_bound():
    targets = [make_target(f"t{index}", limit=100) for index in range(5)]
    picker = AffinityPicker(TwoChoicesPicker(1))
    first = picker.pick(targets, "prefix", 0.0)
    assert picker.pick(targets, "prefix", 0.0) is first
    for _ in range(50):
        first.begin_request()
    assert picker.pick(targets, "prefix", 0.0) is not first


# --- ejection ------------------------------------------------------------------------


def test_ejection_lasts_longer_each_time_and_resets_with_an_answer():
    policy = LocalEjection(failure_threshold=2, initial_seconds=1.0)
    for now in (0.0, 0.1, 1.2):
        policy.record_failure(now)
    assert policy.is_ejected(3.1)
    assert not policy.is_ejected(3.3)
    policy.record_success(3.3)
    policy.record_failure(3.4)
    assert not policy.is_ejected(3.4)


@pytest.mark.parametrize(("failing", "ejected"), [(0, False), (3, True)])
def test_majority_ejection_needs_most_peers_to_see_failures(failing, ejected):
    policy = MajorityEjection(LocalEjection(failure_threshold=1), lambda now: (failing, 4))
    policy.record_failure(0.0)
    assert policy.is_ejected(0.1) is ejected


# --- queues --------------------------------------------------------------------------


def test_order_is_by_class_then_deadline_and_urgent_deferrable_work_advances():
    queue = PoolQueue(limit=10)
    late = make_request(RequestClass.DEFERRABLE, deadline=100.0)
    soon = make_request(RequestClass.INTERACTIVE, deadline=50.0)
    later = make_request(RequestClass.INTERACTIVE, deadline=60.0)
    alert = make_request(RequestClass.ALERT, deadline=90.0)
    for request in (late, later, soon, alert):
        queue.enqueue(request, slots=4, now=0.0)
    order = []
    while len(queue):
        first = queue.peek(0.0)
        order.append(first)
        queue.remove(first)
    assert order == [alert, soon, later, late]
    queue.enqueue(late, slots=4, now=0.0)
    queue.enqueue(make_request(deadline=150.0), slots=4, now=99.0)
    assert queue.peek(99.0) is late


def test_a_request_that_would_miss_its_deadline_is_refused_with_retry_after():
    queue = PoolQueue(limit=100)
    queue.service_time = 2.0
    for _ in range(5):
        assert isinstance(queue.enqueue(make_request(), slots=1, now=0.0), Success)
    refusal = queue.enqueue(make_request(deadline=5.0), slots=1, now=0.0).failure()
    assert isinstance(refusal, DeadlineUnreachable)
    assert refusal.retry_after == pytest.approx(12.0)


def test_a_full_queue_displaces_deferrable_work_for_urgent_work():
    queue = PoolQueue(limit=2)
    woken = []
    last = QueuedRequest(RequestClass.DEFERRABLE, 100.0, lambda: woken.append(1))
    queue.enqueue(make_request(RequestClass.DEFERRABLE, 90.0), slots=8, now=0.0)
    queue.enqueue(last, slots=8, now=0.0)
    assert isinstance(
        queue.enqueue(make_request(RequestClass.DEFERRABLE), slots=8, now=0.0), Failure
    )
    assert isinstance(queue.enqueue(make_request(), slots=8, now=0.0), Success)
    assert isinstance(last.refusal, QueueFull)
    assert woken == [1]


# --- pools ---------------------------------------------------------------------------


def test_deferrable_work_leaves_room_for_interactive_work():
    state = make_pool(count=2, limit=4)
    deferrable = PickQuery(request_class=RequestClass.DEFERRABLE)
    placed = 0
    while state.pick(deferrable, 0.0) is not None:
        placed += 1
    assert placed == 6
    assert state.pick(INTERACTIVE, 0.0) is not None


def test_another_attempt_avoids_the_target_that_failed():
    state = make_pool(count=2)
    query = PickQuery(request_class=RequestClass.INTERACTIVE, avoided_targets=("t0",))
    assert {state.pick(query, 0.0).name for _ in range(4)} == {"t1"}


def test_facts_do_not_grow_with_the_targets():
    small, large = make_pool(2).facts(0.0), make_pool(200).facts(0.0)
    assert type(small) is type(large)
    assert large.targets == 200
