"""Division of a pool's engines between long and short prompts; pure logic without I/O.

A short prompt behind a long one misses its objective, and without word from each other instances do
not know where others' long prompts are. So all of them rank the engines alike: the first ones are
the first choice for long prompts, the rest for short ones.
"""

from collections.abc import Collection

from whinrack.base import rendezvous_order

__all__ = ["SizeShares", "is_long_prompt"]

# A prompt is long if processing it takes this fraction of the pool's tightest objective: two of
# them ahead of a request make it late.
_LONG_FRACTION = 0.4
# Half-life of the work that was seen, in seconds.
_HALF_LIFE_SECONDS = 15.0
# Seconds of work of each kind that are assumed before any was seen.
_PRIOR_SECONDS = 1.0


def is_long_prompt(read_seconds: float, tightest_goal: float) -> bool:
    """Return whether a prompt takes so long that it makes others late."""
    return read_seconds >= _LONG_FRACTION * tightest_goal


class SizeShares:
    """Learns the work of long and of short prompts and divides the engines accordingly.

    Parameters
    ----------
    pool : str
        Name of the pool, the key of the order of its engines.
    """

    def __init__(self, pool: str):
        self.pool = pool
        self._work = {True: 0.0, False: 0.0}
        self._updated_at = 0.0
        self._ranked_names: frozenset[str] = frozenset()
        self._ranking: list[str] = []

    def observe(self, read_seconds: float, is_long: bool, now: float) -> None:
        """Record the work of a prompt that this instance was asked to place."""
        factor = 0.5 ** (max(0.0, now - self._updated_at) / _HALF_LIFE_SECONDS)
        self._updated_at = now
        for kind in self._work:
            self._work[kind] *= factor
        self._work[is_long] += read_seconds

    def part(self, names: Collection[str], is_long: bool) -> list[str]:
        """Return the engines that are the first choice for long or for short prompts."""
        if len(names) < 2:
            return list(names)
        ranking = self._ranked(names)
        long_work = self._work[True] + _PRIOR_SECONDS
        share = long_work / (long_work + self._work[False] + _PRIOR_SECONDS)
        count = min(len(ranking) - 1, max(1, round(share * len(ranking))))
        return ranking[:count] if is_long else ranking[count:]

    def _ranked(self, names: Collection[str]) -> list[str]:
        key = frozenset(names)
        if key != self._ranked_names:
            self._ranked_names, self._ranking = key, rendezvous_order(self.pool, names)
        return self._ranking
