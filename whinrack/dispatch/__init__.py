"""Routing of requests to targets: choice of a target, attempts, retries and relaying."""

from whinrack.dispatch._configuration import Configuration
from whinrack.dispatch._crash_detector import Presence, probe_address
from whinrack.dispatch._current_configuration import CurrentConfiguration
from whinrack.dispatch._dispatcher import Dispatcher, DispatchOptions
from whinrack.dispatch._emptied_halls import EmptiedHalls, HallStatus
from whinrack.dispatch._forwarding import ForwardingPeer, PeerSelector, RequestForwarder
from whinrack.dispatch._rate_bounds import RateBound, WarmUpLimits
from whinrack.dispatch._reachability import ContactChange, ContactFailure, Reachability
from whinrack.dispatch._registry import OWN_SOURCE, TargetRegistry
from whinrack.dispatch._retries import RetryBudget
from whinrack.dispatch._shared_rates import SharedRatePermits
from whinrack.dispatch._stated_limits import NO_LIMIT, LimitChange, LimitReport, StatedLimits
from whinrack.dispatch._statements import TargetStatement
from whinrack.dispatch._target_state import TargetState
from whinrack.dispatch._values import (
    Attempt,
    ColdStart,
    DeclaredTokens,
    EngineCapacity,
    IncomingRequest,
    PoolRecord,
    PromptPart,
    Route,
    RouteKind,
    TargetRecord,
    TargetsView,
    WeightedPool,
    WorkspaceRecord,
)
from whinrack.dispatch.base import Dialect

__all__ = [
    "NO_LIMIT",
    "OWN_SOURCE",
    "Attempt",
    "ColdStart",
    "Configuration",
    "ContactChange",
    "ContactFailure",
    "DeclaredTokens",
    "Dialect",
    "CurrentConfiguration",
    "DispatchOptions",
    "Dispatcher",
    "EmptiedHalls",
    "EngineCapacity",
    "ForwardingPeer",
    "HallStatus",
    "IncomingRequest",
    "LimitChange",
    "LimitReport",
    "PeerSelector",
    "PoolRecord",
    "Presence",
    "probe_address",
    "WeightedPool",
    "PromptPart",
    "RetryBudget",
    "RateBound",
    "Reachability",
    "RequestForwarder",
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
