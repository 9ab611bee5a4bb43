"""Whole sessions against golden files, byte for byte.

``WHINRACK_REGENERATE=1`` writes the files anew; read the difference before committing it.
"""

import os
import pathlib
import re

import pytest

from tests.sessions import SESSIONS
from tests.support import start_fleet, wait_until

GOLDEN = pathlib.Path(__file__).parent / "golden"


def compare(name, text):
    path = GOLDEN / f"{name}.txt"
    if os.environ.get("WHINRACK_REGENERATE"):
        path.write_text(text)
    assert path.read_text() == text


@pytest.mark.parametrize("name", SESSIONS)
def test_decisions_are_the_same_to_the_byte(name):
    text = SESSIONS[name]()
    assert SESSIONS[name]() == text
    compare(name, text)


def transcript(answer):
    """Write an answer down, without what differs from run to run."""
    kept = ("content-type", "whinrack", "retry-after", "x-should-retry", "x-service")
    headers = [
        f"{name}: {value}"
        for name, value in sorted(answer.headers.items())
        if name.lower().startswith(kept)
    ]
    body = re.sub(r"[0-9a-f]{32}|anon-[0-9a-f]+", "ID", answer.data.decode())
    return "\n".join([str(answer.status), *headers, "", body, ""])


def test_a_whole_session_with_processes_reads_the_same():
    lines = []

    def note(title, answer):
        lines.append(f"--- {title}\n{transcript(answer)}")

    with start_fleet(routers=2, budget=1000) as fleet:
        one, two = fleet.routers
        caller = fleet.caller
        usage = {"stream": True, "stream_options": {"include_usage": True}}
        note("a stream", caller.stream(one, text="why flaky", max_tokens=3))
        note("a stream with usage", caller.chat(one, text="a b", max_tokens=2, fields=usage))
        note("a whole answer", caller.chat(one, text="tag this", max_tokens=3))
        note("a key", caller.chat(one, text="file this", max_tokens=2, key="k1"))
        note("the same key elsewhere", caller.chat(two, text="file this", max_tokens=2, key="k1"))
        note("the key with another body", caller.chat(two, text="no", max_tokens=2, key="k1"))
        note("an alert", caller.post(one, key="k2", repeatable="no"))
        note("the alert again", caller.post(two, key="k2", repeatable="no"))
        note("models", one.call("GET", "/v1/models", headers=caller.headers()))
        note("no key", one.call("POST", "/v1/chat/completions", {}))
        note("an absurd limit", caller.chat(one, max_tokens=-1))
        note("an unknown model", caller.chat(one, fields={"model": "none"}))
        note("too much for the budget", caller.chat(one, text="x" * 2000, max_tokens=3))
        fleet.targets["e1"].fault(busy=True)
        note("a busy target", caller.chat(one, text="busy", max_tokens=3))
        fleet.targets["e1"].fault(busy=False, foreign_id=True)
        note("a foreign answer", caller.stream(one, text="foreign", max_tokens=3))
        fleet.targets["e1"].fault(foreign_id=False)
        fleet.platform.fault(down=True)
        note("an alert without platform", caller.post(one, key="k3", repeatable="no"))
        fleet.platform.fault(down=False)
        wait_until(lambda: not fleet.status(one)["grants"][0]["unreported"])
        lines.append("--- the bill\n" + fleet.whinrack("bill").stdout)
    compare("processes", "\n".join(lines))
