"""Events between the choice of a target and the first byte that is sent to it."""

import types

import pytest

from whinrack.clock import steady
from whinrack.dispatch import (
    Configuration,
    Dialect,
    Dispatcher,
    DispatchOptions,
    IncomingRequest,
    PoolRecord,
    Route,
    RouteKind,
    TargetRecord,
    TargetRegistry,
    TargetsView,
    WeightedPool,
)
from whinrack.dispatch._request_run import RequestRun
from whinrack.dispatch._route_history import RouteHistory
from whinrack.exceptions import TargetUnavailable
from whinrack.http1 import Exchange, RequestHead, ServerLimits
from whinrack.observability import Metrics


class Connection:
    """Stand-in that records what is sent and never answers."""

    def __init__(self, address, sent):
        self.address, self.sent = address, sent

    def send(self, head, body):
        self.sent.append(self.address)

    def read_head(self, deadline, is_own_response):
        raise TargetUnavailable("nothing should have been sent here")


class SlowConnections:
    """Stand-in for connections that open slowly, while `on_open` is called."""

    def __init__(self, on_open):
        self.on_open = on_open
        self.opened, self.sent = [], []

    def acquire(self, address, deadline):
        self.opened.append(address)
        self.on_open(address)
        return Connection(address, self.sent)

    def release(self, connection):
        """Ignore the connection."""


class Headers(Dialect):
    def attempt_headers(self, attempt):
        return []


@pytest.fixture
def run():
    request = IncomingRequest(
        request_id=b"1", method=b"GET", target=b"/x", host="h", path="/x", headers=[], body=b""
    )
    shares = (WeightedPool("p"),)
    route = Route(
        name="r",
        host="h",
        path_prefix="/",
        kind=RouteKind.AT_MOST_ONCE,
        timeout=5.0,
        weighted_pools=shares,
    )
    configuration = Configuration(1, [route], [PoolRecord("p", 0)], [], ServerLimits())
    exchange = Exchange(None, RequestHead(b"GET", b"/x", []), b"")
    return RequestRun(exchange, request, configuration, route, None)


def test_a_target_that_leaves_while_its_connection_opens_gets_no_request(run):
    registry = TargetRegistry(seed=1)
    for number in (1, 2):
        registry.put(TargetRecord(f"t{number}", "p", "h", number))

    def all_leave(address):
        registry.mark_leaving(f"t{address[1]}")

    connections = SlowConnections(all_leave)
    dispatcher = Dispatcher(
        Headers(),
        types.SimpleNamespace(version=1, route_history=RouteHistory()),
        registry,
        None,
        connections,
        Metrics(),
        DispatchOptions(0.2, 10.0, 10.0),
        lambda: 1,
        TargetsView,
        lambda *moved: None,
    )
    started_at = steady()
    with pytest.raises(TargetUnavailable) as refused:
        dispatcher._attempt_all(run, "p")
    assert refused.value.outcome == "not_run"
    assert sorted(connections.opened) == [("h", 1), ("h", 2)]
    assert connections.sent == []
    assert (run.attempts, run.may_have_run) == (0, False)
    assert steady() - started_at < 1.0


def test_a_target_that_states_a_limit_while_its_connection_opens_gets_no_more(run):
    """Requests for which it was chosen before the statement are limited like later ones."""
    registry = TargetRegistry(seed=1)
    registry.put(TargetRecord("t1", "p", "h", 1))
    registry.stated_limits.record_answer("t1", 1.0, sent_at=steady())
    (state,) = registry.targets_in_pool("p")
    assert registry.can_still_send(state, None, permit_until=None)
    assert not registry.can_still_send(state, None, permit_until=None)
    assert not registry.can_still_send(state, None, permit_until=steady() - 0.1)
    assert registry.can_still_send(state, None, permit_until=steady() + 0.1)
