"""When a request that is kept out may run once more. Decisions only, no I/O.

A request that is kept out wrongly has to come free without an operator: after a while one run
in the whole fleet is let through. It ends well, and the request is cleared; or it ends its
target, and the next one comes much later. There are so few that a request which ends each target
goes to three more at most, as the users' bound has it.
"""

from whinrack.quarantine._cases import Case

__all__ = ["seconds_until_trial"]

# From the last end, or the last trial, until the next trial. A caller that was blamed wrongly
# waits half a minute; one whose request ends targets ends three more in the first hour, then none.
_TRIAL_PAUSES_SECONDS = (30.0, 300.0, 3600.0)


def seconds_until_trial(case: Case, now: float) -> float | None:
    """Return the seconds until the next trial, None if there is none.

    Parameters
    ----------
    now : float
        Unix time, seconds.
    """
    if case.trials >= len(_TRIAL_PAUSES_SECONDS):
        return None
    pause = _TRIAL_PAUSES_SECONDS[case.trials]
    # A clock that was set back must not keep the request out for longer than the pause.
    since = min(max(case.ended_at, case.tried_at), now)
    return max(0.0, since + pause - now)
