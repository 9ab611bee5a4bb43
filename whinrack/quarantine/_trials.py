"""Schedule of trial runs of quarantined requests; it does no I/O.

A request that is quarantined wrongly must be cleared without an operator, so after a pause one
trial run is admitted in the whole fleet. If it succeeds, the request is cleared. If it ends its
target, the next trial follows after a much longer pause. The number of trials is limited so that
a request which ends every target ends at most three more, as the users require.
"""

from whinrack.quarantine._cases import Case

__all__ = ["seconds_until_trial"]

# Seconds from the last end or trial to the next trial. A wrongly blamed caller waits half a minute;
# a request that ends targets ends three more in the first hour and then none.
_TRIAL_PAUSES_SECONDS = (30.0, 300.0, 3600.0)


def seconds_until_trial(case: Case, now: float) -> float | None:
    """Return the seconds until the next trial, or None if no trial is left.

    Parameters
    ----------
    now : float
        Unix time, seconds.
    """
    if case.trials >= len(_TRIAL_PAUSES_SECONDS):
        return None
    pause = _TRIAL_PAUSES_SECONDS[case.trials]
    # A clock that was set back must not extend the quarantine beyond the pause.
    since = min(max(case.ended_at, case.tried_at), now)
    return max(0.0, since + pause - now)
