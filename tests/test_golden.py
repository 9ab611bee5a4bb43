"""Compare transcripts of sessions with golden files, byte for byte.

``WHINRACK_REGENERATE=1`` rewrites the files; review the diff before committing it.
"""

import os
import pathlib
import re

import pytest

from tests.sessions import SESSIONS
from tests.support import start_fleet, wait_until

GOLDEN = pathlib.Path(__file__).parent / "golden"


def assert_matches_golden(name, text):
    path = GOLDEN / f"{name}.txt"
    if os.environ.get("WHINRACK_REGENERATE"):
        path.write_text(text)
    assert path.read_text() == text


@pytest.mark.parametrize("name", SESSIONS)
def test_decisions_match_the_golden_file(name):
    text = SESSIONS[name]()
    assert SESSIONS[name]() == text
    assert_matches_golden(name, text)


def format_answer(answer):
    """Format an answer without the headers and identifiers that differ between runs."""
    kept = ("content-type", "whinrack", "retry-after", "x-should-retry", "x-service")
    headers = [
        f"{name}: {value}"
        for name, value in sorted(answer.headers.items())
        if name.lower().startswith(kept)
    ]
    body = re.sub(r"[0-9a-f]{32}|anon-[0-9a-f]+", "ID", answer.data.decode())
    return "\n".join([str(answer.status), *headers, "", body, ""])


def test_a_session_with_processes_matches_the_golden_file():
    lines = []

    def record(title, answer):
        lines.append(f"--- {title}\n{format_answer(answer)}")

    with start_fleet(routers=2, budget=1000) as fleet:
        first, second = fleet.routers
        caller = fleet.caller
        usage = {"stream": True, "stream_options": {"include_usage": True}}
        record("a stream", caller.stream(first, text="why flaky", max_tokens=3))
        record("a stream with usage", caller.chat(first, text="a b", max_tokens=2, fields=usage))
        record("a non-streamed answer", caller.chat(first, text="tag this", max_tokens=3))
        record("an idempotency key", caller.chat(first, text="file this", max_tokens=2, key="k1"))
        record(
            "the same key at another router",
            caller.chat(second, text="file this", max_tokens=2, key="k1"),
        )
        record("the key with another body", caller.chat(second, text="no", max_tokens=2, key="k1"))
        record("a request that is not repeatable", caller.post(first, key="k2", repeatable="no"))
        record("the same request at another router", caller.post(second, key="k2", repeatable="no"))
        record("models", first.call("GET", "/v1/models", headers=caller.headers()))
        record("no API key", first.call("POST", "/v1/chat/completions", {}))
        record("a negative max_tokens", caller.chat(first, max_tokens=-1))
        record("an unknown model", caller.chat(first, fields={"model": "none"}))
        record(
            "a request larger than the budget", caller.chat(first, text="x" * 2000, max_tokens=3)
        )
        fleet.targets["e1"].set_faults(busy=True)
        record("an overloaded target", caller.chat(first, text="busy", max_tokens=3))
        fleet.targets["e1"].set_faults(busy=False, foreign_id=True)
        record("an answer to another request", caller.stream(first, text="foreign", max_tokens=3))
        fleet.targets["e1"].set_faults(foreign_id=False)
        fleet.platform.set_faults(down=True)
        record(
            "a request that is not repeatable, without platform",
            caller.post(first, key="k3", repeatable="no"),
        )
        fleet.platform.set_faults(down=False)
        wait_until(lambda: not fleet.status(first)["grants"][0]["unreported"])
        lines.append("--- the bill\n" + fleet.run_cli("bill").stdout)
    assert_matches_golden("processes", "\n".join(lines))
