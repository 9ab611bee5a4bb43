"""Leaving targets soon get no new requests; planned stops interrupt no request."""

import threading
import time

import pytest
import urllib3

from tests.support import (
    expected_text,
    read_budget,
    start_fleet,
    stream_text,
    wait_until,
)

MAX_SECONDS_TO_LAST_START = 3.0


class Load:
    """Threads that send requests to the addresses listed by ``/v1/entry``."""

    def __init__(self, fleet, threads=6, max_tokens=20):
        self.fleet = fleet
        self.max_tokens = max_tokens
        self.stopping = threading.Event()
        self.failures = []
        self.answered = 0
        self.threads = [threading.Thread(target=self._run, args=(i,)) for i in range(threads)]
        for thread in self.threads:
            thread.start()

    def _run(self, index):
        number = 0
        while not self.stopping.is_set():
            router = self._router(index + number)
            number += 1
            text = f"load {index} {number}"
            try:
                answer = self.fleet.caller.stream(router, text=text, max_tokens=self.max_tokens)
                assert stream_text(answer) == expected_text(text, self.max_tokens)
                self.answered += 1
            except Exception as error:
                self.failures.append(error)

    def _router(self, number):
        """Choose one of the addresses that a running router lists as entry points."""
        serving = [router for router in self.fleet.routers if router.is_running]
        by_address = {router.address: router for router in serving}
        try:
            entry = serving[number % len(serving)].json("GET", "/v1/entry")
        except urllib3.exceptions.HTTPError:
            # The router has just stopped, so ask the next one.
            return self._router(number + 1)
        listed = [by_address[a] for a in entry["addresses"] if a in by_address]
        return listed[number % len(listed)]

    def stop_sending(self):
        self.stopping.set()
        for thread in self.threads:
            thread.join()


@pytest.fixture
def fleet():
    with start_fleet(engines=("e1", "e2"), settings={"stop": {"linger": "1.5"}}) as started:
        for name in ("e1", "e2"):
            started.targets[name].set_faults(token_delay=0.01)
        yield started


def start_count(fleet, name):
    return len(fleet.targets[name].list_starts())


def seconds_until_last_start(fleet, name, watched=5.0):
    """Return the seconds from now until the last request that a target starts."""
    began = last = time.monotonic()
    count = start_count(fleet, name)
    while time.monotonic() - began < watched:
        time.sleep(0.05)
        now = start_count(fleet, name)
        if now != count:
            count, last = now, time.monotonic()
    return last - began


def drain_instance(fleet):
    assert fleet.run_cli("instance", "drain", "i-e1").returncode == 0


def list_as_leaving(fleet):
    fleet.register_target_instance("i-e1", "leaving")


@pytest.mark.parametrize("announce", [drain_instance, list_as_leaving])
def test_a_leaving_target_gets_no_new_requests_and_completes_its_own(fleet, announce):
    load = Load(fleet)
    wait_until(lambda: start_count(fleet, "e1") > 5)
    announce(fleet)
    seconds = seconds_until_last_start(fleet, "e1")
    wait_until(lambda: fleet.targets["e1"].json("GET", "/load")["running"] == 0)
    fleet.targets["e1"].stop()
    answered = load.answered
    wait_until(lambda: load.answered > answered + 10)
    load.stop_sending()
    assert load.failures == []
    assert seconds < MAX_SECONDS_TO_LAST_START
    assert start_count(fleet, "e2") > 5


def test_the_target_object_suffices_while_the_list_lags(fleet):
    fleet.platform.set_faults(list_lag=10.0)
    load = Load(fleet)
    wait_until(lambda: start_count(fleet, "e1") > 5)
    drain_instance(fleet)
    fleet.register_target_instance("i-e1", "leaving")
    seconds = seconds_until_last_start(fleet, "e1")
    load.stop_sending()
    assert load.failures == []
    assert seconds < MAX_SECONDS_TO_LAST_START


def test_a_rolling_restart_interrupts_no_request_and_loses_no_token(fleet):
    load = Load(fleet)
    wait_until(lambda: load.answered > 10)
    for index in range(3):
        fleet.start_router(f"new-{index + 1}")
        fleet.wait_for_members()
        fleet.wait_for_config()
        assert fleet.routers[index].stop() == 0
    load.stop_sending()
    assert load.failures == []
    for router in fleet.routers[3:]:
        assert router.stop() == 0
    books = read_budget(fleet)
    assert books["outstanding"] == books["unproven"] == 0
    served = sum(
        row["tokens"] for name in ("e1", "e2") for row in fleet.targets[name].list_starts()
    )
    assert books["billed"] == served


def test_a_leaving_router_is_not_listed_as_entry_point_and_keeps_serving(fleet):
    leaving = fleet.routers[0]
    stopper = threading.Thread(target=leaving.stop)
    stopper.start()
    wait_until(lambda: leaving.call("GET", "/readyz").status == 503)
    assert fleet.caller.chat(leaving).status == 200
    wait_until(
        lambda: all(
            leaving.address not in router.json("GET", "/v1/entry")["addresses"]
            for router in fleet.routers[1:]
        )
    )
    stopper.join()
