"""The small questions that the daemon answers besides requests."""

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
    """Answers where callers should go, whether to send them here, and figures.

    A dialect's subclass says how the first two are put, and read.
    """

    directory_path = b"/where"
    ready_path = b"/ready"

    def bind(self, membership: Membership, metrics: Metrics, options: EdgeOptions) -> None:
        """Learn where the facts are."""
        self.membership = membership
        self.metrics = metrics
        self.options = options

    def encode_addresses(self, addresses: list[str], seconds: float) -> tuple[Headers, bytes]:
        """Put the answer into words: addresses and how long they may be kept."""
        raise NotImplementedError

    def caller_data_hall(self, head: RequestHead) -> str:
        """Return the data hall that a caller says it is in, empty if it says none."""
        raise NotImplementedError

    def handle_directory(self, exchange: Exchange) -> None:
        """Tell the instances that take callers."""
        if not _has_path(exchange, self.directory_path):
            exchange.respond(_NOT_FOUND, [], b"")
            return
        addresses = self.membership.caller_addresses(self.caller_data_hall(exchange.head))
        headers, body = self.encode_addresses(addresses, self.options.answer_seconds)
        exchange.respond(_OK, headers, body)

    def handle_ready(self, exchange: Exchange) -> None:
        """Tell whether this instance takes callers."""
        if not _has_path(exchange, self.ready_path):
            exchange.respond(_NOT_FOUND, [], b"")
            return
        exchange.respond(_OK if self.membership.is_ready else _UNAVAILABLE, [], b"")

    def handle_metrics(self, exchange: Exchange) -> None:
        """Tell the metrics."""
        exchange.respond(_OK, _TEXT, self.metrics.render())


def _has_path(exchange: Exchange, path: bytes) -> bool:
    return exchange.head.target.partition(b"?")[0] == path
