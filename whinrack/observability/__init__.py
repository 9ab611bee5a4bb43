"""Numbered log events and metrics."""

from whinrack.observability._events import Event, configure_logs, log_event
from whinrack.observability._metrics import Metrics
from whinrack.observability._output import BoundedOutput

__all__ = ["BoundedOutput", "Event", "Metrics", "configure_logs", "log_event"]
