"""Stand-ins of the platform's store, of runners and of clients, and daemons as processes.

Only the standard library is used. All addresses are loopback addresses.
"""

import http.client
import json
import os
import pathlib
import random
import shutil
import socket
import subprocess
import tempfile
import threading
import time
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from urllib.parse import parse_qs, urlsplit

__all__ = ["Daemon", "Deployment", "Record", "Runner", "Store", "call", "configuration"]

ROOT = pathlib.Path(__file__).resolve().parents[2]
_PAGE_SIZE = 500


class _Server(ThreadingHTTPServer):
    daemon_threads = True
    request_queue_size = 256

    def handle_error(self, request, client_address):
        """Ignore the error: a peer that disconnects is no error of a stand-in."""


def _serve(handler, owner):
    server = _Server(("127.0.0.1", 0), type("Handler", (handler,), {"owner": owner}))
    threading.Thread(target=server.serve_forever, args=(0.05,), daemon=True).start()
    return server


class Record:
    """Lines of what was sent, answered and run, with the seconds since the start."""

    def __init__(self, path):
        self._file = open(path, "w", encoding="utf-8")  # noqa: SIM115
        self._lock = threading.Lock()
        self._started = time.monotonic()

    def add(self, text):
        """Add a line."""
        with self._lock:
            self._file.write(f"{time.monotonic() - self._started:8.3f}  {text}\n")
            self._file.flush()


class Store:
    """The platform's store: objects by kind and name, conditional writes and watches.

    Attributes
    ----------
    is_silent : bool
        Calls are read and not answered, and nothing is done.
    """

    def __init__(self):
        self.objects = {}
        self.changes = []
        self.revision = 10
        self.is_silent = False
        self.changed = threading.Condition()
        self.server = _serve(_StoreHandler, self)
        self.address = "{}:{}".format(*self.server.server_address)

    def write(self, kind, name, spec):
        """Write an object as the operator or a runner does."""
        with self.changed:
            return self.put(kind, name, spec)

    def remove(self, kind, name):
        """Remove an object, as when a runner has left."""
        with self.changed:
            self.revision += 1
            item = self.objects.pop((kind, name), None)
            if item is not None:
                self.changes.append((self.revision, kind, item, True))
            self.changed.notify_all()

    def put(self, kind, name, spec):
        """Write an object; the caller holds the lock."""
        self.revision += 1
        metadata = {"name": name, "revision": self.revision, "made": 1}
        metadata |= {"finalizers": [], "deleting": False}
        item = {"metadata": metadata, "spec": spec, "status": None}
        self.objects[kind, name] = item
        self.changes.append((self.revision, kind, item, False))
        self.changed.notify_all()
        return item


class _StoreHandler(BaseHTTPRequestHandler):
    protocol_version = "HTTP/1.1"

    def log_message(self, *arguments):
        """Log nothing."""

    def _call(self):
        store = self.owner
        length = int(self.headers.get("Content-Length") or 0)
        body = json.loads(self.rfile.read(length)) if length else None
        if store.is_silent:
            while store.is_silent:
                time.sleep(0.05)
            self.close_connection = True
            return
        url = urlsplit(self.path)
        query = {key: values[0] for key, values in parse_qs(url.query).items()}
        kind, _, name = url.path.removeprefix("/v1/objects/").partition("/")
        if self.command == "GET" and name:
            item = store.objects.get((kind, name))
            self._answer(200 if item else 404, item)
        elif self.command == "GET" and "watch" in query:
            self._watch(kind, int(query["watch"]), int(query["wait_ms"]) / 1000)
        elif self.command == "GET":
            names = sorted(n for k, n in list(store.objects) if k == kind)
            names = [n for n in names if n > query.get("since_rev", "")]
            items = [store.objects[kind, n] for n in names[:_PAGE_SIZE]]
            more = len(names) > _PAGE_SIZE
            self._answer(200, {"items": items, "more": more, "at": store.revision})
        else:
            self._write(kind, name, body, query)

    do_GET = do_PUT = do_POST = do_DELETE = _call  # noqa: N815

    def _watch(self, kind, since, wait):
        store, end = self.owner, time.monotonic() + wait
        with store.changed:
            while True:
                events = [c for c in store.changes if c[0] > since and c[1] == kind]
                left = end - time.monotonic()
                if events or left <= 0:
                    break
                store.changed.wait(left)
            at = store.revision
        found = [{"object": item, "gone": gone} for _, _, item, gone in events]
        self._answer(200, {"events": found, "at": at})

    def _write(self, kind, name, body, query):
        store = self.owner
        metadata = (body or {}).get("metadata", {})
        name = name or metadata["name"]
        wanted = metadata.get("revision") or int(query.get("revision", 0))
        with store.changed:
            current = store.objects.get((kind, name))
            if self.command == "POST" and current is not None:
                status, item = 409, current
            elif self.command != "POST" and current is None:
                status, item = 404, None
            elif wanted and current and current["metadata"]["revision"] != wanted:
                status, item = 409, current
            elif self.command == "DELETE":
                store.remove(kind, name)
                status, item = 200, current
            else:
                status, item = 200, store.put(kind, name, body["spec"])
        self._answer(status, item)

    def _answer(self, status, value):
        data = json.dumps(value).encode()
        self.send_response(status)
        self.send_header("Content-Type", "application/json")
        self.send_header("Content-Length", str(len(data)))
        self.end_headers()
        self.wfile.write(data)


class Runner:
    """A runner of a plain service, or of a model if `tokens_per_event` is set.

    Attributes
    ----------
    runs : list of dict
        The requests that it has run, with the tokens handed out.
    """

    def __init__(self, store, name, service, record, work_s=0.02, events=0, tokens_per_event=5):
        self.store, self.name, self.service, self.record = store, name, service, record
        self.work_s, self.events, self.tokens_per_event = work_s, events, tokens_per_event
        self.runs = []
        self.sequence = 0
        self.server = _serve(_RunnerHandler, self)
        self.address = "{}:{}".format(*self.server.server_address)
        self.state = "ready"
        self.beat()

    def beat(self):
        """Write the runner's entry."""
        self.sequence += 1
        self.store.write(
            "servers",
            self.name,
            {
                "service": self.service,
                "address": self.address,
                "zone": "z",
                "version": "v1",
                "slots": 64,
                "state": self.state,
                "cold_left_ms": 0,
                "seq": self.sequence,
            },
        )


class _RunnerHandler(BaseHTTPRequestHandler):
    protocol_version = "HTTP/1.1"
    disable_nagle_algorithm = True

    def log_message(self, *arguments):
        """Log nothing."""

    def _serve_request(self):
        runner = self.owner
        body = self.rfile.read(int(self.headers.get("Content-Length") or 0))
        if self.path == "/health":
            self._answer(200, b"", {"X-Whinrack-Instance-Id": runner.name})
            return
        if self.headers.get("X-Whinrack-Expect-Instance") not in (None, runner.name):
            self._answer(421, b"", {"X-Whinrack-Instance-Id": runner.name})
            return
        request_id = self.headers.get("X-Whinrack-Request-Id", "")
        run = {"id": request_id, "tenant": self.headers.get("X-Whinrack-Tenant"), "events": 0}
        run |= {"prompt": 0, "at": time.monotonic(), "body": len(body)}
        runner.runs.append(run)
        runner.record.add(f"runner {runner.name}: runs {request_id} of {run['tenant']}")
        fields = {"X-Whinrack-Request-Id": request_id}
        fields |= {"X-Whinrack-Response-Seal": f"seal-{runner.name}"}
        usage = self.headers.get("X-Whinrack-Token-Usage")
        if usage is None:
            time.sleep(runner.work_s)
            self._answer(200, b"done " + request_id.encode(), fields)
        else:
            self._stream(runner, run, usage, fields)

    do_GET = do_POST = _serve_request  # noqa: N815

    def _stream(self, runner, run, usage, fields):
        prompt, most = map(int, usage.split(","))
        run["prompt"] = prompt
        self.send_response(200)
        for field in ({"Content-Type": "text/event-stream"} | fields).items():
            self.send_header(*field)
        self.send_header("Transfer-Encoding", "chunked")
        self.end_headers()
        try:
            for number in range(1, most // runner.tokens_per_event + 1):
                time.sleep(runner.work_s)
                data = b"id: %d\ndata: %s\n\n" % (number, b"x" * 40)
                run["events"] += 1
                self.wfile.write(b"%x\r\n%s\r\n" % (len(data), data))
            self.wfile.write(b"0\r\n\r\n")
        except OSError:
            self.close_connection = True

    def _answer(self, status, body, fields):
        self.send_response(status)
        for field in fields.items():
            self.send_header(*field)
        self.send_header("Content-Length", str(len(body)))
        self.end_headers()
        self.wfile.write(body)


def configuration(version=1, prepaid=None):
    """Return a small configuration: a plain service, and a model for one tenant."""
    common = {"host": "h.example", "priority": 1, "public": False}
    engine = {"slots": 64, "kv_capacity": 500000, "stride": 5, "models": [{"name": "m"}]}
    tenant = {"name": "t1", "api_keys": ["k1"], "priority": 1}
    if prepaid is not None:
        tenant["prepaid"] = prepaid
    return {
        "version": version,
        "routes": [
            common
            | {"name": "r-unsafe", "path_prefix": "/u/", "kind": "unsafe"}
            | {"timeout_ms": 4000, "goal_ms": 400, "service": "app", "max_attempts": 1},
            common
            | {"name": "r-safe", "path_prefix": "/f/", "kind": "safe"}
            | {"timeout_ms": 4000, "goal_ms": 400, "service": "app", "max_attempts": 2},
            common
            | {"name": "r-stream", "path_prefix": "/s/", "kind": "streaming"}
            | {"timeout_ms": 15000, "goal_ms": 800, "service": "lm", "max_attempts": 1}
            | {"sticky": True, "resumable": False, "gap_goal_ms": 400},
        ],
        "services": [
            {
                "name": "app",
                "health_path": "/health",
                "max_conns": 200,
                "protocol": "h1",
                "tls": False,
            },
            {
                "name": "lm",
                "health_path": "/health",
                "max_conns": 360,
                "protocol": "h1",
                "tls": False,
                "engine": engine,
            },
        ],
        "limits": {
            "max_header_bytes": 16384,
            "max_body_bytes": 4194304,
            "header_timeout_ms": 3000,
            "idle_timeout_ms": 15000,
        },
        "tenants": [tenant],
    }


def _free_ports(count):
    """Return the first of some consecutive ports that are free, below the ephemeral ones."""
    while True:
        first = random.randrange(12_000, 30_000)
        try:
            for port in range(first, first + count):
                for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
                    with socket.socket(socket.AF_INET, kind) as sock:
                        sock.bind(("127.0.0.1", port))
            return first
        except OSError:
            continue


class Daemon:
    """One process, started with the command of the deploy file."""

    def __init__(self, deployment, number):
        self.deployment, self.number = deployment, number
        self.ip = f"127.0.0.{10 + number}"
        self.path = deployment.folder / f"node-{number}.conf"
        self.process = None
        self.log = None
        self.exits = []

    def fields(self):
        """Return the fields of the settings file."""
        base, ip = self.deployment.port, self.ip
        fields = {"node_name": f"front-z-{self.number}", "role": "edge", "machine_class": "front"}
        fields |= {"serves": "front,directory,control", "ip": ip, "zone": "z", "region": "r"}
        fields |= {
            "zones.z": "r",
            "listen.front": f"{ip}:{base}",
            "listen.ready": f"{ip}:{base + 1}",
        }
        fields |= {"listen.directory": f"{ip}:{base + 2}", "listen.control": f"{ip}:{base + 3}"}
        fields |= {"port_range": f"{base + 4},{base + 19}"}
        fields |= {
            "seeds": ",".join(
                f"127.0.0.{10 + n}:{base + 3}" for n in (1, 2, 3)[: self.deployment.size]
            )
        }
        fields |= {"bootstrap": "true" if self.deployment.is_first else "false"}
        fields |= {"limits.cpu_share": "0.537", "limits.cpu_cores": "2", "limits.memory_mb": "300"}
        fields |= {"limits.max_fds": "4200", "limits.link_mbps": "1000.0", "heartbeat_ms": "1200"}
        fields |= {
            "contracts": "base,drain,config,cost,retry,recover,engine,stream,tenants,platform"
        }
        bounds = {"seed_lag_s": 3, "reuse_after_s": 2, "contact_ms": 3000, "ack_ms": 4000}
        bounds |= {"drain_ms": 2000, "grace_s": 8, "loss_slack_ms": 200, "config_apply_ms": 2000}
        bounds |= {"rollback_slack_ms": 250, "retry_budget_ratio": 0.2, "budget_window_s": 10}
        bounds |= {"budget_slack": 52, "recover_s": 12, "pass_ms": 120, "ttl_max_s": 5}
        fields |= {f"bounds.{name}": value for name, value in bounds.items()}
        fields |= {"provider.address": self.deployment.store.address, "provider.form": "objects"}
        fields |= {"provider.writes_per_s": 400, "provider.reads_per_s": 2000}
        return fields | self.deployment.extra_fields

    def write_settings(self):
        """Write the settings file, as the platform does at every start and change."""
        new = self.path.with_suffix(".new")
        new.write_text("".join(f"{key}={value}\n" for key, value in self.fields().items()))
        new.replace(self.path)

    def start(self):
        """Start the process."""
        self.write_settings()
        environment = {
            key: os.environ[key] for key in ("PATH", "HOME", "LANG") if key in os.environ
        }
        environment |= {"PYTHONPATH": str(ROOT / "target" / "deps")}
        environment |= {"PYTHONDONTWRITEBYTECODE": "1", "WHINRACK_NODE_FILE": str(self.path)}
        self.log = open(self.path.with_suffix(".log"), "ab")  # noqa: SIM115
        self.process = subprocess.Popen(
            ["python3", "platform/main.py"],
            cwd=ROOT,
            env=environment,
            stdout=self.log,
            stderr=self.log,
        )
        self.deployment.record.add(f"platform: starts {self.name}")

    @property
    def name(self):
        """Name of the machine."""
        return f"front-z-{self.number}"

    def signal(self, number):
        """Send a signal to the process."""
        self.deployment.record.add(f"platform: {number.name} to {self.name}")
        self.process.send_signal(number)

    def is_ready(self):
        """Ask as the platform does whether the daemon is ready."""
        connection = http.client.HTTPConnection(self.ip, self.deployment.port + 1, timeout=1)
        try:
            connection.request("GET", "/v1/ready")
            return connection.getresponse().status == 200
        except OSError:
            return False
        finally:
            connection.close()

    def wait_ready(self, seconds=20.0):
        """Wait until the daemon is ready; return whether it is."""
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            if self.is_ready():
                self.deployment.record.add(f"platform: {self.name} is ready")
                return True
            time.sleep(0.05)
        return False

    def end(self):
        """End the process."""
        if self.process is not None and self.process.poll() is None:
            self.process.kill()
        if self.process is not None:
            self.process.wait()


class Deployment:
    """A store and some daemons in a temporary folder."""

    def __init__(self, record, size=2, extra_fields=None):
        self.record, self.size = record, size
        self.extra_fields = extra_fields or {}
        self.is_first = True
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="whinrack-case-"))
        self.port = _free_ports(20)
        self.store = Store()
        self.daemons = [Daemon(self, number) for number in range(1, size + 1)]

    def start(self):
        """Start all daemons; return whether all are ready."""
        for daemon in self.daemons:
            daemon.start()
        ready = True
        for daemon in self.daemons:
            ready = daemon.wait_ready() and ready
        self.is_first = False
        return ready

    def end(self):
        """End all processes that were started."""
        for daemon in self.daemons:
            daemon.end()
        shutil.rmtree(self.folder, ignore_errors=True)


def call(daemon, path, request_id, method="GET", body=None, headers=None, timeout=6.0):
    """Send one request; return the status, 0 without an answer, and the body."""
    record = daemon.deployment.record
    connection = http.client.HTTPConnection(daemon.ip, daemon.deployment.port, timeout=timeout)
    fields = {"Host": "h.example", "X-Whinrack-Request-Id": request_id}
    fields |= {"X-Whinrack-Deadline-Ms": "4000", "Authorization": "Token k1"} | (headers or {})
    record.add(f"client: {method} {path} {request_id} to {daemon.name}")
    try:
        connection.request(method, path, body, fields)
        response = connection.getresponse()
        text = response.read()
        record.add(f"client: {request_id} gets {response.status}")
        return response.status, text
    except (OSError, http.client.HTTPException) as error:
        record.add(f"client: {request_id} gets no whole answer ({type(error).__name__})")
        return 0, b""
    finally:
        connection.close()
