"""Which instances have wide links and many cores, for work that moves much."""

from collections.abc import Iterable
from typing import NamedTuple

from whinrack.gossip._messages import PeerState

__all__ = ["Capacity", "has_high_capacity", "prefer_high_capacity", "max_capacity"]

# An instance with at least this part of the widest link and of the most cores is strong.
_HIGH_CAPACITY_SHARE = 0.5


class Capacity(NamedTuple):
    """Bandwidth of a link, Mbit/s, and cores."""

    bandwidth: float
    cores: float


def max_capacity(states: Iterable[PeerState]) -> Capacity:
    """Return the widest link and the most cores that any of the instances has."""
    states = list(states)
    return Capacity(
        bandwidth=max((state.bandwidth for state in states), default=0.0),
        cores=max((state.cores for state in states), default=0.0),
    )


def has_high_capacity(state: PeerState, best: Capacity) -> bool:
    """Whether an instance has a wide link and many cores, compared with the best."""
    wide = state.bandwidth >= _HIGH_CAPACITY_SHARE * best.bandwidth
    return wide and state.cores >= _HIGH_CAPACITY_SHARE * best.cores


def prefer_high_capacity(states: Iterable[PeerState]) -> list[PeerState]:
    """Return the strong instances, for work that moves much; all if none is strong in both."""
    states = list(states)
    best = max_capacity(states)
    return [state for state in states if has_high_capacity(state, best)] or states
