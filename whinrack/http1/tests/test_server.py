"""What the side towards callers accepts, and what callers see of it."""

import socket
import threading

import eventlet
import pytest
from eventlet.green import socket as green_socket

from whinrack.exceptions import CallerGone
from whinrack.http1 import HttpServer, ServerLimits
from whinrack.http1._connection import CallerConnection
from whinrack.http1.tests._green import run_green

GET = b"GET /x HTTP/1.1\r\nHost: h\r\n\r\n"
LIMITS = ServerLimits(
    head_bytes=2000, body_bytes=1000, head_seconds=0.3, body_seconds=0.3, idle_seconds=0.5
)


def echo(exchange):
    exchange.respond(200, [], exchange.head.method + b" " + exchange.body)


class Caller:
    """A plain socket in a thread of its own, so that the server's hub runs on."""

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


def serve(handle, talk, closing=False):
    """Run a server and a caller's script against it; returns what the script returns."""

    def main():
        server = HttpServer(
            ("127.0.0.1", 0),
            handle,
            lambda refusal: (refusal.status, [], refusal.code.encode()),
            lambda: LIMITS,
        )
        server.is_closing = closing
        server.start()
        return lambda: talk(Caller(server.address))

    return run_green(main)


def test_requests_share_a_connection_until_the_caller_closes():
    def talk(caller):
        caller.send(GET)
        first = caller.read_until(b"GET ")
        caller.send(b"POST /y HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\nabc")
        return first, caller.read_until(b"POST abc")

    first, second = serve(echo, talk)
    assert first.startswith(b"HTTP/1.1 200") and second.endswith(b"POST abc")


def test_bodies_in_chunks_are_read_whole():
    def talk(caller):
        caller.send(b"POST /y HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n")
        caller.send(b"2\r\nab\r\n1\r\nc\r\n0\r\n\r\n")
        return caller.read_until(b"POST abc")

    assert b"POST abc" in serve(echo, talk)


@pytest.mark.parametrize(
    ("request_bytes", "status"),
    [
        (b"nonsense\r\n\r\n", b"400"),
        (b"GET /x HTTP/1.1\r\nHost: h\r\nA: " + b"a" * 2100 + b"\r\n\r\n", b"431"),
        (b"GET /x HTTP/1.1\r\nHost: h\r\nA: " + b"a" * 70_000, b"431"),
        (b"POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: 1001\r\n\r\n" + b"a" * 1001, b"413"),
        (b"GET /x HTTP/1.1\r\nHo", b"408"),
        (b"POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: 10\r\n\r\nabc", b"408"),
    ],
)
def test_what_goes_past_a_limit_is_refused_and_the_connection_closed(request_bytes, status):
    def talk(caller):
        caller.send(request_bytes)
        return caller.read_all()

    assert serve(echo, talk).startswith(b"HTTP/1.1 " + status)


def test_an_idle_connection_is_closed():
    assert serve(echo, lambda caller: caller.read_all()) == b""


def test_a_callers_leaving_is_raised_in_the_handler():
    left, started = threading.Event(), threading.Event()

    def wait_for_ever(exchange):
        import eventlet

        started.set()
        try:
            eventlet.sleep(30)
        except CallerGone:
            left.set()
            raise

    def talk(caller):
        caller.send(GET)
        started.wait(10)
        caller.sock.close()
        return left.wait(10)

    assert serve(wait_for_ever, talk)


def test_an_answer_in_pieces_ends_with_its_last_chunk():
    def pieces(exchange):
        exchange.start_response(200, [])
        exchange.write(b"one")
        exchange.write(b"two")
        exchange.finish()

    def talk(caller):
        caller.send(GET)
        return caller.read_until(b"0\r\n\r\n")

    assert serve(pieces, talk).endswith(b"3\r\none\r\n3\r\ntwo\r\n0\r\n\r\n")


def test_an_answer_that_is_left_without_an_end_has_no_last_chunk():
    def half(exchange):
        exchange.start_response(200, [])
        exchange.write(b"one")

    def talk(caller):
        caller.send(GET)
        return caller.read_all()

    data = serve(half, talk)
    assert data.endswith(b"3\r\none\r\n")


def test_an_old_caller_sees_a_broken_off_answer_as_a_reset():
    def half(exchange):
        exchange.start_response(200, [])
        exchange.write(b"one")

    def talk(caller):
        caller.send(b"GET /x HTTP/1.0\r\nHost: h\r\n\r\n")
        try:
            caller.read_all()
        except ConnectionResetError:
            return "reset"
        return "whole"

    assert serve(half, talk) == "reset"


def test_a_request_that_follows_at_once_is_answered_too():
    def talk(caller):
        caller.send(GET + GET)
        return caller.read_until(b"GET ") + caller.read_until(b"GET ")

    assert serve(echo, talk).count(b"HTTP/1.1 200") == 2


def test_a_closing_server_says_so_with_its_answer():
    def talk(caller):
        caller.send(GET)
        return caller.read_all()

    assert b"connection: close" in serve(echo, talk, closing=True).lower()


def test_a_request_whose_caller_left_before_it_was_read_is_not_handled():
    """A caller gives up a request that waits unread; work on it would be in vain."""
    handled = []

    def main():
        server = HttpServer(("127.0.0.1", 0), handled.append, limits=lambda: LIMITS)
        here, there = green_socket.socketpair()

        def talk():
            there.fd.sendall(GET)
            there.fd.close()
            eventlet.spawn(CallerConnection(server, here).serve).wait()

        eventlet.spawn(talk).wait()
        return lambda: None

    run_green(main)
    assert handled == []
