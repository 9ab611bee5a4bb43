"""A runner answers a long request early and reads the rest of its body later.

The daemon gives up sending the body when the request's deadline passes, but keeps the connection
for the next request.
"""

import http.client
import pathlib
import socket
import sys
import threading
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

import harness  # noqa: E402
from fake_platform import HEALTH_PATH, configuration  # noqa: E402

# Limits of the sheet: `max_body_bytes` of the small sites, and the deadline of `rig-reserve`.
_MAX_BODY_BYTES = 4_194_304
_DEADLINE_MS = 1500
_BODY = b"A" * 4_190_000
_SECOND_BODY = b"B" * 600
# The runner goes on reading this long after its early answer.
_PAUSE_SECONDS = 2.6
# When the second request is sent, after the first one.
_SECOND_AFTER_SECONDS = 1.9
_READ_BYTES = 4_096
# Small, so that a runner that doesn't read holds the sender up.
_RECEIVE_BUFFER = 4_096
# `garble`: half of the runners, and two in a hundred of their answers.
_RUNNERS = 2
_ANSWERS_BEFORE = 50
_MOST_WARM_UPS = 400
# Requests that are sent at once after the long one.
_SECOND_REQUESTS = 6


class EarlyRunner:
    """Runner that rejects long requests before they are in, and keeps the connection.

    Attributes
    ----------
    foreign : list of bytes
        Bytes received in place of the rest of a long body.
    """

    def __init__(self, case, name, pause):
        self.record, self.name, self.pause = case.record, name, pause
        self.foreign, self.runs = [], 0
        self.listener = socket.socket()
        self.listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, _RECEIVE_BUFFER)
        self.listener.bind(("127.0.0.1", 0))
        self.listener.listen()
        self.address = self.listener.getsockname()
        threading.Thread(target=self._accept, daemon=True).start()
        host, port = self.address
        entry = {"service": "app", "address": f"{host}:{port}", "zone": "hafnar", "version": "v1"}
        entry |= {"slots": 6, "state": "ready", "cold_left_ms": 0, "seq": 1}
        case.store.write("servers", name, entry)

    def _accept(self):
        number = 0
        while True:
            sock, _ = self.listener.accept()
            number += 1
            threading.Thread(target=self._serve, args=(sock, number), daemon=True).start()

    def _serve(self, sock, number):
        data = b""
        try:
            while True:
                while b"\r\n\r\n" not in data:
                    received = sock.recv(_READ_BYTES)
                    if not received:
                        return
                    data += received
                head, _, data = data.partition(b"\r\n\r\n")
                data = self._handle(sock, number, head, data)
        except (OSError, EOFError) as error:
            self.record.write(f"{self.name}, connection {number}: ended: {error!r}")
        finally:
            sock.close()

    def _handle(self, sock, number, head, data):
        lines = head.split(b"\r\n")
        fields = dict(line.lower().split(b": ", 1) for line in lines[1:])
        length = int(fields.get(b"content-length", b"0"))
        path = lines[0].split()[1].decode()
        if path == HEALTH_PATH:
            sock.sendall(
                b"HTTP/1.1 200 OK\r\nX-Whinrack-Instance-Id: %b\r\nContent-Length: 0\r\n\r\n"
                % self.name.encode()
            )
            return data
        request_id = fields[b"x-whinrack-request-id"]
        if length < len(_BODY):
            body, data = self._read(sock, data, length)
            self.runs += 1
            self.record.write(f"{self.name}, connection {number}: runs {request_id.decode()}")
            self._answer(sock, request_id, b"200 OK", b"whole " + body)
            return data
        self._answer(sock, request_id, b"413 Too Large", b"too large")
        self.record.write(
            f"{self.name}, connection {number}: rejected {request_id.decode()} early and pauses"
        )
        time.sleep(self.pause)
        body, data = self._read(sock, data, length)
        return data

    def _answer(self, sock, request_id, status, body, more=b""):
        sock.sendall(
            b"HTTP/1.1 %b\r\nX-Whinrack-Request-Id: %b\r\nX-Whinrack-Response-Seal: seal\r\n"
            b"%bContent-Length: %d\r\n\r\n%b" % (status, request_id, more, len(body), body)
        )

    def _read(self, sock, data, length):
        """Read a body; what is not its own is recorded."""
        own = _BODY[:1] if length == len(_BODY) else _SECOND_BODY[:1]
        received = 0
        while True:
            part, rest = data[: length - received], data[length - received :]
            if part.strip(own):
                place = received + len(part) - len(part.lstrip(own))
                foreign = part.strip(own)
                self.foreign.append(foreign)
                self.record.write(
                    f"{self.name}: from byte {place} of a body of {length} bytes: {foreign[:400]!r}"
                )
            received += len(part)
            if received == length:
                return own * length, rest
            data = sock.recv(_READ_BYTES)
            if not data:
                raise EOFError(f"the body ended after {received} of {length} bytes")


def _send(case, daemon, body, answers, key):
    """Send a request as a client, and record its answer."""
    request_id = case.request_id()
    headers = {"Host": "h.example", "X-Whinrack-Request-Id": request_id}
    headers |= {"Authorization": f"Token {key}", "X-Whinrack-Deadline-Ms": str(_DEADLINE_MS)}
    case.record.write(f"client: sends {request_id}, {len(body)} bytes")
    connection = daemon.connect()
    try:
        connection.request("POST", "/p/x", body, headers)
        response = connection.getresponse()
        answers.append(response.status)
        case.record.write(f"client: {request_id}: {response.status}, {len(response.read())} bytes")
    except (OSError, http.client.HTTPException) as error:
        answers.append(0)
        case.record.write(f"client: {request_id}: {error!r}")
    finally:
        connection.close()


def play(case):
    """Send a long request, which is rejected early, and short ones of another tenant after it."""
    limits = {"max_header_bytes": 16_384, "max_body_bytes": _MAX_BODY_BYTES}
    limits |= {"header_timeout_ms": 3000, "idle_timeout_ms": 15_000}
    case.start_store(configuration(limits=limits))
    pause = _PAUSE_SECONDS if case.has_trouble else 0.0
    runners = [EarlyRunner(case, f"app-{number}", pause) for number in range(_RUNNERS)]
    (daemon,) = case.start_fleet(1)
    warm_up = []
    while min(runner.runs for runner in runners) < _ANSWERS_BEFORE:
        if len(warm_up) >= _MOST_WARM_UPS:
            raise harness.CaseNotRunError("a runner gets too few requests")
        _send(case, daemon, _SECOND_BODY, warm_up, "k1")
        time.sleep(0.01)
    answers = []
    threads = [threading.Thread(target=_send, args=(case, daemon, _BODY, answers, "k1"))]
    threads[0].start()
    time.sleep(_SECOND_AFTER_SECONDS)
    for _ in range(_SECOND_REQUESTS):
        arguments = (case, daemon, _SECOND_BODY, answers, "k2")
        threads.append(threading.Thread(target=_send, args=arguments))
        threads[-1].start()
    for thread in threads:
        thread.join()
    time.sleep(1.0)
    if not any(answers):
        raise harness.CaseNotRunError("no request was answered")
    return [
        f"where the rest of a body was due, the runner received {len(foreign)} other bytes"
        for runner in runners
        for foreign in runner.foreign
    ]


harness.run_case(FOLDER, play)
