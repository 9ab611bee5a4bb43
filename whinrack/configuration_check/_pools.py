"""Checks of pools and of the limits of requests."""

from collections.abc import Iterator

from whinrack.configuration_check._declared import DeclaredConfiguration
from whinrack.configuration_check._findings import Finding, FindingCode
from whinrack.dispatch import PoolRecord
from whinrack.http1 import ServerLimits

__all__ = ["check_limits", "check_pools"]

# Limits without which no request can be received.
_NECESSARY_LIMITS = ("head_bytes", "head_seconds", "body_seconds", "idle_seconds", "write_seconds")


def check_pools(configuration: DeclaredConfiguration) -> Iterator[Finding]:
    """Check each pool, and whether a route leads to it."""
    used = {
        weighted.pool
        for route in configuration.routes
        for weighted in route.weighted_pools
        if weighted.weight > 0
    }
    for pool in configuration.pools:
        for code, message in (*_check_pool(pool), *_check_engine(pool)):
            yield Finding.make(code, f"pool {pool.name}", message)
        if pool.name not in used:
            message = "no route leads to it with a positive weight"
            yield Finding.make(FindingCode.UNUSED_POOL, f"pool {pool.name}", message)


def check_limits(limits: ServerLimits) -> Iterator[Finding]:
    """Check the size limits and timeouts of requests."""
    for name in _NECESSARY_LIMITS:
        value = getattr(limits, name)
        if value <= 0:
            message = f"{name} is {value:g}: no request can be received"
            yield Finding.make(FindingCode.ZERO_LIMIT, "limits", message)
    if limits.body_bytes <= 0:
        message = f"body_bytes is {limits.body_bytes}: requests with a body are refused"
        yield Finding.make(FindingCode.NO_BODIES, "limits", message)


def _check_engine(pool: PoolRecord) -> Iterator[tuple[FindingCode, str]]:
    engine = pool.engine
    if engine is None:
        return
    if engine.max_event_tokens < 1:
        message = f"events of {engine.max_event_tokens} tokens: broken streams count as nothing"
        yield FindingCode.NO_EVENT_TOKENS, message
    if 0 < pool.max_connections < engine.slots:
        message = f"{engine.slots} slots can't be filled through {pool.max_connections} connections"
        yield FindingCode.SLOTS_ABOVE_CONNECTIONS, message


def _check_pool(pool: PoolRecord) -> Iterator[tuple[FindingCode, str]]:
    if pool.max_connections < 0:
        message = f"{pool.max_connections} connections; 0 means no limit"
        yield FindingCode.NEGATIVE_LIMIT, message
    cold = pool.cold_start
    if cold is not None and not (cold.seconds > 0 and cold.rate > 0):
        message = (
            f"cold for {cold.seconds:g} s at {cold.rate:g} requests/s: unless both are positive, "
            "there is no limit after a start"
        )
        yield FindingCode.PARTIAL_COLD_START, message
