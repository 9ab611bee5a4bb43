"""Declared routes: from a caller's request to a target's answer."""

from whinrack.dispatch._configuration import Configuration
from whinrack.dispatch._directory import Directory
from whinrack.dispatch._dispatcher import Dispatcher, DispatchOptions
from whinrack.dispatch._registry import TargetRegistry
from whinrack.dispatch._retries import RetryAllowance
from whinrack.dispatch._target_state import TargetState
from whinrack.dispatch._values import (
    Attempt,
    DeclaredCover,
    EngineShape,
    IncomingRequest,
    PoolRecord,
    PoolShare,
    PromptPart,
    Route,
    RouteKind,
    TargetRecord,
    TargetsView,
    WorkspaceRecord,
)
from whinrack.dispatch.base import Dialect

__all__ = [
    "Attempt",
    "Configuration",
    "DeclaredCover",
    "Dialect",
    "Directory",
    "DispatchOptions",
    "Dispatcher",
    "EngineShape",
    "IncomingRequest",
    "PoolRecord",
    "PoolShare",
    "PromptPart",
    "RetryAllowance",
    "Route",
    "RouteKind",
    "TargetRecord",
    "TargetsView",
    "TargetRegistry",
    "TargetState",
    "WorkspaceRecord",
]
