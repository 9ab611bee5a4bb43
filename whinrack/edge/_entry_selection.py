"""Selection of the instances that callers connect to. Decisions only, no I/O."""

from whinrack.base import rendezvous_order
from whinrack.gossip import Capacity, PeerState, has_high_capacity, max_capacity

__all__ = ["choose_entries", "is_crowded", "is_serving_callers"]

# Up to this fleet size all instances accept callers.
_SMALL_FLEET_INSTANCES = 12
# In larger fleets: minimum number of instances and cores of a data hall that accept its callers,
# and open requests of the hall per core. They leave room for a burst and for the loss of an
# instance.
_MIN_INSTANCES = 2
_MIN_CORES = 4.0
_OPEN_REQUESTS_PER_CORE = 30.0
# Assumed for an instance that does not state its cores.
_DEFAULT_CORES = 0.5
# An instance is crowded when its open requests exceed those of its peers by this factor plus the
# slack. With fewer peers to compare with, none counts as crowded.
_CROWDED_RATIO = 1.5
_CROWDED_SLACK = 8
_MIN_COMPARED_PEERS = 3
# Request rates, per second, at which an instance starts and stops to count as serving callers.
# Probes of the configuration reach every instance about once a second: with a single threshold of
# 1 per second all 195 states changed again and again, which added 2.7 kB to each heartbeat.
_SERVING_START_RATE = 3.0
_SERVING_STOP_RATE = 1.5


def choose_entries(ready: list[PeerState], hall: str) -> list[PeerState]:
    """Return the instances that a caller may connect to.

    In a large fleet these are some instances of the caller's data hall, preferably those with high
    capacity.
    Budgets are then spread over fewer holders, targets have connections from fewer instances, and
    each instance knows more of the targets' load.

    Parameters
    ----------
    ready : list of PeerState
        States of all instances that accept callers.
    hall : str
        Data hall of the caller; all halls are used if it is unknown.
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
    # The order is the same at all instances, so that callers keep their connections.
    names = rendezvous_order(f"entries/{hall}", by_name)
    ordered = sorted(
        names,
        key=lambda name: (
            not has_high_capacity(by_name[name], best_capacity),
            -by_name[name].bandwidth,
        ),
    )
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
    """Return whether an instance counts as serving callers.

    Parameters
    ----------
    rate : float
        Requests per second that arrive at the instance.
    was_serving : bool
        Previous result for this instance.
    """
    return rate >= (_SERVING_STOP_RATE if was_serving else _SERVING_START_RATE)


def is_crowded(own: PeerState, open_requests: int, serving: list[PeerState]) -> bool:
    """Return whether far more requests are open at an instance than at its serving peers.

    Load is uneven because callers keep their connections and some send much more than others.

    Parameters
    ----------
    own : PeerState
        State of the instance. Its `load` is quantized, hence `open_requests`.
    open_requests : int
        Requests in progress at the instance.
    serving : list of PeerState
        States of the other instances that serve callers.
    """
    if len(serving) < _MIN_COMPARED_PEERS:
        return False
    open_per_core = sum(state.load for state in serving) / sum(map(_cores, serving))
    return open_requests > _CROWDED_RATIO * open_per_core * _cores(own) + _CROWDED_SLACK
