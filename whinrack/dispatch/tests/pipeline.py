"""A dispatcher with stand-ins for its callers and its targets."""

import types

from whinrack.dispatch import (
    Configuration,
    Dialect,
    Dispatcher,
    DispatchOptions,
    IncomingRequest,
    PoolRecord,
    TargetsView,
)
from whinrack.dispatch._route_history import RouteHistory
from whinrack.http1 import ConnectionPool, Exchange, RequestHead, ServerLimits
from whinrack.observability import Metrics

__all__ = ["Pipeline"]


class Pipeline(Dialect):
    """Passes requests to a dispatcher and returns its refusals.

    Parameters
    ----------
    route : Route
        The only route.
    registry : TargetRegistry
    connections
        Stand-in for the connections to targets; None for a pool without connections.
    engine : EngineCapacity, optional
        Capacity of the targets of the route's pool.
    forwarder : optional
        Stand-in for the forwarder to peers.
    """

    def __init__(self, route, registry, connections, engine=None, forwarder=None):
        pools = [PoolRecord(share.pool, 0, engine=engine) for share in route.weighted_pools]
        configuration = Configuration(1, [route], pools, [], ServerLimits())
        self._request = None
        self._refusal = None
        self._dispatcher = Dispatcher(
            self,
            types.SimpleNamespace(
                version=1, get=lambda: configuration, route_history=RouteHistory()
            ),
            registry,
            None,
            connections or ConnectionPool(),
            Metrics(),
            DispatchOptions(0.2, 10.0, 10.0),
            lambda: 1,
            TargetsView,
            lambda *moved: None,
            forwarder=forwarder,
        )

    def handle(self, body=b"", mark=None, **fields):
        """Handle a request and return the refusal, None if there is none.

        Parameters
        ----------
        body : bytes
        mark : ForwardingMark, optional
            The mark of a peer that has forwarded the request.
        **fields
            Further fields of the `IncomingRequest`.
        """
        self._request = IncomingRequest(
            request_id=b"1",
            method=b"POST",
            target=b"/x",
            host="h",
            path="/x",
            headers=[],
            body=body,
            **fields,
        )
        self._refusal = None
        headers = [] if mark is None else mark.headers()
        exchange = Exchange(self, RequestHead(b"POST", b"/x", headers), body)
        handle = self._dispatcher.handle if mark is None else self._dispatcher.handle_forwarded
        handle(exchange)
        return self._refusal

    def parse_request(self, head, body):
        return self._request

    def refusal_response(self, refusal, request):
        self._refusal = refusal
        return refusal.status, [], b""

    def attempt_headers(self, attempt):
        return []

    def send_response(self, status, headers, body):
        """Accept a response, as a caller's connection does."""
