"""Starts a small deployment of separate processes on loopback addresses, and speaks to it."""

import http.client
import json
import os
import pathlib
import random
import re
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib

__all__ = ["ROOT", "Deployment", "ask", "free_ports", "wait_for"]

ROOT = pathlib.Path(__file__).resolve().parents[2]
_HERE = pathlib.Path(__file__).resolve().parent
# Below the ephemeral ports, so that no outgoing connection takes one before it is listened on.
_PORTS = range(12_000, 31_000)


def free_ports(count, ips=("127.0.0.1",)):
    """Return the first of some consecutive ports that are free on some addresses."""
    while True:
        first = random.randrange(_PORTS.start, _PORTS.stop - count)
        try:
            for ip in ips:
                for port in range(first, first + count):
                    for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
                        with socket.socket(socket.AF_INET, kind) as sock:
                            sock.bind((ip, port))
        except OSError:
            continue
        return first


def wait_for(check, seconds):
    """Wait until a check holds; return whether it did."""
    end = time.monotonic() + seconds
    while time.monotonic() < end:
        if check():
            return True
        time.sleep(0.02)
    return False


def ask(address, method, path, body=None, headers=(), timeout=5.0, connection=None):
    """Send one request; return status, headers and body, or status 0 and the error."""
    made = connection or http.client.HTTPConnection(*address, timeout=timeout)
    try:
        made.request(method, path, body, dict(headers))
        response = made.getresponse()
        return response.status, dict(response.getheaders()), response.read()
    except (OSError, http.client.HTTPException) as error:
        return 0, {}, repr(error).encode()
    finally:
        if connection is None:
            made.close()


class Deployment:
    """The store, runners and daemons of one test; `close` ends all of them."""

    def __init__(self, record, settings=None, value_bytes=1_048_576):
        # So that `close` runs, which ends all processes, if the test is stopped from outside.
        signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))
        self.folder = tempfile.TemporaryDirectory(prefix="whinrack-review-")
        self.path = pathlib.Path(self.folder.name)
        self.record = open(record, "w", buffering=1)  # noqa: SIM115
        self.began = time.monotonic()
        self.settings = settings or {}
        self.value_bytes = value_bytes
        self.processes = {}
        self.daemons = []
        self.ports = {}
        port = free_ports(1)
        self.store = ("127.0.0.1", port)
        command = [str(_HERE / "store.py"), f"127.0.0.1:{port}", str(value_bytes)]
        self._spawn("store", command)
        self.is_up = wait_for(lambda: self.read("config", "none")[0] == 404, 10)
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        self.command = deploy["roles"]["edge"]["run"].split()

    def write_line(self, text):
        """Write a line to the record."""
        self.record.write(f"{time.monotonic() - self.began:8.3f} {text}\n")

    def _spawn(self, name, arguments, environment=None, command=None):
        with (self.path / f"{name}.log").open("ab") as log:
            self.processes[name] = subprocess.Popen(
                command or [sys.executable, *arguments],
                cwd=ROOT,
                env=environment or dict(os.environ),
                stdout=log,
                stderr=log,
            )

    # --- the store --------------------------------------------------------------------

    def read(self, kind, name):
        """Read one object; return status and spec."""
        status, _, data = ask(self.store, "GET", f"/v1/objects/{kind}/{name}")
        return status, json.loads(data)["spec"] if status == 200 else None

    def configure(self, spec):
        """Write a configuration, as the operator does; return the status."""
        body = {"metadata": {"name": "main"}, "spec": spec}
        path = "/v1/objects/config"
        status, _, _ = ask(self.store, "PUT", f"{path}/main", json.dumps(body))
        if status == 404:
            status, _, _ = ask(self.store, "POST", path, json.dumps(body))
        return status

    # --- runners ------------------------------------------------------------------------

    def start_runner(self, name, service, port=None, **options):
        """Start a runner; return its address."""
        address = ("127.0.0.1", port or free_ports(1))
        texts = [f"{key}={value}" for key, value in options.items()]
        store = "{}:{}".format(*self.store)
        log = str(self.path / f"{name}.runs")
        command = [str(_HERE / "runner.py"), name, service, "{}:{}".format(*address), store, log]
        self._spawn(name, [*command, *texts])
        return address

    def runs(self, name):
        """Return the lines of a runner's log."""
        path = self.path / f"{name}.runs"
        return [json.loads(line) for line in path.read_text().splitlines()] if path.exists() else []

    def arrivals(self, name):
        """Return the requests among the lines of a runner's log."""
        return [line for line in self.runs(name) if "id" in line]

    # --- daemons ------------------------------------------------------------------------

    def add_daemons(self, count):
        """Write the settings of some daemons, each on a loopback address of its own."""
        ips = [f"127.0.0.{number + 11}" for number in range(count)]
        self.first_port = free_ports(24, ips)
        for number, ip in enumerate(ips):
            name = f"front-hall-{'abcd'[number % 4]}-{number // 4 + 1}"
            self.daemons.append((name, ip))
        for name, _ in self.daemons:
            self.write_settings(name, bootstrap="true")

    def write_settings(self, name, **changes):
        """Write the settings file of a daemon."""
        ip = dict(self.daemons)[name]
        port = self.first_port
        seeds = ",".join(f"{seed}:{port + 3}" for _, seed in self.daemons[:3])
        hall = re.fullmatch(r"front-(hall-.)-\d+", name).group(1)
        fields = {"node_name": name, "role": "edge", "machine_class": "front", "ip": ip}
        fields |= {"serves": "front,directory,control", "zone": hall, "region": "lowlands"}
        fields |= {f"zones.hall-{letter}": "lowlands" for letter in "abcd"}
        fields |= {"listen.front": f"{ip}:{port}", "listen.ready": f"{ip}:{port + 1}"}
        fields |= {"listen.directory": f"{ip}:{port + 2}", "listen.control": f"{ip}:{port + 3}"}
        fields |= {"port_range": f"{port + 8},{port + 23}", "seeds": seeds, "bootstrap": "false"}
        fields |= {"limits.cpu_share": "0.537", "limits.cpu_cores": "2"}
        fields |= {"limits.memory_mb": "300", "limits.max_fds": "4100"}
        fields |= {"limits.link_mbps": "1000.0", "heartbeat_ms": "1200"}
        fields |= {"contracts": "base,drain,config,cost,retry,recover,engine,stream,tenants"}
        fields |= {"bounds.contact_ms": "3000", "bounds.drain_ms": "2000", "bounds.grace_s": "8"}
        fields |= {"bounds.config_apply_ms": "2000", "bounds.retry_budget_ratio": "0.2"}
        fields |= {"bounds.budget_window_s": "10", "bounds.budget_slack": "56"}
        fields |= {"bounds.recover_s": "12", "bounds.pass_ms": "120", "bounds.settle_ms": "1500"}
        fields |= {"bounds.ttl_max_s": "5", "provider.address": "{}:{}".format(*self.store)}
        fields |= {"provider.form": "objects", "provider.writes_per_s": "400"}
        fields |= {"provider.reads_per_s": "2000", "provider.history_s": "20"}
        fields |= {"provider.value_bytes": str(self.value_bytes)} | self.settings | changes
        text = "".join(f"{key}={value}\n" for key, value in fields.items())
        (self.path / f"{name}.conf").write_text(text)

    def start_daemon(self, name):
        """Start a daemon with the command of the deploy file."""
        allowed = ("PATH", "HOME", "LANG")
        environment = {key: os.environ[key] for key in allowed if key in os.environ}
        environment |= {"WHINRACK_NODE_FILE": str(self.path / f"{name}.conf")}
        environment |= {"PYTHONPATH": str(ROOT / "target/deps"), "PYTHONDONTWRITEBYTECODE": "1"}
        self._spawn(name, None, environment, self.command)

    def kill(self, name, number=signal.SIGKILL):
        """Send a signal to a process of this test."""
        self.processes[name].send_signal(number)
        if number == signal.SIGKILL:
            self.processes[name].wait()

    def address(self, name, offset=0):
        """Return an address of a daemon: 0 for clients, 1 for readiness, 2 for the directory."""
        return dict(self.daemons)[name], self.first_port + offset

    def is_ready(self, name):
        """Return whether a daemon says that it is ready."""
        return ask(self.address(name, 1), "GET", "/v1/ready", timeout=1.0)[0] == 200

    def close(self):
        """End all processes of this test."""
        for process in self.processes.values():
            if process.poll() is None:
                process.kill()
        for process in self.processes.values():
            process.wait()
        self.record.close()
        self.folder.cleanup()
