"""Load-balancing strategies that choose a target inside a pool."""

import random
from collections.abc import Sequence

from whinrack.base import rendezvous_order
from whinrack.routing._targets import TargetView

__all__ = ["AffinityPicker", "Picker", "RandomPicker", "TwoChoicesPicker"]

_MAX_LOAD_RATIO = 1.25


class Picker:
    """Base class of the strategies that choose one of the targets with room."""

    def pick(self, targets: Sequence[TargetView], key: str, now: float) -> TargetView | None:
        """Choose a target; None if `targets` is empty."""
        raise NotImplementedError


class RandomPicker(Picker):
    """Chooses any target, whatever its load; the baseline for other strategies.

    Parameters
    ----------
    seed : int, optional
        Seed of the random choice.
    """

    def __init__(self, seed: int | None = None):
        self.seed = seed
        self._random = random.Random(seed)

    def pick(self, targets: Sequence[TargetView], key: str, now: float) -> TargetView | None:
        """Choose a target; None if `targets` is empty."""
        return self._random.choice(targets) if targets else None


class TwoChoicesPicker(Picker):
    """Chooses the less loaded of two random targets.

    Known loads lag behind, so many instances that all choose the least loaded target
    overload it together; two random choices avoid that.

    Parameters
    ----------
    seed : int, optional
        Seed of the random choice.

    References
    ----------
    Mitzenmacher, "The power of two choices in randomized load balancing", 2001.
    """

    def __init__(self, seed: int | None = None):
        self.seed = seed
        self._random = random.Random(seed)

    def pick(self, targets: Sequence[TargetView], key: str, now: float) -> TargetView | None:
        """Choose a target; None if `targets` is empty."""
        if not targets:
            return None
        sample = self._random.sample(targets, min(2, len(targets)))
        return min(sample, key=lambda target: _utilisation(target, now))


class AffinityPicker(Picker):
    """Prefers targets that probably have the prompt's prefix cached, within a load bound.

    Parameters
    ----------
    fallback : Picker
        Chooses a target when every preferred one is loaded beyond the bound.
    max_load_ratio : float
        Largest load of a preferred target, as a multiple of the mean load.

    References
    ----------
    Mirrokni, Thorup and Zadimoghaddam, "Consistent hashing with bounded loads", 2018.
    """

    def __init__(self, fallback: Picker, max_load_ratio: float = _MAX_LOAD_RATIO):
        self.fallback = fallback
        self.max_load_ratio = max_load_ratio

    def pick(self, targets: Sequence[TargetView], key: str, now: float) -> TargetView | None:
        """Choose a target; None if `targets` is empty."""
        if not targets:
            return None
        mean = sum(target.estimate_load(now) for target in targets) / len(targets)
        bound = max(1.0, self.max_load_ratio * mean)
        by_name = {target.name: target for target in targets}
        for name in rendezvous_order(key, by_name)[:2]:
            if by_name[name].estimate_load(now) <= bound:
                return by_name[name]
        return self.fallback.pick(targets, key, now)


def _utilisation(target: TargetView, now: float) -> float:
    return target.estimate_load(now) / target.spec.max_concurrency
