"""Choosing a target inside a pool; every picker has the same one method."""

import random
from collections.abc import Sequence

from whinrack.base import rendezvous
from whinrack.routing._targets import TargetView

__all__ = ["AffinityPicker", "Picker", "RandomPicker", "TwoChoicesPicker"]

_MAX_LOAD_RATIO = 1.25


class Picker:
    """Chooses one of the targets that have room."""

    def pick(self, targets: Sequence[TargetView], key: str, now: float) -> TargetView | None:
        """Return a target, None if there are none to choose from."""
        raise NotImplementedError


class RandomPicker(Picker):
    """Any target, whatever its load; the baseline that others are measured against.

    Parameters
    ----------
    seed : int, optional
        Seeds the choice.
    """

    def __init__(self, seed: int | None = None):
        self.seed = seed
        self._random = random.Random(seed)

    def pick(self, targets: Sequence[TargetView], key: str, now: float) -> TargetView | None:
        """Return a target, None if there are none to choose from."""
        return self._random.choice(targets) if targets else None


class TwoChoicesPicker(Picker):
    """The less loaded of two random targets.

    Loads are known late, and many instances that all go for the least loaded target
    overrun it together; two random choices do not.

    Parameters
    ----------
    seed : int, optional
        Seeds the choice.

    References
    ----------
    Mitzenmacher, "The power of two choices in randomized load balancing", 2001.
    """

    def __init__(self, seed: int | None = None):
        self.seed = seed
        self._random = random.Random(seed)

    def pick(self, targets: Sequence[TargetView], key: str, now: float) -> TargetView | None:
        """Return a target, None if there are none to choose from."""
        if not targets:
            return None
        sample = self._random.sample(targets, min(2, len(targets)))
        return min(sample, key=lambda target: _utilisation(target, now))


class AffinityPicker(Picker):
    """The target that likely has the prompt's prefix cached, within bounds on its load.

    Parameters
    ----------
    fallback : Picker
        Chooses where every preferred target is loaded beyond the bound.
    max_load_ratio : float
        How many times the mean load a preferred target may have.

    References
    ----------
    Mirrokni, Thorup and Zadimoghaddam, "Consistent hashing with bounded loads", 2018.
    """

    def __init__(self, fallback: Picker, max_load_ratio: float = _MAX_LOAD_RATIO):
        self.fallback = fallback
        self.max_load_ratio = max_load_ratio

    def pick(self, targets: Sequence[TargetView], key: str, now: float) -> TargetView | None:
        """Return a target, None if there are none to choose from."""
        if not targets:
            return None
        mean = sum(target.estimate_load(now) for target in targets) / len(targets)
        bound = max(1.0, self.max_load_ratio * mean)
        by_name = {target.name: target for target in targets}
        for name in rendezvous(key, by_name)[:2]:
            if by_name[name].estimate_load(now) <= bound:
                return by_name[name]
        return self.fallback.pick(targets, key, now)


def _utilisation(target: TargetView, now: float) -> float:
    return target.estimate_load(now) / target.spec.max_concurrency
