"""Targets: the protocols of model engines and plain services."""

from whinrack.engines._client import (
    EngineLoad,
    TargetClient,
    Usage,
    body_chunks,
    read_body,
    refused_unstarted,
    retry_after,
)
from whinrack.engines._sse import ChatStream, whole_events

__all__ = [
    "ChatStream",
    "EngineLoad",
    "TargetClient",
    "Usage",
    "body_chunks",
    "read_body",
    "refused_unstarted",
    "retry_after",
    "whole_events",
]
