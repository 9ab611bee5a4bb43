"""Eight routers: delay of leaving targets and configuration changes, and cost of idle fleets."""

import statistics
import threading
import time

import psutil

from benchmarks.report import fit_line, percentile, print_heading, report
from tests.support import start_fleet

ROUTERS = 8
CHANGES = 40
SETTINGS = {
    "membership": {"heartbeat_interval": "1", "suspect_after": "3.5", "list_interval": "2"},
    "budgets": {"check_interval": "2", "report_after": "10", "horizon": "600"},
    "journal": {"commit_interval": "0.05"},
    "peer": {"timeout": "1"},
}


class Load:
    """Threads that request short streams from all routers in turn."""

    def __init__(self, fleet, threads=8):
        self.fleet = fleet
        self.stopping = threading.Event()
        self.incomplete = 0
        self.threads = [threading.Thread(target=self._run, args=(i,)) for i in range(threads)]
        for thread in self.threads:
            thread.start()

    def _run(self, index):
        while not self.stopping.is_set():
            index += 1
            router = self.fleet.routers[index % ROUTERS]
            answer = self.fleet.caller.stream(router, max_tokens=5)
            self.incomplete += not answer.data.endswith(b"data: [DONE]\n\n")

    def stop_sending(self):
        """Stop sending and wait for the last answers."""
        self.stopping.set()
        for thread in self.threads:
            thread.join()


def seconds_until_last_start(fleet, name, watched, began=None):
    """Return the seconds from `began`, or now, until the last request that a target starts."""
    began = last = began or time.monotonic()
    count = len(fleet.targets[name].list_starts())
    while time.monotonic() - began < watched:
        time.sleep(0.02)
        now = len(fleet.targets[name].list_starts())
        if now != count:
            count, last = now, time.monotonic()
    return last - began


def measure_leaving(fleet):
    """Measure how soon a target drains by its object, and by the instance list alone."""
    print_heading("leaving: seconds until the last new start, 8 routers under load")
    load = Load(fleet)
    time.sleep(1.0)
    fleet.platform.set_faults(list_lag=10.0)
    fleet.register_target_instance("i-e1", "leaving")
    began = time.monotonic()
    address = fleet.targets["e1"].address
    spec = {"pool": "chat", "address": address, "instance": "i-e1", "state": "leaving"}
    fleet.put_object("Target", "e1", spec)
    seconds = seconds_until_last_start(fleet, "e1", 5.0, began)
    report("leaving_seconds", seconds, "s", by="object", list_lag=10)
    fleet.platform.set_faults(list_lag=0.0)
    fleet.register_target_instance("i-e2", "leaving")
    report(
        "leaving_seconds", seconds_until_last_start(fleet, "e2", 5.0), "s", by="list", list_lag=0
    )
    load.stop_sending()
    report("leaving_cut_requests", load.incomplete, "requests")


def measure_leaving_without_platform(fleet):
    """Measure draining when one router learns of it just before the platform fails."""
    print_heading("leaving with the platform down: routers learn of it from their peers")
    load = Load(fleet)
    time.sleep(0.5)
    fleet.register_target_instance("i-e3", "leaving")
    while not any(fleet.status(r)["leaving_targets"].count("e3") for r in fleet.routers):
        time.sleep(0.01)
    fleet.platform.set_faults(down=True)
    seconds = seconds_until_last_start(fleet, "e3", 5.0)
    report("leaving_seconds", seconds, "s", by="peers", platform="down")
    load.stop_sending()
    fleet.platform.set_faults(down=False)


def measure_configuration(fleet):
    """Change an object repeatedly and poll all routers until each change is in force."""
    print_heading("configuration: seconds until in force at 8 routers")
    seconds = []
    for number in range(CHANGES):
        value = {"weighting": ("false_refusals", "overspend")[number % 2]}
        version = fleet.put_object("Workspace", "w", value).json()["version"]
        began = time.monotonic()
        waiting = list(fleet.routers)
        while waiting:
            waiting = [r for r in waiting if fleet.status(r)["newest"] < version]
        seconds.append(time.monotonic() - began)
    report("configuration_seconds", statistics.median(seconds), "s", at="median")
    report("configuration_seconds", percentile(seconds, 0.99), "s", at="99th")


def measure_platform_calls(fleet):
    """Measure the platform calls of an idle fleet."""
    print_heading("platform calls of 8 idle routers")
    before = fleet.platform.json("GET", "/counts")
    time.sleep(10.0)
    after = fleet.platform.json("GET", "/counts")
    for name in sorted(after):
        rate = (after[name] - before.get(name, 0)) / 10.0
        if rate:
            report("idle_platform_calls", rate, "per s", operation=name)


def measure_idle(sizes=(1, 2, 4, 8)):
    """Measure CPU and memory of an idle daemon, by the number of daemons."""
    print_heading("idle daemon: CPU and memory by the size of the fleet")
    points = []
    for size in sizes:
        with start_fleet(routers=size, engines=("e1",), settings=SETTINGS) as fleet:
            process = psutil.Process(fleet.routers[0].popen.pid)
            time.sleep(3.0)
            before = sum(process.cpu_times()[:2])
            time.sleep(10.0)
            percent = 10.0 * (sum(process.cpu_times()[:2]) - before)
            points.append((size - 1, percent))
            report("idle_cpu", percent, "% of a core", routers=size)
            report("idle_memory", process.memory_info().rss / 1e6, "MB", routers=size)
    slope, intercept = fit_line(points)
    report("idle_cpu.slope", slope, "%/peer")
    report("idle_cpu.intercept", intercept, "% of a core")


def main():
    """Measure a fleet of eight routers."""
    measure_idle()
    halls = (("south", "a"), ("south", "b"), ("south", "c"))
    engines = ("e1", "e2", "e3", "e4")
    with start_fleet(
        routers=ROUTERS, engines=engines, budget=10**9, halls=halls, settings=SETTINGS
    ) as fleet:
        for name in engines:
            fleet.targets[name].set_faults(token_delay=0.005)
        measure_configuration(fleet)
        measure_leaving(fleet)
        measure_leaving_without_platform(fleet)
        measure_platform_calls(fleet)


if __name__ == "__main__":
    main()
