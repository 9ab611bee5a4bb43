"""Refusals of requests that no target accepts, with a retry delay; pure logic without I/O.

After a release or after a data hall was lost or emptied, a whole pool may be cold while all its
callers send requests. Callers retry only once or a few times, so the retry delay decides whether
their retries succeed.
"""

from whinrack.dispatch._registry import TargetRegistry
from whinrack.dispatch._values import PoolRecord
from whinrack.exceptions import (
    DeadlineUnreachable,
    Refusal,
    TargetsCold,
    TargetsLimited,
    TargetsOverloaded,
    TargetUnavailable,
)

__all__ = [
    "BUSY_RETRY_SECONDS",
    "LOST_RETRY_SECONDS",
    "deadline_refusal",
    "no_target_refusal",
    "target_full_refusal",
    "pool_refusal",
]

# Retry delay when targets are full, in seconds.
BUSY_RETRY_SECONDS = 0.25
# Retry delay while contact with all targets of a pool is lost and no peer reaches one, in seconds.
# The targets are probed about as often.
LOST_RETRY_SECONDS = 0.5
# Bounds of the retry delay while all data halls of a pool are emptied, in seconds. A release takes
# effect within one or two seconds; callers with a deadline of about ten seconds have given up
# after the upper bound.
_EMPTIED_RETRY_BOUNDS = (1.0, 10.0)
# Retry delay while all targets of a pool are leaving, in seconds: their replacements must start.
_LEAVING_RETRY_SECONDS = 1.0


def no_target_refusal(retry_after: float = BUSY_RETRY_SECONDS) -> Refusal:
    """Return the refusal of a request that no target accepts."""
    return TargetUnavailable("no target accepts requests now", retry_after=retry_after)


def deadline_refusal(work_seconds: float) -> Refusal:
    """Return the refusal of a request that would not begin before its deadline.

    Parameters
    ----------
    work_seconds : float
        Seconds of work ahead of it, after which the target is free.
    """
    return DeadlineUnreachable(
        "no target can begin before the deadline", retry_after=max(BUSY_RETRY_SECONDS, work_seconds)
    )


def target_full_refusal(registry: TargetRegistry, pool: PoolRecord, now: float) -> Refusal:
    """Return the refusal of a request that a target has refused."""
    has_other_target = registry.has_eligible_target(pool.name, (), now, pool.cold_start)
    wait = BUSY_RETRY_SECONDS if has_other_target else pool_refusal(registry, pool, now).retry_after
    return TargetUnavailable("the target is full", retry_after=wait)


def pool_refusal(registry: TargetRegistry, pool: PoolRecord, now: float) -> Refusal:
    """Return the refusal of a request that no target of the pool accepts."""
    states = registry.targets_in_pool(pool.name)
    backoffs = [
        registry.backoff_seconds_left(state, now)
        for state in states
        if registry.is_in_service(state)
    ]
    first_end = min((seconds for seconds in backoffs if seconds), default=None)
    limited = _rate_limited_refusal(registry, pool, now)
    if limited is not None:
        if first_end is not None:
            limited.retry_after = min(limited.retry_after, first_end)
        return limited
    if backoffs and all(backoffs):
        return TargetsOverloaded(
            "all targets have told this instance to back off", retry_after=first_end
        )
    if states and all(state.is_leaving for state in states):
        return no_target_refusal(_LEAVING_RETRY_SECONDS)
    emptied_seconds = _emptied_seconds(registry, pool, now)
    if emptied_seconds is None:
        return no_target_refusal()
    # Assume that the halls stay emptied for as long again as they have been so far: a caller that
    # retries once, after 0.25 s, would still find them emptied.
    shortest, longest = _EMPTIED_RETRY_BOUNDS
    return no_target_refusal(min(longest, max(shortest, emptied_seconds)))


def _rate_limited_refusal(registry: TargetRegistry, pool: PoolRecord, now: float) -> Refusal | None:
    """Return the refusal of a request for a pool whose targets are all rate-limited.

    Returns
    -------
    Refusal or None
        None if a target is not rate-limited or no target is eligible.
    """
    limiter, cold_start = registry.rate_limiter, pool.cold_start
    states = [
        state for state in registry.targets_in_pool(pool.name) if registry.is_eligible(state, now)
    ]
    bounds = {state.record.identity: limiter.rate_bound(state, cold_start, now) for state in states}
    if not states or None in bounds.values():
        return None
    wait = registry.rate_permits.retry_delay(bounds, now)
    only_cold = [state for state in states if not limiter.has_stated_limit(state)]
    if only_cold:
        warm_at = min(state.cold_state.cold_until(cold_start.seconds) for state in only_cold)
        wait = min(warm_at - now, wait)
    if len(only_cold) == len(states):
        return TargetsCold("all targets have just started", retry_after=wait)
    return TargetsLimited("all targets are rate-limited", retry_after=wait)


def _emptied_seconds(registry: TargetRegistry, pool: PoolRecord, now: float) -> float | None:
    """Return for how long the data halls of all active targets of a pool have been emptied.

    Returns
    -------
    float or None
        Seconds; None if that is not the reason why the pool accepts no request.
    """
    states = [state for state in registry.targets_in_pool(pool.name) if not state.is_leaving]
    if not states or any(map(registry.is_in_service, states)):
        return None
    return now - max(registry.hall_emptied_at[state.record.data_hall] for state in states)
