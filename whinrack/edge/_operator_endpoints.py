"""HTTP endpoints for operators: metrics and quarantined requests."""

import msgspec

from whinrack.edge._endpoints import AuxiliaryEndpoints
from whinrack.http1 import Exchange, Headers
from whinrack.quarantine import Quarantine, describe_case

__all__ = ["OperatorEndpoints"]

_OK = 200
_NOT_FOUND = 404
_QUARANTINE_PATH = b"/quarantine"
_JSON: Headers = [(b"content-type", b"application/json")]


class OperatorEndpoints:
    """Handles requests to the metrics address.

    ``GET /quarantine`` lists the quarantined requests, ``DELETE /quarantine/FINGERPRINT`` releases
    one in the whole fleet. Every other path returns the metrics.

    Parameters
    ----------
    endpoints : AuxiliaryEndpoints
    quarantine : Quarantine
    """

    def __init__(self, endpoints: AuxiliaryEndpoints, quarantine: Quarantine):
        self.endpoints = endpoints
        self.quarantine = quarantine

    def handle(self, exchange: Exchange) -> None:
        """Answer one request."""
        path, _, fingerprint = exchange.head.target.partition(_QUARANTINE_PATH)
        if path or not exchange.head.target.startswith(_QUARANTINE_PATH):
            self.endpoints.handle_metrics(exchange)
        elif exchange.head.method == b"DELETE":
            lifted = self.quarantine.lift(fingerprint.strip(b"/").decode("latin-1"))
            exchange.respond(_OK if lifted else _NOT_FOUND, [], b"")
        else:
            rows = [describe_case(case) for case in self.quarantine.quarantined_cases()]
            exchange.respond(_OK, _JSON, msgspec.json.encode(rows))
