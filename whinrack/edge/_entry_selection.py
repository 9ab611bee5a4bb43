"""Which instances callers are sent to. Decisions only, no I/O."""

from whinrack.base import rendezvous
from whinrack.gossip import Capacity, PeerState, has_high_capacity, max_capacity

__all__ = ["choose_entries", "is_crowded", "serves_callers"]

# Up to so many instances all take callers.
_ALL_UP_TO = 12
# Beyond that: instances and cores of a data hall that take its callers at least, and open
# requests of the hall for each core. Chosen to leave room for a burst and for the loss of an
# entry; not varied in measurements.
_LEAST_INSTANCES = 2
_LEAST_CORES = 4.0
_OPEN_PER_CORE = 30.0
# What an instance that doesn't tell its cores counts for.
_UNKNOWN_CORES = 0.5
# An instance is crowded with so many times as many open requests as its peers have, and some
# more; fewer peers tell nothing.
_CROWDED = 1.5
_CROWDED_SLACK = 8
_FEWEST_COMPARED = 3
# Requests a second from which on an instance counts as serving callers, and below which it no
# longer does. Probes of what is in force come about once a second to every instance: with one
# threshold of 1 a second all 195 states were news again and again, 2.7 kB in each heartbeat.
_SERVES_FROM = 3.0
_SERVES_UNTIL = 1.5


def choose_entries(ready: list[PeerState], hall: str) -> list[PeerState]:
    """Return the instances to which a caller may be sent.

    In a large fleet callers share a part of the instances of their own data hall, the strong
    ones first: budgets are scattered over fewer holders, targets hear from fewer callers with
    connections of their own, and what is known of the targets' load is less divided.

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
    best = max_capacity(ready)
    return [state for name in halls for state in _of_hall(name, by_hall[name], best)]


def _of_hall(hall: str, states: list[PeerState], best: Capacity) -> list[PeerState]:
    by_name = {state.sender.name: state for state in states}
    # The same order at all instances, so that callers and their connections stay.
    names = rendezvous(f"entries/{hall}", by_name)
    ordered = sorted(names, key=lambda name: not has_high_capacity(by_name[name], best))
    needed = max(_LEAST_CORES, sum(state.load for state in states) / _OPEN_PER_CORE)
    chosen: list[PeerState] = []
    cores = 0.0
    for name in ordered:
        if cores >= needed and len(chosen) >= _LEAST_INSTANCES:
            break
        chosen.append(by_name[name])
        cores += _cores(by_name[name])
    return chosen


def _cores(state: PeerState) -> float:
    return state.cores or _UNKNOWN_CORES


def serves_callers(rate: float, served: bool) -> bool:
    """Whether an instance counts as one that serves callers.

    Parameters
    ----------
    rate : float
        Requests a second that arrive there.
    served : bool
        Whether it counted so a moment ago.
    """
    return rate >= (_SERVES_UNTIL if served else _SERVES_FROM)


def is_crowded(own: PeerState, open_requests: int, serving: list[PeerState]) -> bool:
    """Whether far more requests are open at an instance than at those that serve beside it.

    Callers keep their connections, and some send much more than others.

    Parameters
    ----------
    own : PeerState
        What the instance says of itself; its load is told in steps.
    serving : list of PeerState
        The other instances that serve callers.
    """
    if len(serving) < _FEWEST_COMPARED:
        return False
    open_per_core = sum(state.load for state in serving) / sum(map(_cores, serving))
    return open_requests > _CROWDED * open_per_core * _cores(own) + _CROWDED_SLACK
