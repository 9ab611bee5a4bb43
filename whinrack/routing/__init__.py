"""Routing: programs, choice of targets, queues, limits and retries."""

from whinrack.ejection import EjectAfterVote, EjectAlone, EjectionPolicy
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
from whinrack.routing._queue import PoolQueue, Waiter
from whinrack.routing._retries import RetryBudget
from whinrack.routing._targets import LoadReport, TargetView

__all__ = [
    "AffinityPicker",
    "EjectAfterVote",
    "EjectAlone",
    "EjectionPolicy",
    "LoadReport",
    "PickQuery",
    "Picker",
    "PoolFacts",
    "PoolQueue",
    "PoolState",
    "RandomPicker",
    "RequestFacts",
    "RetryBudget",
    "RouteDecision",
    "RoutingProgram",
    "Spread",
    "TargetView",
    "TwoChoicesPicker",
    "Waiter",
    "default_decision",
]
