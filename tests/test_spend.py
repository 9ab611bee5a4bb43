"""Spend never exceeds the prepaid budget, by the tokens that the engines count themselves."""

import threading
import time

import pytest

from tests.support import read_budget, run_in_parallel, start_fleet, wait_until

BUDGET = 4000
# Seconds within which the budget is exhausted even on a slow machine, and seconds between checks.
_REFUSAL_SECONDS = 60.0
_ROUND_SECONDS = 0.5


def generated_tokens(fleet):
    return sum(
        row["tokens"]
        for name, process in fleet.targets.items()
        if name.startswith("e")
        for row in process.list_starts()
    )


def assert_books_balance(fleet):
    books = read_budget(fleet)
    parts = books["billed"] + books["unproven"] + books["outstanding"] + books["free"]
    assert books["limit"] == parts
    return books


def send_requests(fleet, routers, seconds, statuses):
    """Send requests to the routers in turn for some seconds."""
    end = time.monotonic() + seconds
    number = 0
    while time.monotonic() < end:
        router = routers[number % len(routers)]
        number += 1
        try:
            answer = fleet.caller.stream(router, text="soak test triage", max_tokens=20)
            statuses.append(answer.status)
        except Exception as error:
            statuses.append(type(error).__name__)
            time.sleep(0.05)


def send_until_refused(fleet, statuses):
    """Send requests until one is refused; a busy machine used only 3,151 of 4,000 in 5 s."""
    end = time.monotonic() + _REFUSAL_SECONDS
    while not {402, 429} & set(statuses) and time.monotonic() < end:
        send_requests(fleet, fleet.routers, _ROUND_SECONDS, statuses)


def start_load(fleet, seconds, threads=8):
    statuses = []
    routers = fleet.routers
    workers = [
        threading.Thread(
            target=send_requests,
            args=(fleet, routers[index % 3 :] + routers[: index % 3], seconds, statuses),
        )
        for index in range(threads)
    ]
    for worker in workers:
        worker.start()
    return workers, statuses


def outage(fleet):
    fleet.platform.set_faults(down=True)
    time.sleep(1.0)
    fleet.platform.set_faults(down=False)


def lost_replies(fleet):
    for _ in range(5):
        fleet.platform.set_faults(lose_replies=3)
        time.sleep(0.2)


def frozen_holder(fleet):
    fleet.routers[1].pause()
    time.sleep(2.5)
    fleet.routers[1].resume()
    time.sleep(0.5)


def killed_holder(fleet):
    time.sleep(0.5)
    fleet.routers[2].kill()


def top_up_race(fleet):
    add = lambda: fleet.run_cli("budget", "topup", "b", 500, "--id", "more")  # noqa: E731
    run_in_parallel(add, add, add)


FAULTS = [outage, lost_replies, frozen_holder, killed_holder, top_up_race]


@pytest.mark.parametrize("fault", FAULTS)
def test_no_token_is_served_beyond_the_budget(fault):
    with start_fleet(budget=BUDGET, engines=("e1", "e2")) as fleet:
        for engine in fleet.targets.values():
            if engine.name.startswith("e"):
                engine.set_faults(token_delay=0.002)
        workers, statuses = start_load(fleet, seconds=5.0)
        time.sleep(0.4)
        fault(fleet)
        for worker in workers:
            worker.join()
        send_until_refused(fleet, statuses)
        for engine in ("e1", "e2"):
            wait_until(
                lambda engine=engine: fleet.targets[engine].json("GET", "/load")["running"] == 0
            )
        books = assert_books_balance(fleet)
        assert generated_tokens(fleet) <= books["limit"]
        assert statuses.count(200) > 20
        # A killed or late holder still holds tokens: budget_contended, not budget_exhausted.
        assert 402 in statuses or 429 in statuses


def test_partitioned_regions_spend_only_their_own_grants():
    """Two regions lose contact with each other and the platform, and serve from their grants."""
    halls = (("north", "a"), ("south", "b"))
    settings = {"budgets": {"horizon": "20"}}
    with start_fleet(
        routers=2, budget=3000, engines=("e1",), halls=halls, settings=settings
    ) as fleet:
        for _ in range(8):
            for router in fleet.routers:
                assert fleet.caller.stream(router, max_tokens=20).status == 200
        fleet.platform.set_faults(down=True)
        fleet.routers[1].pause()
        north = [fleet.caller.stream(fleet.routers[0], max_tokens=20).status for _ in range(30)]
        fleet.routers[1].resume()
        south = [fleet.caller.stream(fleet.routers[1], max_tokens=20).status for _ in range(30)]
        assert generated_tokens(fleet) <= 3000
        assert north.count(200) >= 5
        assert south.count(200) >= 5
        fleet.platform.set_faults(down=False)
        wait_until(lambda: read_budget(fleet)["billed"] == generated_tokens(fleet))
        assert_books_balance(fleet)


def test_tokens_of_a_killed_holder_stay_outstanding_until_an_operator_releases_them():
    with start_fleet(routers=2, budget=5000) as fleet:
        assert fleet.caller.stream(fleet.routers[1]).status == 200
        wait_until(lambda: any(h["billed"] for h in read_budget(fleet)["holders"]))
        held = fleet.status(fleet.routers[1])["incarnation"]
        fleet.routers[1].kill()
        books = assert_books_balance(fleet)
        row = next(row for row in books["holders"] if row["holder"] == held)
        assert row["outstanding"] > 0
        fleet.run_cli("budget", "release", "b", "--holder", held, "--served", 0, "--yes")
        after = assert_books_balance(fleet)
        assert after["free"] == books["free"] + row["outstanding"]


def test_a_planned_stop_loses_no_token():
    with start_fleet(routers=2, budget=5000) as fleet:
        for router in fleet.routers:
            assert fleet.caller.stream(router).status == 200
        for router in fleet.routers:
            assert router.stop() == 0
        books = assert_books_balance(fleet)
        assert books["outstanding"] == 0
        assert books["billed"] == generated_tokens(fleet)
