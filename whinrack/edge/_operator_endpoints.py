"""What operators ask an instance at its metrics address: figures, and what is kept out."""

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
    """Answers at the metrics address.

    ``GET /quarantine`` lists, ``DELETE /quarantine/FINGERPRINT`` lets a request through again in
    the whole fleet; every other path shows the metrics.

    Parameters
    ----------
    endpoints : SmallAnswers
    quarantine : Quarantine
    """

    def __init__(self, endpoints: AuxiliaryEndpoints, quarantine: Quarantine):
        self.endpoints = endpoints
        self.quarantine = quarantine

    def handle(self, exchange: Exchange) -> None:
        """Answer one question."""
        path, _, fingerprint = exchange.head.target.partition(_QUARANTINE_PATH)
        if path or not exchange.head.target.startswith(_QUARANTINE_PATH):
            self.endpoints.handle_metrics(exchange)
        elif exchange.head.method == b"DELETE":
            lifted = self.quarantine.lift(fingerprint.strip(b"/").decode("latin-1"))
            exchange.respond(_OK if lifted else _NOT_FOUND, [], b"")
        else:
            rows = [describe_case(case) for case in self.quarantine.quarantined_cases()]
            exchange.respond(_OK, _JSON, msgspec.json.encode(rows))
