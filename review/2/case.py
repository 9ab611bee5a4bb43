"""A runner answers one long request before it has read all of it, and reads on later.

Many small requests and some long ones are sent to two runners with small receive buffers. One of
them answers its first long request once it has read the beginning, keeps the connection, and reads
the rest a little after the route's time-out. Then eight clients of another tenant send small
requests. The runner checks the bytes that it reads as the rest of the long body.
"""

import pathlib
import socket
import sys
import threading
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1]))

from harness import CaseNotRunError, run_case  # noqa: E402

ROUTE_TIMEOUT_MS = 1000
CLIENT_DEADLINE_MS = 1500
LONG_BODY = b"L" * 4_000_000
READ_BEFORE_ANSWER = 8192
PAUSE_SECONDS = 1.4
CLIENTS = 8
SMALL_REQUESTS = 150
MAX_LONG_REQUESTS = 8
RECEIVE_BUFFER = 4096
READ_BYTES = 8192
HEALTH_PATH = "/health"


class Runner:
    """A runner whose connections are served by threads."""

    def __init__(self, case, name, answers_early):
        self.case, self.name, self.answers_early = case, name, answers_early
        self.foreign = []
        self.early_answers = 0
        self.listener = socket.socket()
        self.listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER)
        self.listener.bind(("127.0.0.1", 0))
        self.listener.listen(64)
        self.address = self.listener.getsockname()
        threading.Thread(target=self._accept, daemon=True).start()

    def entry(self):
        """Return the runner's entry in the store."""
        return {
            "service": "board-app",
            "address": "{}:{}".format(*self.address),
            "zone": "hafnar",
            "version": "v1",
            "slots": 6,
            "state": "ready",
            "cold_left_ms": 0,
            "seq": 1,
        }

    def _accept(self):
        while True:
            sock, _ = self.listener.accept()
            threading.Thread(target=self._serve_until_closed, args=(sock,), daemon=True).start()

    def _serve_until_closed(self, sock):
        try:
            self._serve(sock)
        except OSError as error:
            self.case.record.write(f"{self.name}: a connection broke: {error}")
        finally:
            sock.close()

    def _serve(self, sock):
        data = b""
        while True:
            while b"\r\n\r\n" not in data:
                more = sock.recv(READ_BYTES)
                if not more:
                    return
                data += more
            head, _, data = data.partition(b"\r\n\r\n")
            lines = head.decode("latin-1").split("\r\n")
            fields = {k.lower(): v.strip() for k, _, v in (line.partition(":") for line in lines)}
            length = int(fields.get("content-length", 0))
            request_id = fields.get("x-whinrack-request-id", "")
            if f" {HEALTH_PATH} " not in lines[0]:
                self.case.record.write(
                    f"{self.name} begins {request_id}: {lines[0]}, {length} bytes"
                )
            may_be_early = self.answers_early and not self.early_answers and self.case.has_trouble
            is_early = may_be_early and length == len(LONG_BODY)
            if is_early:
                data = self._read(sock, data, READ_BEFORE_ANSWER, request_id)
                self._answer(sock, request_id)
                self.early_answers += 1
                self.case.record.write(f"{self.name} has answered {request_id} and reads on later")
                time.sleep(PAUSE_SECONDS)
            data = self._read(sock, data, length, request_id)
            data = data[length:]
            if not is_early:
                self._answer(sock, request_id)

    def _read(self, sock, data, length, request_id):
        """Return at least `length` bytes; check each piece of a long body as it arrives."""
        parts, size = [data], len(data)
        while size < length:
            more = sock.recv(READ_BYTES)
            if not more:
                raise ConnectionError(f"it ended in the body of {request_id}")
            if length == len(LONG_BODY):
                self._check(more[: length - size], size, request_id)
            parts.append(more)
            size += len(more)
        return b"".join(parts)

    def _check(self, piece, start, request_id):
        other = piece.lstrip(b"L")
        if other:
            at = start + len(piece) - len(other)
            text = f"at byte {at} of the body of {request_id} {self.name} reads {other[:500]!r}"
            self.case.record.write(text)
            self.foreign.append(text)

    def _answer(self, sock, request_id):
        sock.sendall(
            b"HTTP/1.1 200 OK\r\nX-Whinrack-Request-Id: %b\r\nX-Whinrack-Response-Seal: %b\r\n"
            b"X-Whinrack-Instance-Id: %b\r\nContent-Length: 2\r\n\r\nok"
            % (request_id.encode(), f"seal-{request_id}".encode(), self.name.encode())
        )


def configuration():
    """Return a configuration with one route to the runners, for two tenants."""
    route = {"name": "post", "host": "board.example", "path_prefix": "/post/", "kind": "unsafe"}
    route |= {"service": "board-app", "timeout_ms": ROUTE_TIMEOUT_MS, "goal_ms": 400}
    route |= {"priority": 2, "max_attempts": 1}
    return {
        "version": 1,
        "routes": [route],
        "services": [{"name": "board-app", "health_path": HEALTH_PATH, "max_conns": 96}],
        "limits": {
            "max_header_bytes": 16_384,
            "max_body_bytes": 4_194_304,
            "header_timeout_ms": 3000,
            "idle_timeout_ms": 15_000,
        },
        "tenants": [
            {"name": "tenant-a", "api_keys": ["key-a"]},
            {"name": "tenant-b", "api_keys": ["key-b"]},
        ],
    }


def send(case, daemon, body, key):
    """Send one request on a connection of its own; return its status, 0 for none."""
    request_id = case.request_id()
    connection = daemon.connect(timeout=CLIENT_DEADLINE_MS / 1000)
    fields = {
        "Host": "board.example",
        "X-Whinrack-Request-Id": request_id,
        "X-Whinrack-Deadline-Ms": str(CLIENT_DEADLINE_MS),
        "Authorization": f"Token {key}",
    }
    case.record.write(f"client sends {request_id}, {len(body)} bytes")
    try:
        connection.request("POST", "/post/notice", body, fields)
        response = connection.getresponse()
        text = response.read()
        case.record.write(f"client gets {response.status} for {request_id}: {text!r}")
        return response.status
    except OSError as error:
        case.record.write(f"client gets no answer for {request_id}: {error!r}")
        return 0
    finally:
        connection.close()


def send_together(case, daemon):
    """Send one small request from each of several clients, and wait for the answers."""
    arguments = (case, daemon, b"notice of tenant b", "key-b")
    clients = [threading.Thread(target=send, args=arguments) for _ in range(CLIENTS)]
    for client in clients:
        client.start()
    for client in clients:
        client.join()


def play(case):
    """Return how the rule was broken."""
    store = case.start_store(configuration())
    runners = [Runner(case, "i-1", True), Runner(case, "i-2", False)]
    for runner in runners:
        store.write("servers", runner.name, runner.entry())
    (daemon,) = case.start_fleet(1)
    case.wait_until(lambda: send(case, daemon, b"warm", "key-a") == 200, 20, "a request is served")
    for _ in range(SMALL_REQUESTS):
        send(case, daemon, b"small", "key-a")
    for _ in range(MAX_LONG_REQUESTS):
        send(case, daemon, LONG_BODY, "key-a")
        send_together(case, daemon)
        if runners[0].early_answers:
            break
    time.sleep(PAUSE_SECONDS)
    if not any(runner.foreign for runner in runners) and daemon.process.poll() is not None:
        raise CaseNotRunError("the daemon has ended")
    return [text for runner in runners for text in runner.foreign]


if __name__ == "__main__":
    run_case(pathlib.Path(__file__).parent, play)
