"""Start a fleet of separate processes and operate it with the command line.

Run it with ``make demo``.
"""

import json
import pathlib
import shutil
import sys
import time

import urllib3

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))

from standins.fleet import LocalFleet, wait_until  # noqa: E402

DECLARATIONS = pathlib.Path(__file__).parent / "declarations"
TARGET = """kind = "Target"
name = "{name}"

[spec]
pool = "{pool}"
address = "{address}"
instance = "{name}"
max_concurrency = 8
"""


def print_heading(title):
    print(f"\n== {title}")


def declare(fleet):
    """Copy the declarations, add targets and keys, and apply them.

    Returns the folder of the declarations and the keys.
    """
    folder = fleet.folder / "declarations"
    shutil.copytree(DECLARATIONS, folder)
    for name, process in fleet.targets.items():
        pool = "noticeboard" if name.startswith("board") else "small"
        text = TARGET.format(name=name, pool=pool, address=process.address)
        (folder / f"target-{name}.toml").write_text(text)
    keys = {}
    for name, budget, workspace in [
        ("bench", "clachan", "clachan"),
        ("tiny", "tiny", "hverfatafla"),
    ]:
        options = ["--workspace", workspace, "--budget", budget]
        path = folder / f"key-{name}.toml"
        keys[name] = fleet.run_cli(
            "key", "create", name, *options, "--declaration", path
        ).stdout.strip()
    print(fleet.run_cli("apply", folder).stdout)
    return folder, keys


def chat(router, key, text, **fields):
    body = {
        "model": "small-chat",
        "messages": [{"role": "user", "content": text}],
        "max_tokens": 12,
        **fields,
    }
    headers = {"Authorization": f"Bearer {key}", "Content-Type": "application/json"}
    return router.call("POST", "/v1/chat/completions", body, headers)


def main():
    started_at = time.monotonic()
    with LocalFleet() as fleet:
        print_heading("starting a platform, two engines, one service and three routers")
        fleet.start_platform()
        fleet.start_engine("engine-1", "--token-delay", "0.01")
        fleet.start_engine("engine-2", "--token-delay", "0.01")
        fleet.start_service("board-1")
        routers = fleet.start_routers()
        folder, keys = declare(fleet)
        fleet.wait_for_config()

        print_heading("entry points")
        print(json.dumps(routers[0].json("GET", "/v1/entry")))

        print_heading("a streamed completion")
        answer = chat(routers[0], keys["bench"], "why is this test flaky", stream=True)
        print(answer.status, dict(answer.headers))
        print(answer.data.decode()[:400], "...")
        assert answer.data.endswith(b"data: [DONE]\n\n")

        print_heading(
            "a service request that is not repeatable, sent twice with one idempotency key"
        )
        headers = {
            "Authorization": f"Bearer {keys['bench']}",
            "Idempotency-Key": "notice-1",
            "Whinrack-Repeatable": "no",
        }
        for router in routers[:2]:
            reply = router.call("POST", "/services/noticeboard/notices", {"a": 1}, headers)
            print(reply.status, reply.headers.get("Whinrack-Joined", "first"), reply.data.decode())
        assert len(fleet.targets["board-1"].list_starts()) == 1

        print_heading("a policy change, in force at all three routers")
        program = (folder / "daytime.cel").read_text().replace(": 2,", ": 1,")
        (folder / "daytime.cel").write_text(program)
        print(fleet.run_cli("apply", folder, "--output", "text").stdout)
        fleet.wait_for_config()
        print(fleet.run_cli("status").stdout)

        print_heading("a small budget is exhausted")
        statuses = []
        for number in range(60):
            reply = chat(routers[number % 3], keys["tiny"], f"tag {number}")
            statuses.append(reply.status)
            if reply.status == 402:
                break
        print(statuses)
        print(json.dumps(json.loads(reply.data)))
        assert reply.status == 402

        print_heading("budget, bill and counters")
        wait_until(lambda: not has_unreported_tokens(fleet), description="reports to be stored")
        print(fleet.run_cli("budget", "show", "tiny").stdout)
        print(fleet.run_cli("bill").stdout)
        for name, value in sorted(fleet.nonzero_metrics(routers[0]).items()):
            if "bucket" not in name and "_sum" not in name:
                print(f"{name} {value:g}")

        print_heading("planned stop")
        for router in routers:
            code = router.stop()
            print(router.name, "exit code", code)
            assert code == 0
        print(fleet.run_cli("budget", "show", "clachan").stdout)
    print(f"done in {time.monotonic() - started_at:.1f} s")


def has_unreported_tokens(fleet):
    """Return whether any router has settled tokens that are not yet reported."""
    try:
        return any(
            grant["unreported"]
            for router in fleet.routers
            for grant in fleet.status(router)["grants"]
        )
    except urllib3.exceptions.HTTPError:
        return True


if __name__ == "__main__":
    main()
