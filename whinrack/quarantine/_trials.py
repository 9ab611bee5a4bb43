"""Schedule of trial runs of quarantined requests; it does no I/O.

A request that is quarantined wrongly must be cleared without an operator, so after a pause one
trial run is admitted in the whole fleet. If it succeeds, the request is cleared. If it ends its
target, the next trial follows after a much longer pause. The number of trials is limited so that
a request which ends every target ends at most three more, as the users require.

Requests that were blamed for the same ends are rivals: most of them are innocent, and the trial of
any of them may decide which one is not. Their first trials are therefore due at once, one after the
other, so that an innocent request does not run beside the cause once more.
"""

from collections.abc import Iterable

from whinrack.quarantine._cases import Case

__all__ = [
    "seconds_until_rival_trial",
    "seconds_until_trial",
    "seconds_until_trials",
    "seconds_until_trial_has_run",
]

# Seconds from the last end or trial to the next trial. A wrongly blamed caller waits half a minute;
# a request that ends targets ends three more in the first hour and then none.
_TRIAL_PAUSES_SECONDS = (30.0, 300.0, 3600.0)
# The same for a request with rivals; the first pause begins when it is blamed.
_RIVAL_TRIAL_PAUSES_SECONDS = (0.0, 2.0, 300.0)
# Minimum time between the trials of two rivals, within which most ends of targets are detected.
_RIVAL_SPACING_SECONDS = 0.5
# Time after which a trial run is not expected to decide any more.
_TRIAL_RUN_SECONDS = 2.0


def seconds_until_trial(case: Case, now: float) -> float | None:
    """Return the seconds until the next trial, or None if no trial is left.

    Parameters
    ----------
    case : Case
    now : float
        Unix time, seconds.
    """
    if case.trials >= len(_TRIAL_PAUSES_SECONDS):
        return None
    pause = _TRIAL_PAUSES_SECONDS[case.trials]
    # A clock that was set back must not extend the quarantine beyond the pause.
    since = min(max(case.ended_at, case.tried_at), now)
    return max(0.0, since + pause - now)


def seconds_until_trials(cases: Iterable[Case], now: float) -> float | None:
    """Return the seconds until a run is due that is a trial of several cases, or None."""
    waits = [seconds_until_trial(case, now) for case in cases]
    return None if None in waits else max(waits, default=0.0)


def seconds_until_rival_trial(
    trials: int, tried_seconds: float, rivals_tried_seconds: Iterable[float]
) -> float | None:
    """Return the seconds until the next trial of a request with rivals, or None if none is left.

    Parameters
    ----------
    trials : int
        Trials that the request had.
    tried_seconds : float
        Seconds since its latest trial.
    rivals_tried_seconds : iterable of float
        Seconds since the latest trial of each rival.
    """
    if trials >= len(_RIVAL_TRIAL_PAUSES_SECONDS):
        return None
    own_wait = _RIVAL_TRIAL_PAUSES_SECONDS[trials] - tried_seconds if trials else 0.0
    rival_waits = (_RIVAL_SPACING_SECONDS - seconds for seconds in rivals_tried_seconds)
    return max(0.0, own_wait, *rival_waits)


def seconds_until_trial_has_run(trials: int, tried_seconds: float) -> float | None:
    """Return the seconds within which the latest trial may still decide, None if it has run."""
    left = _TRIAL_RUN_SECONDS - tried_seconds
    return left if trials and left > 0.0 else None
