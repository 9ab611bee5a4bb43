"""Fleet of local processes for the demo, tests and benchmarks."""

import contextlib
import json
import os
import pathlib
import signal
import subprocess
import sys
import tempfile
import time

import urllib3

from standins.ports import reserve_port

__all__ = ["FLEET_KEY", "LocalFleet", "Process", "wait_until"]

ROOT = pathlib.Path(__file__).resolve().parent.parent
FLEET_KEY = "fleet-key-of-the-local-fleet"
_START_TIMEOUT = 20.0
_LOG_TAIL_CHARACTERS = 2000
_HTTP_POOL = urllib3.PoolManager(retries=False, maxsize=64)


def wait_until(condition, timeout=10.0, description="the condition"):
    """Poll until a condition is true and return its value.

    Raises TimeoutError, with `description` in its message, after `timeout` seconds.
    """
    end = time.monotonic() + timeout
    while True:
        value = condition()
        if value:
            return value
        if time.monotonic() > end:
            raise TimeoutError(f"waited {timeout:g} s for {description}")
        time.sleep(0.02)


class Process:
    """Process of the fleet with an HTTP address."""

    def __init__(self, name, command, address=None, log=None):
        self.name = name
        self.log = log
        stderr = open(log, "ab") if log else subprocess.DEVNULL  # noqa: SIM115
        self.popen = subprocess.Popen(
            command, stdout=subprocess.PIPE, stderr=stderr, cwd=ROOT, env=_environment()
        )
        if log:
            stderr.close()
        self.address = address or self._read_address()

    def _read_address(self):
        line = self.popen.stdout.readline().decode()
        if not line.startswith("port "):
            raise RuntimeError(f"{self.name} did not start: {line!r}")
        return f"127.0.0.1:{line.split()[1]}"

    def call(self, method, path, value=None, headers=None, timeout=30.0):
        """Send one HTTP request, with `value` as its JSON body.

        A refused connection is reported with the state of the process and the end of its log.
        """
        body = None if value is None else json.dumps(value).encode()
        url = f"http://{self.address}{path}"
        try:
            return _HTTP_POOL.request(method, url, body=body, headers=headers, timeout=timeout)
        except urllib3.exceptions.NewConnectionError as error:
            error.add_note(self.describe())
            raise

    def json(self, method, path, value=None, headers=None):
        """Send one HTTP request and decode the JSON response."""
        return json.loads(self.call(method, path, value, headers).data)

    def set_faults(self, **faults):
        """Set faults of a stand-in and return all of its faults."""
        return self.json("PUT", "/faults", faults)

    def list_starts(self):
        """Return the requests that an engine or service has started."""
        return self.json("GET", "/starts")

    def signal(self, number):
        """Send a signal to the process."""
        self.popen.send_signal(number)

    def kill(self):
        """Kill the process with SIGKILL and wait for its end."""
        self.popen.kill()
        self.popen.wait()

    def pause(self):
        """Pause the process with SIGSTOP, which it cannot detect."""
        self.signal(signal.SIGSTOP)

    def resume(self):
        """Resume a paused process."""
        self.signal(signal.SIGCONT)

    def stop(self, timeout=30.0):
        """Stop the process gracefully with SIGTERM and return its exit code."""
        self.popen.send_signal(signal.SIGTERM)
        return self.popen.wait(timeout)

    def describe(self):
        """Return the exit code of the process, None while it runs, and the end of its log."""
        log = self.log.read_text()[-_LOG_TAIL_CHARACTERS:] if self.log else ""
        return f"{self.name}: exit code {self.popen.poll()}, log: {log}"

    @property
    def is_running(self):
        """Check whether the process is running."""
        return self.popen.poll() is None


class LocalFleet:
    """Context manager that starts stand-ins and routers and kills them all on exit.

    Parameters
    ----------
    halls : sequence of (region, hall)
        Regions and data halls, assigned to the routers in turn.
    settings : dict of str to dict
        Router settings that override the defaults, by section.
    """

    def __init__(self, halls=(("south", "a"), ("south", "b"), ("south", "c")), settings=None):
        self.halls = halls
        self.settings = settings or {}
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="whinrack-"))
        self.processes = []
        self.routers = []
        self.targets = {}
        self.platform = None

    def __enter__(self):
        return self

    def __exit__(self, *_):
        for process in self.processes:
            with contextlib.suppress(Exception):
                process.resume()
                process.kill()
            process.popen.stdout.close()

    # --- starting ----------------------------------------------------------------

    def start_platform(self):
        """Start the stand-in platform."""
        self.platform = self._start_standin("platform", "standins.platform")
        return self.platform

    def start_engine(self, name, *options):
        """Start a stand-in engine without declaring it as a target."""
        self.targets[name] = self._start_standin(name, "standins.engine", *options)
        return self.targets[name]

    def start_service(self, name):
        """Start a stand-in for a plain service without declaring it as a target."""
        self.targets[name] = self._start_standin(name, "standins.service")
        return self.targets[name]

    def start_routers(self, count=None):
        """Start routers and wait until they are ready and know each other."""
        count = len(self.halls) if count is None else count
        names = [f"router-{index + 1}" for index in range(count)]
        started = [self.start_router(name, wait=False) for name in names]
        for router in started:
            self.wait_until_ready(router)
        self.wait_for_members()
        return started

    def start_router(self, name, peer_port=None, wait=True, **overrides):
        """Start one router; reusing a name starts a new incarnation."""
        region, hall = self.halls[len(self.routers) % len(self.halls)]
        http, peer = reserve_port(), peer_port or reserve_port()
        path = self.write_settings(name, region, hall, http, peer, overrides)
        router = Process(
            name,
            [sys.executable, "-m", "whinrack", "router", "run", "--settings", str(path)],
            address=f"127.0.0.1:{http}",
            log=self.folder / f"{name}.log",
        )
        router.peer_address = f"127.0.0.1:{peer}"
        self.processes.append(router)
        self.routers.append(router)
        self.register_router(router, "live", region, hall)
        if wait:
            self.wait_until_ready(router)
        return router

    def wait_until_ready(self, router):
        """Wait until a router is ready."""
        wait_until(lambda: self.is_ready(router), _START_TIMEOUT, f"{router.name} to be ready")

    def write_settings(self, name, region, hall, http, peer, overrides):
        """Write the settings file of a router and return its path."""
        sections = {
            "instance": {"name": name, "region": region, "data_hall": hall},
            "http": {"address": f"127.0.0.1:{http}"},
            "peer": {
                "address": f"127.0.0.1:{peer}",
                "fleet_key": FLEET_KEY,
                "seeds": " ".join(router.peer_address for router in self.routers),
            },
            "platform": {"address": self.platform.address},
            "stop": {"linger": "0.5"},
        }
        for extra in (self.settings, overrides):
            for section, values in extra.items():
                sections.setdefault(section, {}).update(values)
        lines = []
        for section, values in sections.items():
            lines.append(f"[{section}]")
            lines += [f"{key} = {value}" for key, value in values.items()]
        path = self.folder / f"{name}.ini"
        path.write_text("\n".join(lines) + "\n")
        return path

    def _start_standin(self, name, module, *options):
        command = [sys.executable, "-m", module, *options]
        process = Process(name, command, log=self.folder / f"{name}.log")
        self.processes.append(process)
        return process

    # --- instance list -------------------------------------------------------------

    def register_router(self, router, state, region="south", hall="a"):
        """Add a router to the instance list of the platform, or update it."""
        record = {
            "name": router.name,
            "role": "router",
            "state": state,
            "region": region,
            "data_hall": hall,
            "http_address": router.address,
            "peer_address": router.peer_address,
        }
        self.platform.call("PUT", f"/v1/instances/{router.name}", record)

    def register_target_instance(self, instance, state):
        """Add the instance of a target to the instance list, or update it."""
        record = {"name": instance, "role": "target", "state": state}
        self.platform.call("PUT", f"/v1/instances/{instance}", record)

    # --- objects and state -----------------------------------------------------------

    def put_object(self, kind, name, spec):
        """Write an object unconditionally, using its current version."""
        path = f"/v1/objects/{kind}/{name}"
        found = self.platform.call("GET", path)
        version = json.loads(found.data)["version"] if found.status == 200 else 0
        return self.platform.call("PUT", path, spec, {"If-Match": str(version)})

    def run_cli(self, *arguments, check=True):
        """Run a command of the whinrack CLI.

        Raises RuntimeError if it fails and `check` is true.
        """
        environment = _environment()
        environment["WHINRACK_PLATFORM"] = self.platform.address
        environment["WHINRACK_FLEET_KEY"] = FLEET_KEY
        result = subprocess.run(
            [sys.executable, "-m", "whinrack", *map(str, arguments)],
            capture_output=True,
            text=True,
            cwd=ROOT,
            env=environment,
        )
        if check and result.returncode != 0:
            raise RuntimeError(f"whinrack {arguments}: {result.stderr}")
        return result

    def status(self, router):
        """Return the status that a router reports about itself."""
        return router.json("GET", "/v1/status", headers={"Whinrack-Fleet-Key": FLEET_KEY})

    def is_ready(self, router):
        """Check whether a router is ready; raise RuntimeError if its process has ended."""
        if not router.is_running:
            raise RuntimeError(f"{router.name} ended: {router.describe()}")
        with contextlib.suppress(urllib3.exceptions.HTTPError):
            return router.call("GET", "/readyz", timeout=1.0).status == 200
        return False

    def wait_for_members(self):
        """Wait until all running routers know each other."""
        running = [router for router in self.routers if router.is_running]
        for router in running:
            wait_until(
                lambda router=router: len(self.status(router)["members"]) >= len(running) - 1,
                description=f"{router.name} to know its peers",
            )

    def wait_for_config(self, routers=None):
        """Wait until the routers have applied the newest stored configuration."""
        kinds = "Workspace,Budget,TargetPool,Target,RoutingPolicy,ApiKey"
        stored = self.platform.json("GET", f"/v1/objects?kinds={kinds}")["objects"]
        newest = max(item["version"] for item in stored)
        for router in routers or [router for router in self.routers if router.is_running]:
            wait_until(
                lambda router=router: self.status(router)["newest"] >= newest,
                description=f"{router.name} to apply the newest configuration",
            )

    def nonzero_metrics(self, router):
        """Return the nonzero metrics of a router, keyed by name and labels."""
        values = {}
        for line in router.call("GET", "/metrics").data.decode().splitlines():
            if line.startswith("whinrack_") and "_created" not in line:
                name, _, value = line.rpartition(" ")
                if float(value):
                    values[name] = float(value)
        return values


def _environment():
    return {**os.environ, "PYTHONPATH": str(ROOT), "PYTHONWARNINGS": "ignore"}
