"""Structured log events and Prometheus metrics."""

from whinrack.observability._events import Event, configure_logging, log_event
from whinrack.observability._log_writer import BoundedLogWriter
from whinrack.observability._metrics import Metrics

__all__ = ["BoundedLogWriter", "Event", "Metrics", "configure_logging", "log_event"]
