"""Which instances callers are sent to. Decisions only, no I/O."""

import math

from whinrack.base import rendezvous
from whinrack.gossip import PeerState

__all__ = ["choose_entries", "is_crowded"]

# Up to so many instances all take callers.
_ALL_UP_TO = 12
# Beyond that: instances of a data hall that take its callers at least, and open requests
# of the hall for each.
_LEAST_OF_A_HALL = 8
_OPEN_FOR_EACH = 24
# An instance is crowded with so many times as many open requests as its peers have, and some
# more; fewer peers tell nothing.
_CROWDED = 1.5
_CROWDED_SLACK = 8
_FEWEST_COMPARED = 3


def choose_entries(ready: list[PeerState], hall: str) -> list[PeerState]:
    """Return the instances to which a caller may be sent.

    In a large fleet callers share a part of the instances of their own data hall: budgets
    are scattered over fewer holders, targets hear from fewer callers with connections of
    their own, and what is known of the targets' load is less divided.

    Parameters
    ----------
    ready : list of PeerState
        Every instance that takes callers.
    hall : str
        Where the caller is; one that isn't known means all of them.
    """
    if len(ready) <= _ALL_UP_TO:
        return ready
    by_hall: dict[str, list[PeerState]] = {}
    for state in ready:
        by_hall.setdefault(state.data_hall, []).append(state)
    halls = [hall] if hall in by_hall else sorted(by_hall)
    return [state for name in halls for state in _of_hall(name, by_hall[name])]


def _of_hall(hall: str, states: list[PeerState]) -> list[PeerState]:
    open_requests = sum(state.load for state in states)
    count = max(_LEAST_OF_A_HALL, math.ceil(open_requests / _OPEN_FOR_EACH))
    by_name = {state.sender.name: state for state in states}
    # The same order at all instances, so that callers and their connections stay.
    return [by_name[name] for name in rendezvous(f"entries/{hall}", by_name)[:count]]


def is_crowded(open_requests: int, serving: list[PeerState]) -> bool:
    """Whether far more requests are open at an instance than at those that serve beside it.

    Callers keep their connections, and some send much more than others.

    Parameters
    ----------
    serving : list of PeerState
        The other instances that serve callers.
    """
    if len(serving) < _FEWEST_COMPARED:
        return False
    mean = sum(state.load for state in serving) / len(serving)
    return open_requests > _CROWDED * mean + _CROWDED_SLACK
