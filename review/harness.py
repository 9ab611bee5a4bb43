"""Common parts of the review's scripts: daemons, the platform's store and a record of the run.

The daemons are started with the command of the deploy file, with its libraries on Python's path.
The store is the project's own stand-in.
"""

import http.client
import itertools
import os
import pathlib
import resource
import shutil
import signal
import subprocess
import sys
import tempfile
import threading
import time
import tomllib

ROOT = pathlib.Path(__file__).resolve().parents[1]
sys.path[:0] = [str(ROOT), str(ROOT / "platform" / "tests")]

import fake_platform  # noqa: E402

from standins.ports import reserve_ports  # noqa: E402

BROKEN, HELD, NOT_RUN = 1, 0, 2
_PORTS_PER_DAEMON = 5
_CONTRACTS = "base,drain,config,cost,retry,recover,engine,stream,tenants,platform"
# Values of a small deployment.
_SETTINGS = {
    "role": "edge",
    "machine_class": "front",
    "serves": "front,directory,control",
    "zone": "hafnar",
    "region": "is-south",
    "zones.hafnar": "is-south",
    "bootstrap": "true",
    "in_tolerance": "false",
    "limits.cpu_share": "0.537",
    "limits.cpu_cores": "2",
    "limits.memory_mb": "300",
    "limits.max_fds": "4200",
    "limits.link_mbps": "1000.0",
    "limits.disk_mb": "0",
    "discovery": "platform",
    "entry": "directory",
    "heartbeat_ms": "1200",
    "contracts": _CONTRACTS,
    "bounds.contact_ms": "3000",
    "bounds.ack_ms": "4000",
    "bounds.drain_ms": "2000",
    "bounds.grace_s": "8",
    "bounds.loss_slack_ms": "200",
    "bounds.config_apply_ms": "2000",
    "bounds.rollback_slack_ms": "250",
    "bounds.retry_budget_ratio": "0.2",
    "bounds.budget_window_s": "10",
    "bounds.budget_slack": "52",
    "bounds.recover_s": "12",
    "bounds.pass_ms": "120",
    "bounds.again_s": "10",
    "bounds.settle_ms": "1500",
    "bounds.ttl_max_s": "5",
    "provider.form": "objects",
    "provider.writes_per_s": "400",
    "provider.reads_per_s": "2000",
    "provider.history_s": "20",
    "provider.value_bytes": "1048576",
}


class CaseNotRunError(Exception):
    """Raised when a case can't be run, which says nothing about the rule."""


class Record:
    """The record of what was sent, answered and run, in the folder of a case."""

    def __init__(self, folder):
        self._file = (folder / "record.txt").open("w")
        self._started = time.monotonic()
        self._lock = threading.Lock()

    def write(self, text):
        """Write a line with the seconds since the start."""
        with self._lock:
            self._file.write(f"{time.monotonic() - self._started:8.3f}  {text}\n")
            self._file.flush()


class Daemon:
    """One process of the router fleet.

    Parameters
    ----------
    case : Case
    name : str
    ip : str
        Loopback address that it listens on.
    gossip_port : int
        First port for traffic between daemons, the same for all of a fleet.
    seeds : str
    store_address : tuple of str and int
    settings : dict of str to str
        Fields that differ from those of the small deployment.
    descriptors : int
        Most descriptors that the process may open, 0 for the limit of this process.
    """

    def __init__(
        self, case, name, ip, gossip_port, seeds, store_address, settings=(), descriptors=0
    ):
        self.case, self.name, self.ip = case, name, ip
        self.descriptors = descriptors
        first = reserve_ports(_PORTS_PER_DAEMON)
        self.ports = {"front": first, "ready": first + 1, "directory": first + 2}
        self.control = first + 3
        self.settings = _SETTINGS | {"node_name": name, "ip": ip, "seeds": seeds}
        self.settings |= {f"listen.{role}": f"{ip}:{port}" for role, port in self.ports.items()}
        self.settings["listen.control"] = f"{ip}:{self.control}"
        self.settings["port_range"] = f"{gossip_port},{gossip_port + 15}"
        self.settings["provider.address"] = "{}:{}".format(*store_address)
        self.settings |= dict(settings)
        self.process = None
        self.start()

    def start(self):
        """Write the settings file and start the process."""
        path = self.case.temporary / f"{self.name}.conf"
        path.write_text("".join(f"{key}={value}\n" for key, value in self.settings.items()))
        environment = {
            key: os.environ[key] for key in ("PATH", "HOME", "LANG") if key in os.environ
        }
        environment["WHINRACK_NODE_FILE"] = str(path)
        environment["PYTHONPATH"] = str(ROOT / "target" / "deps")
        environment["PYTHONDONTWRITEBYTECODE"] = "1"
        self.log_path = self.case.temporary / f"{self.name}.log"
        with self.log_path.open("ab") as log:
            self.process = subprocess.Popen(
                _command(),
                cwd=ROOT,
                env=environment,
                stdout=log,
                stderr=log,
                preexec_fn=self._limit_descriptors if self.descriptors else None,
            )
        self.case.record.write(f"started {self.name}, process {self.process.pid}")

    def _limit_descriptors(self):
        """Limit the descriptors of the process, as the platform does."""
        resource.setrlimit(resource.RLIMIT_NOFILE, (self.descriptors, self.descriptors))

    def send_signal(self, number):
        """Send a signal to the process."""
        self.case.record.write(f"{signal.Signals(number).name} to {self.name}")
        self.process.send_signal(number)

    def kill(self):
        """Kill the process and wait for its end."""
        if self.process.poll() is None:
            self.process.kill()
        self.process.wait()

    def is_ready(self):
        """Return whether the readiness check answers 200."""
        return self.get("ready", "/v1/ready")[0] == 200

    def get(self, role, path, timeout=2.0):
        """Return status and body of a GET request to an address of the process."""
        connection = http.client.HTTPConnection(self.ip, self.ports[role], timeout=timeout)
        try:
            connection.request("GET", path)
            response = connection.getresponse()
            return response.status, response.read()
        except (OSError, http.client.HTTPException):
            return 0, b""
        finally:
            connection.close()

    def connect(self, timeout=10.0):
        """Return a new connection of a client."""
        return http.client.HTTPConnection(self.ip, self.ports["front"], timeout=timeout)


class Case:
    """Processes, stand-ins and record of one script; everything is ended at exit."""

    def __init__(self, folder):
        self.folder = pathlib.Path(folder).resolve()
        self.temporary = pathlib.Path(tempfile.mkdtemp(prefix="review-"))
        self.record = Record(self.folder)
        self.has_trouble = os.environ.get("TROUBLE", "1") != "0"
        self.daemons = []
        self.closing = []
        self._numbers = itertools.count(1)

    def __enter__(self):
        return self

    def __exit__(self, *error):
        for daemon in self.daemons:
            daemon.kill()
        for close in self.closing:
            close()
        shutil.rmtree(self.temporary, ignore_errors=True)

    def start_store(self, configuration):
        """Start the stand-in of the platform's store, with a configuration."""
        self.store = fake_platform.Store()
        self.closing.append(self.store.close)
        self.store.write("config", "main", configuration)
        return self.store

    def start_fleet(self, count, settings=(), store_address=None, prefix="front", descriptors=0):
        """Start daemons that know each other, and wait until they are ready."""
        gossip_port = reserve_ports(16)
        ips = [f"127.0.0.{10 + number}" for number in range(count)]
        seeds = ",".join(f"{ip}:1" for ip in ips[:3])
        for number, ip in enumerate(ips):
            address = store_address or self.store.address
            self.daemons.append(
                Daemon(
                    self,
                    f"{prefix}-{number + 1}",
                    ip,
                    gossip_port,
                    seeds,
                    address,
                    settings,
                    descriptors,
                )
            )
        for daemon in self.daemons:
            self.wait_until(daemon.is_ready, 30, f"{daemon.name} is ready")
        return self.daemons

    def wait_until(self, check, seconds, what):
        """Wait until a check holds; the case can't run otherwise."""
        end = time.monotonic() + seconds
        while not check():
            if time.monotonic() > end:
                raise CaseNotRunError(f"not reached within {seconds} s: {what}")
            time.sleep(0.05)
        self.record.write(f"reached: {what}")

    def request_id(self):
        """Return a request id that was not used before."""
        return f"{next(self._numbers):016x}"


def _command():
    """Return the command of the deploy file's role."""
    deploy = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
    (role,) = deploy["roles"].values()
    return role["run"].split(" ")


def run_case(folder, play):
    """Run a case and exit: 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.

    Parameters
    ----------
    folder : path
        Folder of the case.
    play : callable
        Called with the `Case`; returns the sentences that say how the rule was broken.
    """
    with Case(folder) as case:
        try:
            broken = play(case)
        except Exception as error:
            case.record.write(f"not run: {error!r}")
            print(f"not run: {error!r}")
            sys.exit(NOT_RUN)
        for sentence in broken:
            case.record.write(f"BROKEN: {sentence}")
            print(f"BROKEN: {sentence}")
        verdict = "the rule was broken" if broken else "the rule held"
        case.record.write(verdict)
        print(verdict)
    sys.exit(BROKEN if broken else HELD)
