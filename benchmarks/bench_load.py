"""Overload: three routers receive twice the requests that their targets can serve.

Two engines serve 4 requests each at 0.2 s per request, 40 per second in total. The load is
20 interactive and 60 deferrable requests per second; deferrable ones have a deadline of 20 s.
"""

import threading
import time

import psutil

from benchmarks.report import percentile, print_heading, report
from tests.support import declare_target, start_fleet

TOKENS = 20
TOKEN_DELAY = 0.01
INTERACTIVE_RATE = 20.0
DEFERRABLE_RATE = 60.0
SECONDS = 15.0


class OpenLoop:
    """An open-loop load: requests at a fixed rate, whether or not earlier ones have ended."""

    def __init__(self, fleet, kind, rate, seconds, **headers):
        self.fleet = fleet
        self.kind = kind
        self.rate = rate
        self.seconds = seconds
        self.headers = headers
        self.answer_seconds, self.refused, self.refusal_seconds, self.failed = [], 0, [], 0
        self.without_retry_after = 0
        self._threads = []

    def run(self):
        """Send requests for the whole time and wait for every answer."""
        began = time.monotonic()
        for number in range(int(self.rate * self.seconds)):
            pause = began + number / self.rate - time.monotonic()
            if pause > 0:
                time.sleep(pause)
            thread = threading.Thread(target=self._send, args=(number,))
            thread.start()
            self._threads.append(thread)
        for thread in self._threads:
            thread.join()

    def _send(self, number):
        router = self.fleet.routers[number % len(self.fleet.routers)]
        began = time.monotonic()
        try:
            answer = self.fleet.caller.stream(
                router, max_tokens=TOKENS, kind=self.kind, **self.headers
            )
        except Exception:
            self.failed += 1
            return
        seconds = time.monotonic() - began
        if answer.status == 200:
            self.answer_seconds.append(seconds)
        elif answer.status in (429, 503):
            self.refused += 1
            self.refusal_seconds.append(seconds)
            self.without_retry_after += "Retry-After" not in answer.headers
        else:
            self.failed += 1


def report_load(load, phase):
    """Report the results of one load."""
    labels = {"phase": phase, "class": load.kind}
    if load.answer_seconds:
        report("answer_seconds", percentile(load.answer_seconds, 0.5), "s", at="median", **labels)
        report("answer_seconds", percentile(load.answer_seconds, 0.99), "s", at="99th", **labels)
    report("answered", len(load.answer_seconds), "requests", **labels)
    report("refused", load.refused, "requests", **labels)
    if load.refusal_seconds:
        report("refusal_seconds", percentile(load.refusal_seconds, 0.5), "s", at="median", **labels)
    report("refused_without_retry_after", load.without_retry_after, "requests", **labels)
    report("failed_otherwise", load.failed, "requests", **labels)


def main():
    """Measure interactive requests before, during and after an overload."""
    with start_fleet(routers=3, engines=("e1", "e2"), budget=10**9) as fleet:
        for name in ("e1", "e2"):
            fleet.targets[name].set_faults(token_delay=TOKEN_DELAY)
            declare_target(fleet, name, "chat", fleet.targets[name], max_concurrency=4)
        fleet.wait_for_config()
        print_heading("load: interactive requests only")
        alone = OpenLoop(fleet, "interactive", INTERACTIVE_RATE, 8.0)
        alone.run()
        report_load(alone, "alone")
        print_heading("load: twice the capacity")
        interactive = OpenLoop(fleet, "interactive", INTERACTIVE_RATE, SECONDS)
        deferrable = OpenLoop(fleet, "deferrable", DEFERRABLE_RATE, SECONDS, deadline="20")
        threads = [threading.Thread(target=load.run) for load in (interactive, deferrable)]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
        report_load(interactive, "overload")
        report_load(deferrable, "overload")
        print_heading("load: right after the overload")
        after = OpenLoop(fleet, "interactive", INTERACTIVE_RATE, 5.0)
        after.run()
        report_load(after, "after")
        memory = max(psutil.Process(r.popen.pid).memory_info().rss for r in fleet.routers)
        report("memory_after_overload", memory / 1e6, "MB")
        retries = sum(
            value
            for router in fleet.routers
            for name, value in fleet.nonzero_metrics(router).items()
            if name.startswith("whinrack_retries_total")
        )
        report("retries", retries, "requests")


if __name__ == "__main__":
    main()
