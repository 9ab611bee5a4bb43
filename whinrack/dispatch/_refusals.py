"""Why no target takes a request now, and when its caller had better come back. Decisions only.

The load that this answers: a whole pool that is cold after a release, a loss of a data hall or an
emptied one, with all its callers asking at once. Callers come back once or a few times, so the
time that they are told decides whether that helps them.
"""

from whinrack.dispatch._registry import TargetRegistry
from whinrack.dispatch._values import PoolRecord
from whinrack.exceptions import (
    Refusal,
    TargetsCold,
    TargetsLimited,
    TargetsOverloaded,
    TargetUnavailable,
)

__all__ = ["BUSY_RETRY_SECONDS", "no_target_refusal", "target_full_refusal", "pool_refusal"]

# After which a caller may come back when targets are full.
BUSY_RETRY_SECONDS = 0.25
# The same, in seconds, while all halls of a pool are emptied: a release takes effect in a second
# or two, and callers with a deadline of some ten seconds have left after the longest.
_EMPTIED_RETRY_BOUNDS = (1.0, 10.0)
# The same, in seconds, while all targets of a pool leave: those that take their places start first.
_LEAVING_RETRY_SECONDS = 1.0


def no_target_refusal(retry_after: float = BUSY_RETRY_SECONDS) -> Refusal:
    """Return the refusal of a request that no target takes."""
    return TargetUnavailable("no target takes work now", retry_after=retry_after)


def target_full_refusal(registry: TargetRegistry, pool: PoolRecord, now: float) -> Refusal:
    """Return the refusal of a request that a target has turned away."""
    has_other_target = registry.has_eligible_target(pool.name, (), now, pool.cold_start)
    wait = BUSY_RETRY_SECONDS if has_other_target else pool_refusal(registry, pool, now).retry_after
    return TargetUnavailable("the target is full", retry_after=wait)


def pool_refusal(registry: TargetRegistry, pool: PoolRecord, now: float) -> Refusal:
    """Return the refusal of a request for a pool none of whose targets takes it."""
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
            "all targets told this instance to back off", retry_after=first_end
        )
    if states and all(state.is_leaving for state in states):
        return no_target_refusal(_LEAVING_RETRY_SECONDS)
    emptied_seconds = _emptied_seconds(registry, pool, now)
    if emptied_seconds is None:
        return no_target_refusal()
    # What has lasted for so long lasts for as long again: a caller that comes back once, after
    # 0.25 s, finds the hall emptied still.
    shortest, longest = _EMPTIED_RETRY_BOUNDS
    return no_target_refusal(min(longest, max(shortest, emptied_seconds)))


def _rate_limited_refusal(registry: TargetRegistry, pool: PoolRecord, now: float) -> Refusal | None:
    """Return the refusal of a request for a pool all of whose targets take few requests.

    None if one of them takes more, or there is none.
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
        return TargetsCold("the targets have just started", retry_after=wait)
    return TargetsLimited("the targets take few requests now", retry_after=wait)


def _emptied_seconds(registry: TargetRegistry, pool: PoolRecord, now: float) -> float | None:
    """Return for how long the halls of all targets of a pool that work have been emptied.

    None if that isn't why the pool takes no request.
    """
    states = [state for state in registry.targets_in_pool(pool.name) if not state.is_leaving]
    if not states or any(map(registry.is_in_service, states)):
        return None
    return now - max(registry.hall_emptied_at[state.record.data_hall] for state in states)
