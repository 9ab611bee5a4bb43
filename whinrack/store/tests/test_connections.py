"""Tests that a lost reply makes later calls open new connections."""

import socket
import threading
import time

import pytest
import urllib3
from returns.result import Failure, Success

from whinrack.exceptions import ReplyLost, WriteUnknown
from whinrack.keepalive import KEEPALIVE_OPTIONS
from whinrack.store import StoreConnections

_TIMEOUT = urllib3.Timeout(connect=1.0, read=0.2)
_REPLY = b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok"
_MAX_IDLE = 4


class Server:
    """Server that answers every request, except on silenced connections."""

    def __init__(self):
        self.sockets, self.silent = [], set()
        self.listener = socket.create_server(("127.0.0.1", 0))
        threading.Thread(target=self._accept, daemon=True).start()

    @property
    def address(self):
        return "{}:{}".format(*self.listener.getsockname())

    def _accept(self):
        while True:
            try:
                sock, _ = self.listener.accept()
            except OSError:
                return
            self.sockets.append(sock)
            threading.Thread(target=self._serve, args=(sock,), daemon=True).start()

    def _serve(self, sock):
        while sock.recv(65_536):
            if sock not in self.silent:
                sock.sendall(_REPLY)

    def silence_open(self):
        self.silent = set(self.sockets)


@pytest.fixture
def server():
    server = Server()
    yield server
    server.listener.close()


@pytest.fixture
def connections(server):
    """Return a client with several open idle connections."""
    client = StoreConnections(server.address, _MAX_IDLE)
    pool = client._pool
    opened = [pool._get_conn() for _ in range(_MAX_IDLE)]
    for connection in opened:
        connection.connect()
        pool._put_conn(connection)
    while len(server.sockets) < _MAX_IDLE:
        time.sleep(0.01)
    return client


def test_next_call_after_a_lost_reply_opens_a_new_connection(server, connections):
    assert isinstance(connections.call("GET", "/", _TIMEOUT), Success)
    server.silence_open()
    lost = connections.call("GET", "/", _TIMEOUT)
    assert isinstance(lost, Failure)
    assert isinstance(lost.failure(), ReplyLost)
    assert isinstance(connections.call("GET", "/", _TIMEOUT), Success)


def test_concurrent_calls_after_a_lost_reply_are_all_answered(server, connections):
    server.silence_open()
    connections.call("GET", "/", _TIMEOUT)
    results = []
    threads = [
        threading.Thread(target=_call, args=(connections, results)) for _ in range(_MAX_IDLE)
    ]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    assert [type(result) for result in results] == [Success] * _MAX_IDLE


def test_write_with_a_lost_reply_has_an_unknown_outcome(server, connections):
    connections.call("GET", "/", _TIMEOUT)
    server.silence_open()
    failure = connections.call("PUT", "/", _TIMEOUT, b"{}").failure()
    assert isinstance(failure, WriteUnknown)


def test_connections_use_tcp_keepalive(server, connections):
    connection = connections._pool._get_conn()
    for level, option, value in KEEPALIVE_OPTIONS:
        assert connection.sock.getsockopt(level, option) == value


def _call(connections, results):
    results.append(connections.call("GET", "/", _TIMEOUT))


def test_connection_is_not_kept_after_a_reply_to_a_request_that_was_not_sent_whole():
    """Guards against a request that the store takes for the rest of another one's body."""
    early = b"HTTP/1.1 413 Too Large\r\ncontent-length: 2\r\n\r\nno"
    accepted = []
    listener = socket.create_server(("127.0.0.1", 0))

    def answer_without_reading():
        for reply in (early, _REPLY):
            accepted.append(listener.accept()[0])
            accepted[-1].recv(1000)
            accepted[-1].sendall(reply)

    threading.Thread(target=answer_without_reading, daemon=True).start()
    client = StoreConnections("{}:{}".format(*listener.getsockname()), _MAX_IDLE)
    body = b"a" * 30_000_000
    assert isinstance(client.call("PUT", "/x", _TIMEOUT, body), Failure)
    reply = client.call("GET", "/x", _TIMEOUT).unwrap()
    assert (reply.status, len(accepted)) == (200, 2)
    listener.close()
