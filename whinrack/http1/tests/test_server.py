"""Tests of which requests the server accepts and of what callers receive."""

import contextlib
import socket
import threading
import time

import eventlet
import pytest
from eventlet.green import socket as green_socket

from whinrack.exceptions import CallerGone
from whinrack.http1 import CallerResources, HttpServer, ServerLimits
from whinrack.http1._connection import CallerConnection
from whinrack.http1.tests._green import run_green

CHUNKED = b"POST /x HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
GET = b"GET /x HTTP/1.1\r\nHost: h\r\n\r\n"
LIMITS = ServerLimits(
    head_bytes=2000, body_bytes=1000, head_seconds=0.3, body_seconds=0.3, idle_seconds=0.5
)


def echo(exchange):
    exchange.respond(200, [], exchange.head.method + b" " + exchange.body)


class Caller:
    """A client with a blocking socket; runs in a separate thread from the server's hub."""

    def __init__(self, address):
        self.sock = socket.create_connection(address, timeout=10)

    def send(self, data):
        self.sock.sendall(data)

    def read_all(self):
        parts = []
        while data := self.sock.recv(65536):
            parts.append(data)
        return b"".join(parts)

    def read_until(self, mark):
        data = b""
        while mark not in data:
            more = self.sock.recv(65536)
            if not more:
                break
            data += more
        return data


def serve(handle, client, closing=False, resources=None):
    """Run a server and a client function against it; return the function's result."""

    def run_server():
        server = HttpServer(
            ("127.0.0.1", 0),
            handle,
            lambda refusal: (refusal.status, [], refusal.code.encode()),
            lambda: LIMITS,
            resources,
        )
        server.is_closing = closing
        server.start()
        return lambda: client(Caller(server.address))

    return run_green(run_server)


def test_requests_share_a_connection():
    def client(caller):
        caller.send(GET)
        first = caller.read_until(b"GET ")
        caller.send(b"POST /y HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\nabc")
        return first, caller.read_until(b"POST abc")

    first, second = serve(echo, client)
    assert first.startswith(b"HTTP/1.1 200") and second.endswith(b"POST abc")


def test_chunked_body_is_read_completely():
    def client(caller):
        caller.send(b"POST /y HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n")
        caller.send(b"2\r\nab\r\n1\r\nc\r\n0\r\n\r\n")
        return caller.read_until(b"POST abc")

    assert b"POST abc" in serve(echo, client)


@pytest.mark.parametrize(
    ("request_bytes", "status"),
    [
        (b"nonsense\r\n\r\n", b"400"),
        (b"GET /x HTTP/1.1\r\nHost: h\r\nA: " + b"a" * 2100 + b"\r\n\r\n", b"431"),
        (b"GET /x HTTP/1.1\r\nHost: h\r\nA: " + b"a" * 70_000, b"431"),
        (b"POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: 1001\r\n\r\n" + b"a" * 1001, b"413"),
        (b"POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: 1001\r\n\r\n", b"413"),
        (
            b"POST /x HTTP/1.1\r\nHost: h\r\nExpect: 100-continue\r\nContent-Length: 1001\r\n\r\n",
            b"413",
        ),
        (CHUNKED + b"3e9\r\n", b"413"),
        (CHUNKED + b"1;" + b"a" * 2100, b"431"),
        (CHUNKED + b"0\r\n" + b"a: b\r\n" * 400, b"431"),
        (CHUNKED + b"3\r\nabcd\r\n0\r\n\r\n", b"400"),
        (CHUNKED + b"3\r\nabc\r\n", b"408"),
        (b"GET /x HTTP/1.1\r\nHo", b"408"),
        (b"POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: 10\r\n\r\nabc", b"408"),
    ],
)
def test_requests_over_a_limit_are_refused_and_the_connection_is_closed(request_bytes, status):
    def client(caller):
        caller.send(request_bytes)
        return caller.read_all()

    assert serve(echo, client).startswith(b"HTTP/1.1 " + status)


def test_idle_connection_is_closed():
    assert serve(echo, lambda caller: caller.read_all()) == b""


def test_disconnect_raises_caller_gone_in_the_handler():
    is_caller_gone, is_handling = threading.Event(), threading.Event()

    def wait(exchange):
        import eventlet

        is_handling.set()
        try:
            eventlet.sleep(30)
        except CallerGone:
            is_caller_gone.set()
            raise

    def client(caller):
        caller.send(GET)
        is_handling.wait(10)
        caller.sock.close()
        return is_caller_gone.wait(10)

    assert serve(wait, client)


def test_chunked_response_ends_with_its_last_chunk():
    def chunked(exchange):
        exchange.start_response(200, [])
        exchange.write(b"one")
        exchange.write(b"two")
        exchange.finish()

    def client(caller):
        caller.send(GET)
        return caller.read_until(b"0\r\n\r\n")

    assert serve(chunked, client).endswith(b"3\r\none\r\n3\r\ntwo\r\n0\r\n\r\n")


def test_unfinished_response_has_no_last_chunk():
    def unfinished(exchange):
        exchange.start_response(200, [])
        exchange.write(b"one")

    def client(caller):
        caller.send(GET)
        return caller.read_all()

    data = serve(unfinished, client)
    assert data.endswith(b"3\r\none\r\n")


def test_http_1_0_caller_sees_an_unfinished_response_as_a_reset():
    def unfinished(exchange):
        exchange.start_response(200, [])
        exchange.write(b"one")

    def client(caller):
        caller.send(b"GET /x HTTP/1.0\r\nHost: h\r\n\r\n")
        try:
            caller.read_all()
        except ConnectionResetError:
            return "reset"
        return "whole"

    assert serve(unfinished, client) == "reset"


def test_pipelined_request_is_answered():
    def client(caller):
        caller.send(GET + GET)
        return caller.read_until(b"GET ") + caller.read_until(b"GET ")

    assert serve(echo, client).count(b"HTTP/1.1 200") == 2


def test_request_after_a_chunked_one_with_trailers_is_answered():
    def client(caller):
        caller.send(CHUNKED + b"3\r\nabc\r\n0\r\nt: v\r\n\r\n" + GET + CHUNKED + b"0\r\n\r\n" + GET)
        return (
            caller.read_until(b"POST abc") + caller.read_until(b"GET ") + caller.read_until(b"GET ")
        )

    assert serve(echo, client).count(b"HTTP/1.1 200") == 4


def test_requests_far_ahead_are_answered():
    """Guards against taking a caller for gone that sent more ahead than is read ahead."""
    is_handling, may_answer = threading.Event(), threading.Event()

    def wait(exchange):
        is_handling.set()
        while not may_answer.is_set():
            eventlet.sleep(0.01)
        exchange.respond(200, [], b"")

    def client(caller):
        count = 400_000 // len(GET)
        caller.sock.settimeout(5)
        thread = threading.Thread(target=caller.send, args=(GET * count,))
        thread.start()
        is_handling.wait(5)
        thread.join(0.3)
        may_answer.set()
        data = b""
        while data.count(b"HTTP/1.1 200") < count:
            data += caller.sock.recv(65536)
        return True

    assert serve(wait, client)


def test_caller_that_leaves_after_sending_far_ahead_is_noticed():
    is_caller_gone, is_handling = threading.Event(), threading.Event()

    def wait(exchange):
        is_handling.set()
        try:
            eventlet.sleep(30)
        except CallerGone:
            is_caller_gone.set()
            raise

    def client(caller):
        caller.send(GET * (100_000 // len(GET)))
        is_handling.wait(10)
        caller.sock.close()
        return is_caller_gone.wait(10)

    assert serve(wait, client)


def test_response_that_is_not_read_is_broken_off_for_another_one():
    resources = CallerResources(max_bytes=10_000_000)
    sizes = {b"/x": 8_000_000, b"/y": 6_000_000}

    def client(caller):
        other = Caller(caller.sock.getpeername())
        caller.send(GET)
        while not resources.held_bytes:
            time.sleep(0.01)
        other.send(GET.replace(b"/x", b"/y").replace(b"\r\n\r\n", b"\r\nConnection: close\r\n\r\n"))
        whole = other.read_all()
        with contextlib.suppress(ConnectionResetError):
            assert len(caller.read_all()) < sizes[b"/x"]
        return whole

    def answer(exchange):
        exchange.respond(200, [], b"a" * sizes[exchange.head.target])

    assert serve(answer, client, resources=resources).endswith(b"a" * sizes[b"/y"])
    assert resources.held_bytes == 0


def test_idle_connection_is_closed_for_a_new_one():
    def client(caller):
        others = [Caller(caller.sock.getpeername()) for _ in range(3)]
        others[-1].send(GET)
        return caller.read_all() + others[-1].read_until(b"GET ")

    assert b"200" in serve(echo, client, resources=CallerResources(max_connections=2))


def test_closing_server_sends_connection_close():
    def client(caller):
        caller.send(GET)
        return caller.read_all()

    assert b"connection: close" in serve(echo, client, closing=True).lower()


def test_request_of_a_disconnected_caller_is_not_handled():
    """Guards against handling a request whose caller disconnected while it waited to be read."""
    handled = []

    def run_server():
        server = HttpServer(("127.0.0.1", 0), handled.append, limits=lambda: LIMITS)
        server_end, client_end = green_socket.socketpair()

        def client():
            client_end.fd.sendall(GET)
            client_end.fd.close()
            eventlet.spawn(CallerConnection(server, server_end).serve).wait()

        eventlet.spawn(client).wait()
        return lambda: None

    run_green(run_server)
    assert handled == []


def test_handler_is_not_interrupted_again_after_a_failed_write():
    """Guards against a run that is left unsettled since its end was interrupted."""
    outcomes = []

    def run_server():
        server_end, client_end = green_socket.socketpair()

        def leave_and_write(exchange):
            client_end.fd.close()
            try:
                exchange.start_response(200, [])
            except CallerGone:
                outcomes.append("gone")
                eventlet.sleep(0.1)
                outcomes.append("ended")
                raise

        server = HttpServer(("127.0.0.1", 0), leave_and_write, limits=lambda: LIMITS)
        client_end.fd.sendall(GET)
        eventlet.spawn(CallerConnection(server, server_end).serve).wait()
        return lambda: None

    run_green(run_server)
    assert outcomes == ["gone", "ended"]
