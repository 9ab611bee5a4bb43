"""Clients for targets: the protocols of model engines and plain services."""

from whinrack.engines._client import (
    EngineLoad,
    TargetClient,
    Usage,
    body_chunks,
    is_busy_response,
    read_body,
    retry_after_seconds,
)
from whinrack.engines._sse import ChatStream, complete_events

__all__ = [
    "ChatStream",
    "EngineLoad",
    "TargetClient",
    "Usage",
    "body_chunks",
    "read_body",
    "is_busy_response",
    "retry_after_seconds",
    "complete_events",
]
