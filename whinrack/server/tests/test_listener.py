"""The listening socket outlives failures to accept, and shares its port with no one."""

import errno
import socket

import eventlet
import pytest

from whinrack.server._listener import CallerListener

_DEADLINE_SECONDS = 5.0


@pytest.fixture
def listener():
    listener = CallerListener(("127.0.0.1", 0))
    yield listener
    listener.close()


def fail_once(monkeypatch, listener, number):
    """Make the next accept fail with an error number."""
    accept, errors = listener._sock.accept, [OSError(number, "failed")]

    def fail_or_accept():
        if errors:
            raise errors.pop()
        return accept()

    monkeypatch.setattr(listener._sock, "accept", fail_or_accept)


# The WSGI server raises the first two errors and takes the third for the end of its socket.
@pytest.mark.parametrize("number", [errno.EMFILE, errno.ECONNABORTED, errno.ECONNRESET])
def test_a_failed_accept_is_repeated(monkeypatch, listener, number):
    fail_once(monkeypatch, listener, number)
    with (
        eventlet.Timeout(_DEADLINE_SECONDS),
        socket.create_connection(listener.getsockname()) as caller,
    ):
        accepted, address = listener.accept()
        assert address == caller.getsockname()
        accepted.close()


def test_accept_fails_once_the_listener_is_closed(listener):
    listener.close()
    with eventlet.Timeout(_DEADLINE_SECONDS), pytest.raises(OSError):
        listener.accept()


def test_an_address_in_use_is_refused(listener):
    with pytest.raises(OSError, match="in use"):
        CallerListener(listener.getsockname())
