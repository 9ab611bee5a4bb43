"""Tests of what callers may take up of an instance, and of the log of closed connections."""

import pytest

from whinrack.edge import EdgeOptions
from whinrack.edge._caller_limits import SheddingLog, caller_resources
from whinrack.http1 import ShedReason
from whinrack.observability import Event, Metrics

_ADDRESS = ("127.0.0.1", 1)


def resources_of(memory_bytes, max_sockets):
    options = EdgeOptions(
        name="m1",
        data_hall="z",
        callers=_ADDRESS,
        directory=None,
        ready=None,
        gossip=_ADDRESS,
        memory_bytes=memory_bytes,
        max_sockets=max_sockets,
    )
    return caller_resources(options, SheddingLog(Metrics()))


@pytest.mark.parametrize("memory_bytes", [88_000_000, 128_000_000, 300_000_000, 2_000_000_000])
@pytest.mark.parametrize("max_sockets", [100, 3_900, 1_000_000])
def test_buffers_of_all_connections_have_room_in_a_quarter_of_the_memory(memory_bytes, max_sockets):
    resources = resources_of(memory_bytes, max_sockets)
    buffers = 4 * resources.socket_buffer_bytes * resources.max_connections
    assert buffers <= memory_bytes / 4
    assert 1 <= resources.max_connections <= 3 / 4 * max_sockets
    assert resources.max_bytes == memory_bytes // 8


def test_unknown_memory_and_sockets_limit_no_ordinary_caller():
    resources = resources_of(0, 0)
    assert resources.max_bytes >= 200_000_000
    assert resources.max_connections >= 3_000


def test_closed_connections_are_counted_and_logged_once_a_second(monkeypatch):
    lines, now = [], [10.0]
    monkeypatch.setattr("whinrack.edge._caller_limits.steady", lambda: now[0])
    monkeypatch.setattr(
        "whinrack.edge._caller_limits.log_event",
        lambda event, **fields: lines.append((event, fields)),
    )
    metrics = Metrics()
    log = SheddingLog(metrics)
    for _ in range(3):
        log.record(ShedReason.MEMORY)
    now[0] += 1.0
    log.record(ShedReason.CONNECTIONS)
    none = {str(reason): 0 for reason in ShedReason}
    assert lines == [
        (Event.CONNECTIONS_SHED, none | {"memory": 1}),
        (Event.CONNECTIONS_SHED, none | {"memory": 2, "connections": 1}),
    ]
    assert metrics.shed_connections.labels("memory")._value.get() == 3
