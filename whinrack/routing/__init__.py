"""Routing: programs, choice of targets, queues, concurrency limits and retries."""

from whinrack.ejection import EjectionPolicy, LocalEjection, MajorityEjection
from whinrack.routing._pickers import AffinityPicker, Picker, RandomPicker, TwoChoicesPicker
from whinrack.routing._pools import PickQuery, PoolState
from whinrack.routing._program import (
    PoolFacts,
    RequestFacts,
    RouteDecision,
    RoutingProgram,
    Spread,
    default_decision,
)
from whinrack.routing._queue import PoolQueue, QueuedRequest
from whinrack.routing._retries import RetryBudget
from whinrack.routing._targets import LoadReport, TargetView

__all__ = [
    "AffinityPicker",
    "EjectionPolicy",
    "LoadReport",
    "LocalEjection",
    "MajorityEjection",
    "PickQuery",
    "Picker",
    "PoolFacts",
    "PoolQueue",
    "PoolState",
    "QueuedRequest",
    "RandomPicker",
    "RequestFacts",
    "RetryBudget",
    "RouteDecision",
    "RoutingProgram",
    "Spread",
    "TargetView",
    "TwoChoicesPicker",
    "default_decision",
]
