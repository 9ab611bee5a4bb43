"""Overhead of one router, compared with a direct connection to the same stand-in engine.

CPU time is that of the router process, as reported by the operating system.
"""

import http.client
import json
import threading
import time

import psutil

from benchmarks.report import percentile, print_heading, report
from tests.support import start_fleet

REQUESTS = 600
STREAMS = 50
TOKENS = 300
TOKEN_DELAY = 0.02
SETTINGS = {
    "journal": {"commit_interval": "0.05"},
    "budgets": {"check_interval": "2", "report_after": "10", "horizon": "600"},
}


class Client:
    """A persistent connection to a router or an engine."""

    def __init__(self, process, bearer=""):
        host, port = process.address.split(":")
        self.connection = http.client.HTTPConnection(host, int(port), timeout=60)
        self.headers = {"Content-Type": "application/json", "Authorization": f"Bearer {bearer}"}

    def chat(self, max_tokens, stream=False):
        """Send one request and return the seconds to the first byte of the body, and the body."""
        body = {
            "model": "m",
            "messages": [{"role": "user", "content": "log tag summary of a soak run"}],
            "max_tokens": max_tokens,
            "stream": stream,
        }
        began = time.perf_counter()
        self.connection.request(
            "POST", "/v1/chat/completions", json.dumps(body), headers=self.headers
        )
        answer = self.connection.getresponse()
        first = answer.read(1)
        seconds = time.perf_counter() - began
        return seconds, first + answer.read()


def cpu_seconds(process):
    """Return the CPU time that a process has used."""
    times = psutil.Process(process.popen.pid).cpu_times()
    return times.user + times.system


def run_in_threads(count, function):
    """Run a function in several threads and wait for all of them."""
    threads = [threading.Thread(target=function, args=(index,)) for index in range(count)]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()


def measure_first_token(fleet, router, engine):
    """Compare the time to the first byte through the router and directly, alternating them."""
    print_heading("router: time to the first byte of a stream")
    routed = Client(router, fleet.caller.bearer)
    direct = Client(engine)
    seconds = {"through": [], "direct": []}
    for number in range(REQUESTS // 2):
        for name, client in (("through", routed), ("direct", direct)):
            elapsed, body = client.chat(2, stream=True)
            assert body.endswith(b"data: [DONE]\n\n")
            if number >= 20:
                seconds[name].append(elapsed)
    for share, name in ((0.5, "median"), (0.99, "99th")):
        values = {key: 1000 * percentile(samples, share) for key, samples in seconds.items()}
        report("first_byte_direct", values["direct"], "ms", at=name)
        report("first_byte_through", values["through"], "ms", at=name)
        report("first_byte_added", values["through"] - values["direct"], "ms", at=name)


def measure_requests(fleet, router):
    """Measure CPU time per request and requests per second with non-streamed answers."""
    print_heading("router: non-streamed answers of one token")
    for clients in (1, 16):
        requests_per_client = REQUESTS // clients

        def run(_index, requests_per_client=requests_per_client):
            client = Client(router, fleet.caller.bearer)
            for _ in range(requests_per_client):
                client.chat(1)

        run_in_threads(clients, run)
        cpu, began = cpu_seconds(router), time.perf_counter()
        run_in_threads(clients, run)
        seconds = time.perf_counter() - began
        total = requests_per_client * clients
        report("cpu_per_request", 1000 * (cpu_seconds(router) - cpu) / total, "ms", clients=clients)
        report("requests_per_second", total / seconds, "per s", clients=clients)


def measure_tokens(fleet, router, engine):
    """Measure CPU time per relayed token with many open streams."""
    print_heading(f"router: {STREAMS} streams of {TOKENS} tokens at {1 / TOKEN_DELAY:g} per second")
    engine.set_faults(token_delay=TOKEN_DELAY)

    def run(_index):
        _, body = Client(router, fleet.caller.bearer).chat(TOKENS, stream=True)
        assert body.count(b'"content"') == TOKENS

    idle = idle_cpu_share(router)
    cpu, began = cpu_seconds(router), time.perf_counter()
    run_in_threads(STREAMS, run)
    seconds = time.perf_counter() - began
    used = cpu_seconds(router) - cpu
    tokens = STREAMS * TOKENS
    report("cpu_per_token", 1e6 * used / tokens, "us", streams=STREAMS)
    net = used - idle * seconds
    report("cpu_per_token_net_of_idle", 1e6 * net / tokens, "us", streams=STREAMS)
    report("tokens_per_second", tokens / seconds, "per s", streams=STREAMS)
    engine.set_faults(token_delay=0.0)


def idle_cpu_share(router):
    """Return the fraction of a core that an idle router uses."""
    cpu = cpu_seconds(router)
    time.sleep(4.0)
    return (cpu_seconds(router) - cpu) / 4.0


def main():
    """Measure one router."""
    with start_fleet(routers=1, budget=10**9, settings=SETTINGS) as fleet:
        router, engine = fleet.routers[0], fleet.targets["e1"]
        fleet.put_object("TargetPool", "chat", {"models": ["m"], "max_output_tokens": 2000})
        fleet.put_object(
            "Target",
            "e1",
            {"pool": "chat", "address": engine.address, "max_concurrency": 200},
        )
        fleet.wait_for_config()
        print_heading("router: idle")
        memory = psutil.Process(router.popen.pid).memory_info().rss
        report("memory_at_rest", memory / 1e6, "MB")
        report("cpu_at_rest", 100 * idle_cpu_share(router), "% of a core")
        measure_first_token(fleet, router, engine)
        measure_requests(fleet, router)
        measure_tokens(fleet, router, engine)
        memory = psutil.Process(router.popen.pid).memory_info().rss
        report("memory_after_load", memory / 1e6, "MB")


if __name__ == "__main__":
    main()
