"""Declared object kinds, their validation, their declarations and bearer keys."""

from whinrack.objects._checks import check_name, check_references, check_spec, decode_spec
from whinrack.objects._declarations import Declaration, load_declarations
from whinrack.objects._keys import hash_secret, make_key, parse_key_name, verify_key
from whinrack.objects._kinds import (
    DECLARED_KINDS,
    ApiKey,
    Budget,
    Protocol,
    RequestClass,
    RoutingPolicy,
    Spec,
    Target,
    TargetPool,
    TargetState,
    TopUp,
    Weighting,
    Workspace,
)

__all__ = [
    "DECLARED_KINDS",
    "ApiKey",
    "Budget",
    "Declaration",
    "Protocol",
    "RequestClass",
    "RoutingPolicy",
    "Spec",
    "Target",
    "TargetPool",
    "TargetState",
    "TopUp",
    "Weighting",
    "Workspace",
    "check_name",
    "check_references",
    "check_spec",
    "decode_spec",
    "hash_secret",
    "parse_key_name",
    "load_declarations",
    "make_key",
    "verify_key",
]
