"""Port reservation for the processes that tests, the demo and benchmarks start.

If the system chooses a port by binding and closing a socket, it may assign the same port to an
outgoing connection before the new process listens on it. Therefore the ports are chosen below the
ephemeral port range, and each is reserved by a file lock until this process ends, so that
neither this process nor a concurrent test run uses a port twice.
"""

import fcntl
import pathlib
import random
import socket
import tempfile

__all__ = ["reserve_port", "reserve_ports"]

# Below the ephemeral port range, which starts at 32,768 by default.
_FIRST, _LAST = 12_000, 31_000
_SOCKET_KINDS = (socket.SOCK_STREAM, socket.SOCK_DGRAM)
_LOCK_FOLDER = pathlib.Path(tempfile.gettempdir()) / "whinrack-ports"
# Open lock files by port; their locks hold the reservations of this process.
_open_lock_files: dict[int, object] = {}


def reserve_port() -> int:
    """Reserve one free port."""
    return reserve_ports(1)


def reserve_ports(count: int) -> int:
    """Reserve consecutive ports and return the first one."""
    while True:
        first = random.randrange(_FIRST, _LAST - count)
        ports = range(first, first + count)
        if _reserve(ports):
            return first


def _reserve(ports: range) -> bool:
    """Reserve all of the ports, or none; return whether it succeeded."""
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
    """Check whether a port can be bound on all addresses, for TCP and UDP."""
    for kind in _SOCKET_KINDS:
        with socket.socket(socket.AF_INET, kind) as sock:
            try:
                sock.bind(("", port))
            except OSError:
                return False
    return True
