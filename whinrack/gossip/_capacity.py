"""Choice of instances with high bandwidth and many cores, for tasks with much traffic."""

from collections.abc import Iterable
from typing import NamedTuple

from whinrack.gossip._messages import PeerState

__all__ = ["Capacity", "has_high_capacity", "prefer_high_capacity", "max_capacity"]

# Share of the maximum bandwidth and of the maximum number of cores that high capacity takes.
_HIGH_CAPACITY_SHARE = 0.5


class Capacity(NamedTuple):
    """Bandwidth of an instance's network link, Mbit/s, and number of its cores."""

    bandwidth: float
    cores: float


def max_capacity(states: Iterable[PeerState]) -> Capacity:
    """Return the maximum bandwidth and the maximum number of cores of the instances."""
    states = list(states)
    return Capacity(
        bandwidth=max((state.bandwidth for state in states), default=0.0),
        cores=max((state.cores for state in states), default=0.0),
    )


def has_high_capacity(state: PeerState, best: Capacity) -> bool:
    """Return whether an instance has high bandwidth and many cores, relative to the maxima."""
    wide = state.bandwidth >= _HIGH_CAPACITY_SHARE * best.bandwidth
    return wide and state.cores >= _HIGH_CAPACITY_SHARE * best.cores


def prefer_high_capacity(states: Iterable[PeerState]) -> list[PeerState]:
    """Return the instances of high capacity, or all if none has both bandwidth and cores."""
    states = list(states)
    best = max_capacity(states)
    return [state for state in states if has_high_capacity(state, best)] or states
