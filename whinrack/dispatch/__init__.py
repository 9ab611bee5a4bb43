"""Declared routes: from a caller's request to a target's answer."""

from whinrack.dispatch._configuration import Configuration
from whinrack.dispatch._directory import Directory
from whinrack.dispatch._dispatcher import Dispatcher, DispatchOptions
from whinrack.dispatch._halls import EmptiedHalls, HallWord
from whinrack.dispatch._rate_bounds import RateBound, WarmUpLimits
from whinrack.dispatch._registry import TargetRegistry
from whinrack.dispatch._retries import RetryAllowance
from whinrack.dispatch._shared_rates import SharedRatePermits
from whinrack.dispatch._stated_limits import NO_LIMIT, LimitChange, LimitWord, StatedLimits
from whinrack.dispatch._statements import TargetStatement
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
    "LimitWord",
    "PoolRecord",
    "PoolShare",
    "PromptPart",
    "RetryAllowance",
    "RateBound",
    "Route",
    "RouteKind",
    "SharedRatePermits",
    "StatedLimits",
    "TargetRecord",
    "TargetsView",
    "TargetRegistry",
    "TargetState",
    "TargetStatement",
    "WarmUpLimits",
    "WorkspaceRecord",
]
