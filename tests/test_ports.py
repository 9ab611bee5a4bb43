"""Ports of started processes are not used by outgoing connections or other tests."""

import pathlib
import socket
import subprocess
import sys

from standins import ports

ROOT = pathlib.Path(__file__).resolve().parent.parent
_DEFAULT_FIRST_EPHEMERAL_PORT = 32_768


def first_ephemeral_port():
    """Return the first port of the system's range for outgoing connections."""
    path = pathlib.Path("/proc/sys/net/ipv4/ip_local_port_range")
    return int(path.read_text().split()[0]) if path.exists() else _DEFAULT_FIRST_EPHEMERAL_PORT


def test_free_ports_are_below_the_ephemeral_range():
    assert all(ports.reserve_port() < first_ephemeral_port() for _ in range(50))


def test_a_port_is_returned_once():
    given = [ports.reserve_port() for _ in range(200)]
    assert len(set(given)) == len(given)


def test_consecutive_ports_are_all_reserved(monkeypatch):
    first = ports.reserve_ports(5)
    # An earlier test may have reserved the next port already.
    after = next(port for port in range(first + 5, ports._LAST) if _can_be_reserved(port))
    monkeypatch.setattr(ports.random, "randrange", _return_in_turn(first + 2, first + 4, after))
    assert ports.reserve_port() == after


def _can_be_reserved(port):
    port_range = range(port, port + 1)
    if not ports._reserve(port_range):
        return False
    ports._unlock(port_range)
    return True


def test_another_process_does_not_get_a_reserved_port():
    port = ports.reserve_port()
    script = f"from standins import ports; print(ports._reserve(range({port}, {port + 1})))"
    result = subprocess.run(
        [sys.executable, "-c", script], cwd=ROOT, capture_output=True, text=True, check=True
    )
    assert result.stdout.strip() == "False"


def test_a_port_in_use_is_skipped(monkeypatch):
    with socket.socket() as listener:
        listener.bind(("127.0.0.1", 0))
        listener.listen()
        busy = listener.getsockname()[1]
        free = ports.reserve_port()
        ports._unlock([free])
        monkeypatch.setattr(ports.random, "randrange", _return_in_turn(busy, free))
        assert ports.reserve_port() == free


def _return_in_turn(*values):
    remaining = list(values)
    return lambda *_: remaining.pop(0)
