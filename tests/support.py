"""Fleets, declarations and callers for the tests that start processes."""

import json
import threading

import pytest

from standins.fleet import FLEET_KEY, LocalFleet, wait_until
from whinrack.objects import make_key

__all__ = [
    "FLEET_KEY",
    "Caller",
    "declare_objects",
    "read_budget",
    "run_in_parallel",
    "start_fleet",
    "stream_text",
    "wait_until",
]

FAST_SETTINGS = {
    "membership": {"heartbeat_interval": "0.2", "suspect_after": "1.0", "list_interval": "0.3"},
    "budgets": {"check_interval": "0.3", "report_after": "0", "horizon": "5", "gather_wait": "0.3"},
    "journal": {"commit_interval": "0.02"},
    "peer": {"timeout": "0.5"},
}


class Caller:
    """A client that sends requests with one API key."""

    def __init__(self, bearer):
        self.bearer = bearer

    def headers(self, **values):
        """Return request headers, given by the short names below."""
        names = {
            "key": "Idempotency-Key",
            "ticket": "Whinrack-Ticket",
            "repeatable": "Whinrack-Repeatable",
            "deadline": "Whinrack-Deadline",
            "kind": "Whinrack-Class",
        }
        fields = {names[name]: value for name, value in values.items()}
        return {"Authorization": f"Bearer {self.bearer}", **fields}

    def chat(self, router, text="one two three", max_tokens=10, fields=None, **headers):
        """Send a chat completion request and return the answer with its complete body."""
        body = {
            "model": "m",
            "messages": [{"role": "user", "content": text}],
            "max_tokens": max_tokens,
            **(fields or {}),
        }
        return router.call("POST", "/v1/chat/completions", body, self.headers(**headers))

    def stream(self, router, **options):
        """Send a chat completion request for a streamed answer."""
        return self.chat(router, fields={"stream": True}, **options)

    def post(self, router, path="/services/board/notices", value=None, **headers):
        """Send a request to the service pool `board`."""
        return router.call("POST", path, value or {"text": "hi"}, self.headers(**headers))


def start_fleet(
    routers=3, engines=("e1",), services=("s1",), budget=100_000, settings=None, **fleet_options
):
    """Start a fleet with one workspace `w`, budget `b`, pools `chat` and `board`."""
    merged = {name: dict(values) for name, values in FAST_SETTINGS.items()}
    for section, values in (settings or {}).items():
        merged.setdefault(section, {}).update(values)
    fleet = LocalFleet(settings=merged, **fleet_options)
    try:
        fleet.start_platform()
        for name in engines:
            fleet.start_engine(name)
        for name in services:
            fleet.start_service(name)
        fleet.caller = declare_objects(fleet, budget)
        fleet.start_routers(routers)
        fleet.wait_for_config()
    except BaseException:
        fleet.__exit__()
        raise
    return fleet


def declare_objects(fleet, budget):
    """Create the objects of a small fleet and return a caller with its API key."""
    bearer, key = make_key("k", "w", "b")
    fleet.put_object("Workspace", "w", {})
    fleet.put_object("TargetPool", "chat", {"models": ["m"], "max_output_tokens": 2000})
    fleet.put_object("TargetPool", "board", {"protocol": "service", "repeatable": True})
    fleet.put_object("Budget", "b", {"workspace": "w", "account": "account-0001"})
    fleet.run_cli("budget", "topup", "b", budget, "--id", "first")
    for name, process in fleet.targets.items():
        pool = "board" if name.startswith("s") else "chat"
        declare_target(fleet, name, pool, process)
    spec = {field: getattr(key, field) for field in key.__struct_fields__}
    fleet.put_object("ApiKey", "k", spec)
    return Caller(bearer)


def declare_target(fleet, name, pool, process, **fields):
    """Create or replace the object of a target."""
    spec = {"pool": pool, "address": process.address, "instance": f"i-{name}", **fields}
    fleet.put_object("Target", name, spec)


def read_budget(fleet, name="b"):
    """Return the output of `whinrack budget show` for a budget."""
    return json.loads(fleet.run_cli("budget", "show", name, "--output", "json").stdout)


def read_bill(fleet):
    """Return the bill of workspace `w`, or None if nothing was billed."""
    return json.loads(fleet.run_cli("bill", "--output", "json").stdout).get("w")


def stream_text(answer):
    """Return the text of a stream, and fail if the stream is incomplete or was never answered."""
    if isinstance(answer, Exception):
        raise answer
    data = answer.data if hasattr(answer, "data") else answer
    assert data.endswith(b"data: [DONE]\n\n"), data[-300:]
    words = []
    for event in data.decode().split("\n\n"):
        if event.startswith("data: {"):
            for choice in json.loads(event[6:])["choices"]:
                words.append(choice["delta"].get("content", ""))
    return "".join(words)


def expected_text(prompt, count):
    """Return the text that the engine stand-in generates."""
    words = prompt.split()
    return "".join(f"{words[index % len(words)]}-{index} " for index in range(count))


def run_in_parallel(*functions):
    """Run functions in threads and return their results or exceptions in order."""
    results = [None] * len(functions)

    def run(index, function):
        try:
            results[index] = function()
        except Exception as error:
            results[index] = error

    threads = [threading.Thread(target=run, args=item) for item in enumerate(functions)]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    return results


def make_fleet_fixture(**options):
    """Return a module-scoped fixture that starts a fleet."""

    @pytest.fixture(scope="module")
    def fleet():
        with start_fleet(**options) as started:
            yield started

    return fleet


@pytest.fixture
def reset_faults(fleet):
    """Reset the faults of all stand-ins after a test."""
    yield
    fleet.platform.set_faults(down=False, delay=0.0, lose_replies=0, watch_lag=0.0, list_lag=0.0)
    for name, process in fleet.targets.items():
        if name.startswith("s"):
            process.set_faults(delay=0.0, status=200, cut=False)
        else:
            process.set_faults(
                token_delay=0.0,
                first_delay=0.0,
                cut_after=-1,
                foreign_id=False,
                busy=False,
                rest="",
                leaving=False,
                overrun=0,
                duplicate=False,
                silent_usage=False,
                stop_at=-1,
            )
