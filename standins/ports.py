"""Ports for the processes that tests, demo and benchmarks start.

A port that the system chose for a socket which was closed again may be given to an
outgoing connection before its new owner listens there. So these ports lie below the range
that the system gives to connections, and each is reserved by a lock on a file until this
process ends: neither it nor another run of the tests beside it takes the port twice.
"""

import fcntl
import pathlib
import random
import socket
import tempfile

__all__ = ["reserve_port", "reserve_ports"]

# Below the ports that the system gives to connections (from 32,768 on, unless set otherwise).
_FIRST, _LAST = 12_000, 31_000
_SOCKET_KINDS = (socket.SOCK_STREAM, socket.SOCK_DGRAM)
_LOCK_FOLDER = pathlib.Path(tempfile.gettempdir()) / "whinrack-ports"
# Open files whose locks hold the reservations of this process.
_open_lock_files: dict[int, object] = {}


def reserve_port() -> int:
    """Reserve a port on which nothing listens."""
    return reserve_ports(1)


def reserve_ports(count: int) -> int:
    """Reserve ports in a row; returns the first of them."""
    while True:
        first = random.randrange(_FIRST, _LAST - count)
        ports = range(first, first + count)
        if _reserve(ports):
            return first


def _reserve(ports: range) -> bool:
    """Reserve all of the ports, or none."""
    locked = []
    for port in ports:
        if not (_lock_port(port) and _is_free(port)):
            _unlock(locked)
            return False
        locked.append(port)
    return True


def _lock_port(port: int) -> bool:
    if port in _open_lock_files:
        return False
    _LOCK_FOLDER.mkdir(exist_ok=True)
    file = (_LOCK_FOLDER / str(port)).open("wb")
    try:
        fcntl.flock(file, fcntl.LOCK_EX | fcntl.LOCK_NB)
    except BlockingIOError:
        file.close()
        return False
    _open_lock_files[port] = file
    return True


def _unlock(ports: list[int]) -> None:
    for port in ports:
        _open_lock_files.pop(port).close()


def _is_free(port: int) -> bool:
    """Whether nothing listens on a port, at any address."""
    for kind in _SOCKET_KINDS:
        with socket.socket(socket.AF_INET, kind) as sock:
            try:
                sock.bind(("", port))
            except OSError:
                return False
    return True
