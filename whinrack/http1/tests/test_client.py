"""What the side towards targets takes for an answer, and when it uses a connection again."""

import errno
import socket
import threading
import time
import types

import eventlet
import pytest

from whinrack.clock import steady
from whinrack.exceptions import AnswerCut, AttemptTimeout, TargetUnavailable
from whinrack.http1 import ConnectionPool, RequestHead, header_value
from whinrack.http1._sockets import receive
from whinrack.http1.tests._scripts import ScriptedServer, read_request, reset
from whinrack.keepalive import KEEPALIVE_OPTIONS

REQUEST = RequestHead(b"GET", b"/x", [(b"host", b"h"), (b"id", b"1")])
WHOLE = b"HTTP/1.1 200 OK\r\nid: 1\r\nContent-Length: 2\r\n\r\nok"
FOREIGN = b"HTTP/1.1 200 OK\r\nid: 9\r\nContent-Length: 3\r\n\r\nbad"


def is_own(headers):
    return header_value(headers, b"id") == b"1"


def soon():
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


def ask(pool, server, end=None):
    """Send a request and read its answer; the connection goes back to the pool."""
    end = end or soon()
    connection = pool.acquire(server.address, end)
    try:
        connection.send(REQUEST, b"", end)
        head = connection.read_head(end, is_own)
        return head, b"".join(connection.iter_data(end))
    finally:
        pool.release(connection)


def test_whole_answers_share_one_connection(serve):
    def script(sock):
        while True:
            read_request(sock)
            sock.sendall(WHOLE)

    server, pool = serve(script), ConnectionPool()
    for _ in range(3):
        assert ask(pool, server)[1] == b"ok"
    assert server.accepted == 1


def test_bytes_of_the_latest_request_and_its_answer_are_counted(serve):
    def script(sock):
        while True:
            read_request(sock)
            sock.sendall(WHOLE)

    pool, server = ConnectionPool(), serve(script)
    for _ in range(2):
        ask(pool, server)
    connection = pool.acquire(server.address, soon())
    assert (connection.sent_bytes, connection.received_bytes) == (35, len(WHOLE))


def test_an_unframed_answer_ends_with_its_connection(serve):
    def script(sock):
        read_request(sock)
        sock.sendall(b"HTTP/1.1 200 OK\r\nid: 1\r\n\r\nall of it")

    server, pool = serve(script), ConnectionPool()
    assert ask(pool, server)[1] == b"all of it"
    assert ask(pool, server)[1] == b"all of it"
    assert server.accepted == 2


def test_an_unframed_answer_that_is_reset_is_cut(serve):
    go_on = threading.Event()

    def script(sock):
        read_request(sock)
        sock.sendall(b"HTTP/1.1 200 OK\r\nid: 1\r\n\r\nhalf of")
        go_on.wait(5)
        reset(sock)

    server, pool = serve(script), ConnectionPool()
    end = soon()
    connection = pool.acquire(server.address, end)
    connection.send(REQUEST, b"", end)
    assert connection.read_head(end, is_own).status == 200
    assert connection.read_data(end) == b"half of"
    go_on.set()
    with pytest.raises(AnswerCut):
        connection.read_data(end)


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
def test_what_ends_early_is_cut(serve, data):
    def script(sock):
        read_request(sock)
        sock.sendall(data)

    with pytest.raises(AnswerCut):
        ask(ConnectionPool(), serve(script))


def test_late_answers_to_others_are_skipped(serve):
    def script(sock):
        read_request(sock)
        sock.sendall(FOREIGN + FOREIGN + WHOLE)
        read_request(sock)

    server, pool = serve(script), ConnectionPool()
    assert ask(pool, server)[1] == b"ok"


def test_a_connection_with_bytes_left_over_is_not_used_again(serve):
    def script(sock):
        read_request(sock)
        sock.sendall(WHOLE + FOREIGN)
        read_request(sock)

    server, pool = serve(script), ConnectionPool()
    assert ask(pool, server)[1] == b"ok"
    assert ask(pool, server)[1] == b"ok"
    assert server.accepted == 2


def test_a_connection_with_a_late_answer_is_not_used_again(serve):
    sent = threading.Event()

    def script(sock):
        read_request(sock)
        sock.sendall(WHOLE)
        time.sleep(0.05)
        sock.sendall(FOREIGN)
        sent.set()
        read_request(sock)

    server, pool = serve(script), ConnectionPool()
    assert ask(pool, server)[1] == b"ok"
    while not sent.is_set():
        eventlet.sleep(0.01)
    assert ask(pool, server)[1] == b"ok"
    assert server.accepted == 2


def test_a_connection_that_the_target_closes_is_not_used_again(serve):
    def script(sock):
        read_request(sock)
        sock.sendall(WHOLE.replace(b"id: 1", b"id: 1\r\nConnection: close"))

    server, pool = serve(script), ConnectionPool()
    assert ask(pool, server)[1] == b"ok"
    assert ask(pool, server)[1] == b"ok"
    assert server.accepted == 2


def test_a_connection_is_not_used_beyond_half_its_stated_idle_time(serve):
    def script(sock):
        while True:
            read_request(sock)
            sock.sendall(WHOLE.replace(b"id: 1", b"id: 1\r\nKeep-Alive: timeout=1"))

    server, pool = serve(script), ConnectionPool()
    ask(pool, server)
    connection = pool.acquire(server.address, soon())
    assert server.accepted == 1
    connection.released_at = steady() - 0.6
    assert not connection.prepare_reuse()


def test_silence_is_a_timeout(serve):
    release = threading.Event()

    def script(sock):
        read_request(sock)
        release.wait(5)

    with pytest.raises(AttemptTimeout):
        ask(ConnectionPool(), serve(script), steady() + 0.1)
    release.set()


def test_a_dead_port_is_told_apart_from_a_failed_answer():
    with socket.socket() as free:
        free.bind(("127.0.0.1", 0))
        address = free.getsockname()
    with pytest.raises(TargetUnavailable):
        ConnectionPool().acquire(address, soon())


def test_pieces_that_arrived_together_are_read_together(serve):
    def script(sock):
        read_request(sock)
        head = b"HTTP/1.1 200 OK\r\nid: 1\r\nTransfer-Encoding: chunked\r\n\r\n"
        sock.sendall(head + b"1\r\na\r\n1\r\nb\r\n1\r\nc\r\n0\r\n\r\n")
        read_request(sock)
        sock.sendall(WHOLE)

    server, pool, end = serve(script), ConnectionPool(), soon()
    connection = pool.acquire(server.address, end)
    connection.send(REQUEST, b"", end)
    connection.read_head(end, is_own)
    eventlet.sleep(0.05)
    assert list(connection.iter_data(end)) == [b"abc"]
    pool.release(connection)
    assert ask(pool, server)[1] == b"ok"


def test_what_came_before_broken_bytes_is_read_first(serve):
    def script(sock):
        read_request(sock)
        head = b"HTTP/1.1 200 OK\r\nid: 1\r\nTransfer-Encoding: chunked\r\n\r\n"
        sock.sendall(head + b"1\r\na\r\nnonsense\r\n")

    server, pool, end = serve(script), ConnectionPool(), soon()
    connection = pool.acquire(server.address, end)
    connection.send(REQUEST, b"", end)
    connection.read_head(end, is_own)
    eventlet.sleep(0.05)
    pieces = connection.iter_data(end)
    assert next(pieces) == b"a"
    with pytest.raises(AnswerCut):
        next(pieces)


def test_patience_with_new_connections_follows_what_they_usually_take(serve, monkeypatch):
    pool = ConnectionPool()
    assert pool.connect_timeout == 0.3
    clock = iter(range(1000))
    monkeypatch.setattr("whinrack.http1._client.steady", lambda: next(clock) / 10)
    server = serve(lambda sock: sock.recv(1))
    for _ in range(30):
        pool.acquire(server.address, 1e9).close()
    assert 0.7 < pool.connect_timeout < 0.9


def test_connections_to_targets_are_probed_by_the_kernel(serve):
    server = serve(lambda sock: None)
    connection = ConnectionPool().acquire(server.address, soon())
    for level, option, value in KEEPALIVE_OPTIONS:
        assert connection.sock.getsockopt(level, option) == value


class _Dead:
    """A socket whose probes went unanswered."""

    def recv(self, size):
        raise TimeoutError(errno.ETIMEDOUT, "Connection timed out")


def test_a_connection_that_the_kernel_gave_up_is_cut_and_not_slow():
    """A silent connection would else look like a target that takes its time."""
    with pytest.raises(ConnectionAbortedError):
        receive(types.SimpleNamespace(fd=_Dead()), 1, soon())


@pytest.mark.parametrize("framing", [b"Content-Length: 20", b"Connection: close"])
def test_an_answer_whose_target_started_anew_is_cut_at_once(serve, framing):
    def script(sock):
        read_request(sock)
        sock.sendall(b"HTTP/1.1 200 OK\r\nid: 1\r\n" + framing + b"\r\n\r\npart")
        time.sleep(3.0)

    server, pool = serve(script), ConnectionPool()
    end = soon()
    connection = pool.acquire(server.address, end)
    connection.send(REQUEST, b"", end)
    connection.read_head(end, is_own)
    eventlet.spawn_after(0.2, connection.abort)
    began = steady()
    with pytest.raises(AnswerCut):
        b"".join(connection.iter_data(end))
    assert steady() - began < 1.0


def test_idle_connections_to_an_address_are_forgotten(serve):
    def script(sock):
        while read_request(sock):
            sock.sendall(WHOLE)

    server, pool = serve(script), ConnectionPool()
    ask(pool, server)
    pool.close_idle(server.address)
    ask(pool, server)
    assert server.accepted == 2
