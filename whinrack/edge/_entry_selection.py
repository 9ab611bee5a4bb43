"""Which instances callers are sent to. Decisions only, no I/O."""

from whinrack.base import rendezvous
from whinrack.gossip import Capacity, PeerState, has_high_capacity, max_capacity

__all__ = ["choose_entries", "is_crowded", "is_serving_callers"]

# Up to so many instances all take callers.
_SMALL_FLEET_INSTANCES = 12
# Beyond that: instances and cores of a data hall that take its callers at least, and open
# requests of the hall for each core. Chosen to leave room for a burst and for the loss of an
# entry; not varied in measurements.
_MIN_INSTANCES = 2
_MIN_CORES = 4.0
_OPEN_REQUESTS_PER_CORE = 30.0
# What an instance that doesn't tell its cores counts for.
_DEFAULT_CORES = 0.5
# An instance is crowded with so many times as many open requests as its peers have, and some
# more; fewer peers tell nothing.
_CROWDED_RATIO = 1.5
_CROWDED_SLACK = 8
_MIN_COMPARED_PEERS = 3
# Requests a second from which on an instance counts as serving callers, and below which it no
# longer does. Probes of what is in force come about once a second to every instance: with one
# threshold of 1 a second all 195 states were news again and again, 2.7 kB in each heartbeat.
_SERVING_START_RATE = 3.0
_SERVING_STOP_RATE = 1.5


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
    if len(ready) <= _SMALL_FLEET_INSTANCES:
        return ready
    by_hall: dict[str, list[PeerState]] = {}
    for state in ready:
        by_hall.setdefault(state.data_hall, []).append(state)
    halls = [hall] if hall in by_hall else sorted(by_hall)
    best_capacity = max_capacity(ready)
    return [
        state for name in halls for state in _choose_in_hall(name, by_hall[name], best_capacity)
    ]


def _choose_in_hall(hall: str, states: list[PeerState], best_capacity: Capacity) -> list[PeerState]:
    by_name = {state.sender.name: state for state in states}
    # The same order at all instances, so that callers and their connections stay.
    names = rendezvous(f"entries/{hall}", by_name)
    ordered = sorted(names, key=lambda name: not has_high_capacity(by_name[name], best_capacity))
    needed = max(_MIN_CORES, sum(state.load for state in states) / _OPEN_REQUESTS_PER_CORE)
    chosen: list[PeerState] = []
    cores = 0.0
    for name in ordered:
        if cores >= needed and len(chosen) >= _MIN_INSTANCES:
            break
        chosen.append(by_name[name])
        cores += _cores(by_name[name])
    return chosen


def _cores(state: PeerState) -> float:
    return state.cores or _DEFAULT_CORES


def is_serving_callers(rate: float, was_serving: bool) -> bool:
    """Whether an instance counts as one that serves callers.

    Parameters
    ----------
    rate : float
        Requests a second that arrive there.
    was_serving : bool
        Whether it counted so a moment ago.
    """
    return rate >= (_SERVING_STOP_RATE if was_serving else _SERVING_START_RATE)


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
    if len(serving) < _MIN_COMPARED_PEERS:
        return False
    open_per_core = sum(state.load for state in serving) / sum(map(_cores, serving))
    return open_requests > _CROWDED_RATIO * open_per_core * _cores(own) + _CROWDED_SLACK
