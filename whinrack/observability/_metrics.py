"""Prometheus metrics of a daemon; `docs/metrics.md` lists them."""

from prometheus_client import CollectorRegistry, Counter, Gauge, Histogram
from prometheus_client.exposition import generate_latest

__all__ = ["Metrics"]

_LATENCY_BUCKETS = (0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1, 2, 5, 10, 30, 60)


class Metrics:
    """Metrics of one daemon, in a registry of their own.

    An attribute has the name of its metric without the prefix ``whinrack_``.
    """

    def __init__(self):
        self.registry = CollectorRegistry()
        self.requests = self._counter("requests", "Requests by final outcome", "kind", "outcome")
        self.refusals = self._counter("refusals", "Requests refused, by reason", "reason")
        self.reserved_refusals = self._counter(
            "reserved_refusals",
            "Requests refused to keep a short budget for more urgent ones",
            "urgency",
        )
        self.retries = self._counter("retries", "Further attempts at targets, by reason", "reason")
        self.retries_denied = self._counter(
            "retries_denied", "Further attempts not made, by reason", "reason"
        )
        self.forwarded_requests = self._counter(
            "forwarded_requests", "Requests forwarded to peers, by outcome", "outcome"
        )
        self.stream_continuations = self._counter(
            "stream_continuations", "Streams that callers continue, by result", "result"
        )
        self.target_probes = self._counter(
            "target_probes", "Probes of targets in lost pools, by result", "result"
        )
        self.tokens = self._counter("tokens", "Tokens settled, by how", "how")
        self.written_off_tokens = self._counter(
            "written_off_tokens", "Tokens that earlier runs may have used, and so are out of use"
        )
        self.joined_retries = self._counter(
            "joined_retries", "Retries that joined an answer", "where"
        )
        self.consultations = self._counter(
            "consultations", "Questions to home instances, by answer", "answer"
        )
        self.answers_dropped = self._counter("answers_dropped", "Answers not used", "reason")
        self.platform_calls = self._counter(
            "platform_calls", "Calls to the platform", "operation", "result"
        )
        self.peer_bytes = self._counter(
            "peer_bytes", "Bytes moved between instances and to targets", "message", "place"
        )
        self.peer_calls = self._counter("peer_calls", "Calls to peers", "call", "result")
        self.peer_refused = self._counter("peer_refused", "Peer calls refused, by reason", "reason")
        self.draws = self._counter(
            "draws", "Orders for tokens, by path and result", "path", "result"
        )
        self.policy_failures = self._counter("policy_failures", "Programs that failed", "policy")
        self.bills = self._counter("bills", "Bill records, by state when the answer ended", "state")
        self.config_objects = self._counter(
            "config_objects", "Objects taken in, by source", "source"
        )
        self.invalid_objects = self._counter(
            "invalid_objects", "Stored objects that can't be used", "kind"
        )
        self.unreadable_statements = self._counter(
            "unreadable_statements", "Fields of targets' answers that can't be read", "field"
        )
        self.unknown_statements = self._counter(
            "unknown_statements", "Fields of targets' answers that nothing here heeds", "field"
        )
        self.shed_connections = self._counter(
            "shed_connections", "Connections of callers closed for lack of room", "reason"
        )
        self.ejections = self._counter("ejections", "Targets set aside")
        self.first_byte_seconds = self._histogram(
            "first_byte_seconds", "Time to the first byte", "kind"
        )
        self.first_event_error_seconds = self._histogram(
            "first_event_error_seconds", "Difference between expected and actual first event"
        )
        self.placements = self._counter("placements", "Prompts placed by cost, by reason", "reason")
        self.queue_wait_seconds = self._histogram(
            "queue_wait_seconds", "Time in the queue", "class_"
        )
        self.store_era = self._gauge("store_era", "Era that the store's answers name")
        self.config_revision = self._gauge("config_revision", "Configuration revision in force")
        self.targets_age_seconds = self._gauge(
            "targets_age_seconds", "Time since the store confirmed the list of targets"
        )
        self.emptied_halls = self._gauge("emptied_halls", "Data halls whose targets get nothing")
        self.cold_targets = self._gauge("cold_targets", "Targets that are cold, of all pools")
        self.limited_targets = self._gauge(
            "limited_targets", "Targets that state a limit of requests"
        )
        self.backed_off_targets = self._gauge(
            "backed_off_targets", "Targets that told this instance to back off, until that is over"
        )
        self.brittle_targets = self._gauge(
            "brittle_targets", "Targets that state that refusals make them fall over"
        )
        self.lost_pools = self._gauge(
            "lost_pools", "Pools whose targets this instance has lost contact with"
        )
        self.suspected_requests = self._gauge(
            "suspected_requests", "Requests with which several targets ended, cleared ones included"
        )
        self.quarantined_requests = self._gauge(
            "quarantined_requests", "Requests that go to no target"
        )
        self.members = self._gauge("members", "Peers that look alive")
        self.requests_in_progress = self._gauge("requests_in_progress", "Requests in progress")
        self.spendable_tokens = self._gauge("spendable_tokens", "Unspent tokens held here")
        self.open_cover_tokens = self._gauge("open_cover_tokens", "Tokens that cover open requests")
        self.journal_pending = self._gauge("journal_pending", "Bill records not kept yet")
        self.request_memory_entries = self._gauge("request_memory_entries", "Requests remembered")

    def render(self) -> bytes:
        """Return all metrics in the Prometheus text format."""
        return generate_latest(self.registry)

    def _counter(self, name: str, description: str, *labels: str) -> Counter:
        return Counter(f"whinrack_{name}", description, labels, registry=self.registry)

    def _gauge(self, name: str, description: str) -> Gauge:
        return Gauge(f"whinrack_{name}", description, registry=self.registry)

    def _histogram(self, name: str, description: str, *labels: str) -> Histogram:
        return Histogram(
            f"whinrack_{name}",
            description,
            labels,
            registry=self.registry,
            buckets=_LATENCY_BUCKETS,
        )
