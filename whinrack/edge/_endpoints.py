"""HTTP endpoints for caller discovery, readiness and metrics."""

from whinrack.edge._membership import Membership
from whinrack.edge._options import EdgeOptions
from whinrack.http1 import Exchange, Headers, RequestHead
from whinrack.observability import Metrics

__all__ = ["AuxiliaryEndpoints"]

_OK = 200
_NOT_FOUND = 404
_UNAVAILABLE = 503
_TEXT: Headers = [(b"content-type", b"text/plain; version=0.0.4")]


class AuxiliaryEndpoints:
    """Handles discovery, readiness and metrics requests.

    Subclasses define the paths and the encoding of the first two for a dialect.
    """

    directory_path = b"/where"
    ready_path = b"/ready"

    def bind(self, membership: Membership, metrics: Metrics, options: EdgeOptions) -> None:
        """Set the objects that the answers are taken from."""
        self.membership = membership
        self.metrics = metrics
        self.options = options

    def encode_addresses(self, addresses: list[str], seconds: float) -> tuple[Headers, bytes]:
        """Encode the answer to a discovery request.

        Parameters
        ----------
        addresses : list of str
            Addresses of the instances that accept callers.
        seconds : float
            How long callers may cache them.
        """
        raise NotImplementedError

    def caller_data_hall(self, head: RequestHead) -> str:
        """Return the data hall that a caller states, empty if it states none."""
        raise NotImplementedError

    def handle_directory(self, exchange: Exchange) -> None:
        """Answer with the addresses of the instances that accept callers."""
        if not _has_path(exchange, self.directory_path):
            exchange.respond(_NOT_FOUND, [], b"")
            return
        addresses = self.membership.caller_addresses(self.caller_data_hall(exchange.head))
        headers, body = self.encode_addresses(addresses, self.options.answer_seconds)
        exchange.respond(_OK, headers, body)

    def handle_ready(self, exchange: Exchange) -> None:
        """Answer with 200 if this instance accepts callers, else with 503."""
        if not _has_path(exchange, self.ready_path):
            exchange.respond(_NOT_FOUND, [], b"")
            return
        exchange.respond(_OK if self.membership.is_ready else _UNAVAILABLE, [], b"")

    def handle_metrics(self, exchange: Exchange) -> None:
        """Answer with the metrics in the Prometheus text format."""
        exchange.respond(_OK, _TEXT, self.metrics.render())


def _has_path(exchange: Exchange, path: bytes) -> bool:
    return exchange.head.target.partition(b"?")[0] == path
