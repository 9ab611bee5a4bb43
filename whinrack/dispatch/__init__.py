"""Declared routes: from a caller's request to a target's answer."""

from whinrack.dispatch._configuration import Configuration
from whinrack.dispatch._directory import Directory
from whinrack.dispatch._dispatcher import Dispatcher, DispatchOptions
from whinrack.dispatch._halls import EmptiedHalls, HallWord
from whinrack.dispatch._registry import TargetRegistry
from whinrack.dispatch._retries import RetryAllowance
from whinrack.dispatch._stated_limits import NO_LIMIT, LimitChange, StatedLimits
from whinrack.dispatch._target_state import TargetState
from whinrack.dispatch._values import (
    Attempt,
    ColdStart,
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
from whinrack.dispatch._warming import WarmUpLimits, WarmUpPermits
from whinrack.dispatch.base import Dialect

__all__ = [
    "NO_LIMIT",
    "Attempt",
    "ColdStart",
    "Configuration",
    "DeclaredCover",
    "Dialect",
    "Directory",
    "DispatchOptions",
    "Dispatcher",
    "EmptiedHalls",
    "EngineShape",
    "HallWord",
    "IncomingRequest",
    "LimitChange",
    "PoolRecord",
    "PoolShare",
    "PromptPart",
    "RetryAllowance",
    "Route",
    "RouteKind",
    "StatedLimits",
    "TargetRecord",
    "TargetsView",
    "TargetRegistry",
    "TargetState",
    "WarmUpLimits",
    "WarmUpPermits",
    "WorkspaceRecord",
]
