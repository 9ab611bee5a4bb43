"""Tests of response parsing, connection reuse and timeouts of the client for targets."""

import contextlib
import errno
import socket
import threading
import time
import types

import eventlet
import pytest

from whinrack.clock import steady
from whinrack.exceptions import AnswerCut, AttemptTimeout, CallerGone, TargetUnavailable
from whinrack.http1 import ConnectionPool, RequestHead, header_value
from whinrack.http1._send_buffer import SendBuffer
from whinrack.http1._sockets import receive
from whinrack.http1.tests._scripts import ScriptedServer, read_head, read_request, reset
from whinrack.keepalive import KEEPALIVE_OPTIONS

REQUEST = RequestHead(b"GET", b"/x", [(b"host", b"h"), (b"id", b"1")])
RESPONSE = b"HTTP/1.1 200 OK\r\nid: 1\r\nContent-Length: 2\r\n\r\nok"
UNRELATED = b"HTTP/1.1 200 OK\r\nid: 9\r\nContent-Length: 3\r\n\r\nbad"


def is_own(headers):
    return header_value(headers, b"id") == b"1"


def default_deadline():
    return steady() + 5.0


@pytest.fixture
def serve():
    servers = []

    def start(script):
        servers.append(ScriptedServer(script))
        return servers[-1]

    yield start
    for server in servers:
        server.close()


def send_request(pool, server, deadline=None):
    """Send a request, read its response and release the connection to the pool."""
    deadline = deadline or default_deadline()
    connection = pool.acquire(server.address, deadline)
    try:
        connection.send(REQUEST, b"")
        head = connection.read_head(deadline, is_own)
        return head, b"".join(connection.iter_data(deadline))
    finally:
        pool.release(connection)


def test_complete_responses_share_one_connection(serve):
    def script(sock):
        while True:
            read_request(sock)
            sock.sendall(RESPONSE)

    server, pool = serve(script), ConnectionPool()
    for _ in range(3):
        assert send_request(pool, server)[1] == b"ok"
    assert server.accepted == 1


def test_bytes_of_the_latest_request_and_its_response_are_counted(serve):
    def script(sock):
        while True:
            read_request(sock)
            sock.sendall(RESPONSE)

    pool, server = ConnectionPool(), serve(script)
    for _ in range(2):
        send_request(pool, server)
    connection = pool.acquire(server.address, default_deadline())
    assert (connection.sent_bytes, connection.received_bytes) == (35, len(RESPONSE))


def test_unframed_response_ends_with_its_connection(serve):
    def script(sock):
        read_request(sock)
        sock.sendall(b"HTTP/1.1 200 OK\r\nid: 1\r\n\r\nall of it")

    server, pool = serve(script), ConnectionPool()
    assert send_request(pool, server)[1] == b"all of it"
    assert send_request(pool, server)[1] == b"all of it"
    assert server.accepted == 2


def test_reset_unframed_response_raises_answer_cut(serve):
    may_reset = threading.Event()

    def script(sock):
        read_request(sock)
        sock.sendall(b"HTTP/1.1 200 OK\r\nid: 1\r\n\r\nhalf of")
        may_reset.wait(5)
        reset(sock)

    server, pool = serve(script), ConnectionPool()
    deadline = default_deadline()
    connection = pool.acquire(server.address, deadline)
    connection.send(REQUEST, b"")
    assert connection.read_head(deadline, is_own).status == 200
    assert connection.read_data(deadline) == b"half of"
    may_reset.set()
    with pytest.raises(AnswerCut):
        connection.read_data(deadline)


def test_reset_that_the_send_meets_is_no_end_of_the_connection(serve):
    """Guards against taking a target that resets each new connection for one that is reached."""
    is_connected, is_reset = threading.Event(), threading.Event()

    def script(sock):
        # An earlier reset may meet the connection attempt.
        is_connected.wait(5)
        reset(sock)
        is_reset.set()

    connection = ConnectionPool().acquire(serve(script).address, default_deadline())
    is_connected.set()
    assert is_reset.wait(5)
    connection.send(REQUEST, b"")
    with pytest.raises(AnswerCut):
        connection.read_head(default_deadline(), is_own)
    assert not connection.is_closed_by_target


@pytest.mark.parametrize(
    "data",
    [
        b"",
        b"HTTP/1.1 200 OK\r\nid: 1",
        b"HTTP/1.1 200 OK\r\nid: 1\r\nContent-Length: 20\r\n\r\nshort",
        b"HTTP/1.1 200 OK\r\nid: 1\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nshort\r\n",
        b"no answer at all\r\n\r\n",
    ],
)
def test_incomplete_response_raises_answer_cut(serve, data):
    def script(sock):
        read_request(sock)
        sock.sendall(data)

    with pytest.raises(AnswerCut):
        send_request(ConnectionPool(), serve(script))


@pytest.mark.parametrize(
    "line",
    [
        *[b"HTTP/1.1 %s Odd" % status for status in (b"000", b"001", b"099", b"600", b"999")],
        *[b"HTTP/2.0 200 OK", b"HTTP/0.9 200 OK", b"HTTP/1.1 0 Odd", b"HTTP/1.1 -1 Odd"],
        *[b"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 %s Odd" % status for status in (b"000", b"600")],
    ],
)
def test_response_with_an_invalid_status_line_raises_answer_cut(serve, line):
    def script(sock):
        read_request(sock)
        sock.sendall(line + RESPONSE[RESPONSE.index(b"\r\n") :])

    pool, server = ConnectionPool(), serve(script)
    with pytest.raises(AnswerCut):
        send_request(pool, server)
    assert server.accepted == 1


@pytest.mark.parametrize("line", [b"HTTP/1.0 200 OK", b"HTTP/1.1 299 Odd", b"HTTP/1.1 599 Odd"])
def test_response_with_an_unusual_status_line_is_passed_on(serve, line):
    def script(sock):
        read_request(sock)
        sock.sendall(line + RESPONSE[RESPONSE.index(b"\r\n") :])

    head, body = send_request(ConnectionPool(), serve(script))
    assert (head.status, body) == (int(line.split()[1]), b"ok")


def test_responses_to_other_requests_are_skipped(serve):
    def script(sock):
        read_request(sock)
        sock.sendall(UNRELATED + UNRELATED + RESPONSE)
        read_request(sock)

    server, pool = serve(script), ConnectionPool()
    assert send_request(pool, server)[1] == b"ok"


def test_connection_with_unread_bytes_is_not_reused(serve):
    def script(sock):
        read_request(sock)
        sock.sendall(RESPONSE + UNRELATED)
        read_request(sock)

    server, pool = serve(script), ConnectionPool()
    assert send_request(pool, server)[1] == b"ok"
    assert send_request(pool, server)[1] == b"ok"
    assert server.accepted == 2


def test_connection_with_a_late_response_is_not_reused(serve):
    is_sent = threading.Event()

    def script(sock):
        read_request(sock)
        sock.sendall(RESPONSE)
        time.sleep(0.05)
        sock.sendall(UNRELATED)
        is_sent.set()
        read_request(sock)

    server, pool = serve(script), ConnectionPool()
    assert send_request(pool, server)[1] == b"ok"
    while not is_sent.is_set():
        eventlet.sleep(0.01)
    assert send_request(pool, server)[1] == b"ok"
    assert server.accepted == 2


def test_connection_closed_by_the_target_is_not_reused(serve):
    def script(sock):
        read_request(sock)
        sock.sendall(RESPONSE.replace(b"id: 1", b"id: 1\r\nConnection: close"))

    server, pool = serve(script), ConnectionPool()
    assert send_request(pool, server)[1] == b"ok"
    assert send_request(pool, server)[1] == b"ok"
    assert server.accepted == 2


def test_connection_is_not_reused_after_half_its_stated_idle_time(serve):
    def script(sock):
        while True:
            read_request(sock)
            sock.sendall(RESPONSE.replace(b"id: 1", b"id: 1\r\nKeep-Alive: timeout=1"))

    server, pool = serve(script), ConnectionPool()
    send_request(pool, server)
    connection = pool.acquire(server.address, default_deadline())
    assert server.accepted == 1
    connection.released_at = steady() - 0.6
    assert not connection.prepare_reuse()


def test_missing_response_raises_attempt_timeout(serve):
    release = threading.Event()

    def script(sock):
        read_request(sock)
        release.wait(5)

    with pytest.raises(AttemptTimeout):
        send_request(ConnectionPool(), serve(script), steady() + 0.1)
    release.set()


def test_request_that_was_given_up_is_discarded_with_a_reset(serve):
    """Guards against requests that a broken path holds up and delivers after they were given up."""
    ends = []

    def script(sock):
        read_request(sock)
        try:
            ends.append(sock.recv(1))
        except ConnectionResetError:
            ends.append("reset")

    server = serve(script)
    with pytest.raises(AttemptTimeout):
        send_request(ConnectionPool(), server, steady() + 0.1)
    eventlet.sleep(0.2)
    assert ends == ["reset"]


def test_refused_connection_raises_target_unavailable():
    with socket.socket() as free:
        free.bind(("127.0.0.1", 0))
        address = free.getsockname()
    with pytest.raises(TargetUnavailable):
        ConnectionPool().acquire(address, default_deadline())


def test_chunks_received_together_are_returned_together(serve):
    def script(sock):
        read_request(sock)
        head = b"HTTP/1.1 200 OK\r\nid: 1\r\nTransfer-Encoding: chunked\r\n\r\n"
        sock.sendall(head + b"1\r\na\r\n1\r\nb\r\n1\r\nc\r\n0\r\n\r\n")
        read_request(sock)
        sock.sendall(RESPONSE)

    server, pool, deadline = serve(script), ConnectionPool(), default_deadline()
    connection = pool.acquire(server.address, deadline)
    connection.send(REQUEST, b"")
    connection.read_head(deadline, is_own)
    eventlet.sleep(0.05)
    assert list(connection.iter_data(deadline)) == [b"abc"]
    pool.release(connection)
    assert send_request(pool, server)[1] == b"ok"


def test_end_of_a_response_that_was_not_read_is_not_taken_for_the_next_response(serve):
    """Guards against a failed request after one whose caller left during the last write."""

    def script(sock):
        while True:
            read_request(sock)
            sock.sendall(b"HTTP/1.1 200 OK\r\nid: 1\r\nTransfer-Encoding: chunked\r\n\r\n")
            sock.sendall(b"2\r\nok\r\n0\r\n\r\n")

    server, pool, deadline = serve(script), ConnectionPool(), default_deadline()
    connection = pool.acquire(server.address, deadline)
    connection.send(REQUEST, b"")
    connection.read_head(deadline, is_own)
    eventlet.sleep(0.05)
    assert connection.read_data(deadline) == b"ok"
    pool.release(connection)
    assert send_request(pool, server)[1] == b"ok"
    assert server.accepted == 1


def test_data_before_malformed_bytes_is_returned_first(serve):
    def script(sock):
        read_request(sock)
        head = b"HTTP/1.1 200 OK\r\nid: 1\r\nTransfer-Encoding: chunked\r\n\r\n"
        sock.sendall(head + b"1\r\na\r\nnonsense\r\n")

    server, pool, deadline = serve(script), ConnectionPool(), default_deadline()
    connection = pool.acquire(server.address, deadline)
    connection.send(REQUEST, b"")
    connection.read_head(deadline, is_own)
    eventlet.sleep(0.05)
    parts = connection.iter_data(deadline)
    assert next(parts) == b"a"
    with pytest.raises(AnswerCut):
        next(parts)


def test_what_was_received_is_not_lost_if_the_reader_is_interrupted(serve, monkeypatch):
    """Guards against bytes that are lost when the caller leaves while other tasks have a turn."""
    body = b"a" * 1_000_000
    interruptions = [CallerGone("the caller disconnected")]

    def script(sock):
        read_request(sock)
        sock.sendall(b"HTTP/1.1 200 OK\r\nid: 1\r\nContent-Length: %d\r\n\r\n" % len(body))
        sock.sendall(body)
        time.sleep(1.0)

    def sleep(seconds=0):
        if interruptions:
            raise interruptions.pop()

    server, deadline, received = serve(script), default_deadline(), []
    connection = ConnectionPool().acquire(server.address, deadline)
    connection.send(REQUEST, b"")
    connection.read_head(deadline, is_own)
    eventlet.sleep(0.2)
    monkeypatch.setattr("whinrack.http1._client.eventlet.sleep", sleep)
    with pytest.raises(CallerGone):
        received += connection.iter_data(deadline)
    received += connection.iter_data(deadline)
    assert len(b"".join(received)) == len(body)


def test_connect_timeout_follows_the_average_connect_time(serve, monkeypatch):
    pool = ConnectionPool()
    assert pool.connect_timeout == 0.3
    clock = iter(range(1000))
    monkeypatch.setattr("whinrack.http1._client.steady", lambda: next(clock) / 10)
    server = serve(lambda sock: sock.recv(1))
    for _ in range(30):
        pool.acquire(server.address, 1e9).close()
    assert 0.7 < pool.connect_timeout < 0.9


def test_connections_to_targets_use_tcp_keepalive(serve):
    server = serve(lambda sock: None)
    connection = ConnectionPool().acquire(server.address, default_deadline())
    for level, option, value in KEEPALIVE_OPTIONS:
        assert connection.sock.getsockopt(level, option) == value


class _TimedOutSocket:
    """A socket whose TCP keepalive probes went unanswered."""

    def recv(self, size):
        raise TimeoutError(errno.ETIMEDOUT, "Connection timed out")


def test_keepalive_timeout_is_reported_as_a_lost_connection():
    """Guards against taking a lost connection for a target that is slow to respond."""
    with pytest.raises(ConnectionAbortedError):
        sock = types.SimpleNamespace(fd=_TimedOutSocket())
        receive(sock, 1, default_deadline(), SendBuffer(sock))


@pytest.mark.parametrize("framing", [b"Content-Length: 20", b"Connection: close"])
def test_abort_ends_a_pending_read_at_once(serve, framing):
    def script(sock):
        read_request(sock)
        sock.sendall(b"HTTP/1.1 200 OK\r\nid: 1\r\n" + framing + b"\r\n\r\npart")
        time.sleep(3.0)

    server, pool = serve(script), ConnectionPool()
    deadline = default_deadline()
    connection = pool.acquire(server.address, deadline)
    connection.send(REQUEST, b"")
    connection.read_head(deadline, is_own)
    eventlet.spawn_after(0.2, connection.abort)
    started_at = steady()
    with pytest.raises(AnswerCut):
        b"".join(connection.iter_data(deadline))
    assert steady() - started_at < 1.0


def test_close_idle_closes_the_connections_to_an_address(serve):
    def script(sock):
        while read_request(sock):
            sock.sendall(RESPONSE)

    server, pool = serve(script), ConnectionPool()
    send_request(pool, server)
    pool.close_idle(server.address)
    send_request(pool, server)
    assert server.accepted == 2


UPLOAD = RequestHead(b"POST", b"/x", [(b"host", b"h"), (b"id", b"1")])
# More than the buffers of both ends hold.
LONG_BODY = b"a" * 30_000_000
REJECTION = b"HTTP/1.1 413 Too Large\r\nid: 1\r\nContent-Length: 2\r\n\r\nno"


def upload(pool, server, deadline=None):
    """Send a request with a long body, and read its response; the connection stays in use."""
    deadline = deadline or default_deadline()
    connection = pool.acquire(server.address, deadline)
    connection.send(UPLOAD, LONG_BODY)
    head = connection.read_head(deadline, is_own)
    return connection, head, b"".join(connection.iter_data(deadline))


def read_to_end(sock):
    """Read until the connection ends and return what was received."""
    received = bytearray()
    try:
        while data := sock.recv(1_000_000):
            received += data
    except ConnectionResetError:
        pass
    return bytes(received)


def test_no_other_request_is_sent_in_place_of_the_rest_of_a_body(serve):
    """Guards against reuse of a connection on which a part of the request was never sent."""
    may_read, bodies = threading.Event(), []

    def script(sock):
        body = read_head(sock)[1]
        sock.sendall(REJECTION)
        may_read.wait(5)
        bodies.append(body + read_to_end(sock))

    server, pool = serve(script), ConnectionPool()
    # The deadline ends the send; the response was there all the time.
    connection, head, _ = upload(pool, server, steady() + 0.3)
    pool.release(connection)
    assert head.status == 413
    with contextlib.suppress(AttemptTimeout):
        send_request(pool, server, steady() + 0.2)
    may_read.set()
    while len(bodies) < 1:
        eventlet.sleep(0.01)
    assert not bodies[0].strip(b"a")
    assert server.accepted == 2


def test_response_is_read_while_the_request_is_still_being_sent(serve):
    """Guards against callers that learn of a rejection only when the send has ended."""
    may_end = threading.Event()

    def script(sock):
        read_head(sock)
        sock.sendall(REJECTION)
        may_end.wait(5)

    server, started_at = serve(script), steady()
    connection, head, body = upload(ConnectionPool(), server)
    assert (head.status, body) == (413, b"no")
    assert steady() - started_at < 1.0
    assert not connection.is_reusable()
    may_end.set()


def test_request_is_sent_to_its_end_while_the_response_is_read(serve):
    received = []

    def script(sock):
        _, body = read_head(sock)
        sock.sendall(b"HTTP/1.1 100 Continue\r\n\r\n" + UNRELATED)
        sock.sendall(b"HTTP/1.1 200 OK\r\nid: 1\r\nContent-Length: 4\r\n\r\nhe")
        while len(body) < len(LONG_BODY):
            body += sock.recv(1_000_000)
        received.append(body)
        sock.sendall(b"re")
        read_request(sock)
        sock.sendall(RESPONSE)

    server, pool = serve(script), ConnectionPool()
    connection, head, body = upload(pool, server)
    assert (head.status, body) == (200, b"here")
    assert received == [LONG_BODY]
    assert connection.sent_bytes > len(LONG_BODY)
    pool.release(connection)
    assert send_request(pool, server)[1] == b"ok"
    assert server.accepted == 1


def test_connection_whose_sending_side_is_closed_is_not_reused(serve):
    """Guards against requests on a connection whose caller left before its response."""

    def script(sock):
        read_request(sock)
        sock.sendall(RESPONSE)
        time.sleep(1.0)

    server, pool, deadline = serve(script), ConnectionPool(), default_deadline()
    connection = pool.acquire(server.address, deadline)
    connection.send(REQUEST, b"")
    connection.close_write()
    connection.read_head(deadline, is_own)
    assert list(connection.iter_data(deadline)) == [b"ok"]
    pool.release(connection)
    assert send_request(pool, server)[1] == b"ok"
    assert server.accepted == 2


def test_rest_of_a_request_is_dropped_when_its_caller_leaves(serve):
    may_read, bodies = threading.Event(), []

    def script(sock):
        _, body = read_head(sock)
        may_read.wait(5)
        bodies.append(body + read_to_end(sock))

    server, deadline = serve(script), default_deadline()
    connection = ConnectionPool().acquire(server.address, deadline)
    connection.send(UPLOAD, LONG_BODY)
    connection.close_write()
    may_read.set()
    with pytest.raises(AnswerCut):
        connection.read_head(deadline, is_own)
    assert not bodies[0].strip(b"a")
    assert len(bodies[0]) < len(LONG_BODY)


def test_early_response_before_a_reset_is_returned(serve):
    def script(sock):
        read_head(sock)
        sock.sendall(REJECTION)
        time.sleep(0.2)
        reset(sock)

    connection, head, body = upload(ConnectionPool(), serve(script))
    assert (head.status, body) == (413, b"no")
    assert not connection.is_reusable()
