"""Structured log events and Prometheus metrics."""

from whinrack.observability._events import Event, configure_logging, log_event
from whinrack.observability._metrics import Metrics
from whinrack.observability._output import BoundedLogWriter

__all__ = ["BoundedLogWriter", "Event", "Metrics", "configure_logging", "log_event"]
