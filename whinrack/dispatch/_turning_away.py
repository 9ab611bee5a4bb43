"""Why no target takes a request now, and when its caller had better come back. Decisions only.

The load that this answers: a whole pool that is cold after a release, a loss of a data hall or an
emptied one, with all its callers asking at once. Callers come back once or a few times, so the
time that they are told decides whether that helps them.
"""

from whinrack.dispatch._registry import TargetRegistry
from whinrack.dispatch._values import PoolRecord
from whinrack.exceptions import Refusal, TargetsCold, TargetUnavailable

__all__ = ["BUSY_RETRY_SECONDS", "no_target", "why_nobody"]

# After which a caller may come back when targets are full.
BUSY_RETRY_SECONDS = 0.25
# The same, in seconds, while all halls of a pool are emptied: a release takes effect in a second
# or two, and callers with a deadline of some ten seconds have left after the longest.
_EMPTIED_RETRY_BOUNDS = (1.0, 10.0)


def no_target(retry_after: float = BUSY_RETRY_SECONDS) -> Refusal:
    """Return the refusal of a request that no target takes."""
    return TargetUnavailable("no target takes work now", retry_after=retry_after)


def why_nobody(registry: TargetRegistry, pool: PoolRecord, now: float) -> Refusal:
    """Return the refusal of a request for a pool none of whose targets takes it."""
    wait = _warm_up_wait(registry, pool, now)
    if wait is not None:
        return TargetsCold("the targets have just started", retry_after=wait)
    emptied = _emptied_for(registry, pool, now)
    if emptied is None:
        return no_target()
    # What has lasted for so long lasts for as long again: a caller that comes back once, after
    # 0.25 s, finds the hall emptied still.
    least, most = _EMPTIED_RETRY_BOUNDS
    return no_target(min(most, max(least, emptied)))


def _warm_up_wait(registry: TargetRegistry, pool: PoolRecord, now: float) -> float | None:
    """Return the seconds after which a pool takes a request whose targets are all cold.

    None if the pool isn't cold, or has no target.
    """
    cold_start = pool.cold_start
    states = [state for state in registry.of_pool(pool.name) if registry.may_be_sent(state)]
    if not states or not all(state.is_cold(cold_start, now) for state in states):
        return None
    warm_at = min(state.warmth.cold_until(cold_start.seconds) for state in states)
    names = [state.record.identity for state in states]
    return min(warm_at - now, registry.permits.wait(names, cold_start.rate, now))


def _emptied_for(registry: TargetRegistry, pool: PoolRecord, now: float) -> float | None:
    """Return for how long the halls of all targets of a pool that work have been emptied.

    None if that isn't why the pool takes no request.
    """
    states = [state for state in registry.of_pool(pool.name) if not state.leaving]
    if not states or any(map(registry.may_be_sent, states)):
        return None
    return now - max(registry.emptied_at[state.record.data_hall] for state in states)
