"""How fast engines process prompts and generate, learned from answers; pure logic without I/O.

The time to the first event of a request grows with the prompt tokens that its engine had to process
until then. All engines of a pool are expected to be alike until their own answers show otherwise.
"""

import statistics
from collections import OrderedDict, deque
from collections.abc import Iterable

__all__ = ["EngineSpeeds"]

# Expected before anything was seen: 50 prompt tokens per ms, and the time of a first event.
_PRIOR_SECONDS_PER_TOKEN = 1 / 50_000
_PRIOR_BASE_SECONDS = 0.02
_PRIOR_STEP_SECONDS = 0.004
# Latest answers from which a pool's speed is learned, and how often it is computed anew.
_POOL_ANSWERS = 128
_ANSWERS_PER_FIT = 16
# Seconds for which the computed slowness of a target is used again.
_SLOWNESS_SECONDS = 0.25
# Own answers that are kept to be told to peers, the latest ones.
_MAX_UNSHARED = 16
# The speed is learned from the difference between large and small prompts. Below this difference of
# their medians, in tokens, it would be noise.
_MIN_SPREAD_TOKENS = 500
# Bounds of a pool's speed as a multiple of the prior.
_SPEED_BOUNDS = (1 / 20, 20.0)
# Latest answers of one target, and the seconds after which they no longer count: a slow target
# that is avoided for that time is tried again.
_TARGET_ANSWERS = 24
_FRESH_SECONDS = 20.0
# Answers as expected that are added to those of each target: one or two slow answers are chance.
_PRIOR_ANSWERS = 4
# One answer in so many was at most as slow as a target is taken to be. Requests that are not known
# here only ever make answers slower.
_QUANTILE = 3
_SLOWNESS_BOUNDS = (0.5, 20.0)
_MIN_EXPECTED_SECONDS = 0.001
# Targets that are remembered, those with the latest answers.
_MAX_TARGETS = 2000
# A pool is uneven if at least this fraction of its targets, two at least, takes this many times as
# long as the median one. Targets with fewer answers are left out.
_UNEVEN_FRACTION = 0.1
_UNEVEN_RATIO = 1.3
_MIN_UNEVEN_TARGETS = 2
_MIN_COMPARED_ANSWERS = 8
# Weight of the latest run in the average time of a step.
_STEP_WEIGHT = 0.05


class _PoolSpeed:
    """Time to the first event of a pool's engines: a constant plus a time per prompt token."""

    def __init__(self):
        self.seconds_per_token = _PRIOR_SECONDS_PER_TOKEN
        self.base_seconds = _PRIOR_BASE_SECONDS
        self.step_seconds = _PRIOR_STEP_SECONDS
        self._answers: deque[tuple[int, float]] = deque(maxlen=_POOL_ANSWERS)
        self._answers_until_fit = _ANSWERS_PER_FIT

    def observe(self, tokens: int, seconds: float) -> None:
        self._answers.append((tokens, seconds))
        self._answers_until_fit -= 1
        if not self._answers_until_fit:
            self._answers_until_fit = _ANSWERS_PER_FIT
            self._fit()

    def _fit(self) -> None:
        """Compare the medians of the smaller and of the larger half of the prompts."""
        answers = sorted(self._answers)
        small, large = answers[: len(answers) // 2], answers[len(answers) // 2 :]
        small_tokens, small_seconds = _medians(small)
        large_tokens, large_seconds = _medians(large)
        spread = large_tokens - small_tokens
        if spread >= _MIN_SPREAD_TOKENS:
            lowest, highest = (bound * _PRIOR_SECONDS_PER_TOKEN for bound in _SPEED_BOUNDS)
            slope = (large_seconds - small_seconds) / spread
            self.seconds_per_token = min(highest, max(lowest, slope))
        self.base_seconds = max(0.0, small_seconds - self.seconds_per_token * small_tokens)

    def expected_seconds(self, tokens: float) -> float:
        return self.base_seconds + tokens * self.seconds_per_token


class EngineSpeeds:
    """Learns the speed of each pool's engines and how much slower or faster single targets are.

    Targets are known by the digest of their start's identity, so a restart forgets what was
    learned.
    """

    def __init__(self):
        self._pools: dict[str, _PoolSpeed] = {}
        # Steady clock times of answers, their tokens and their seconds.
        self._targets: OrderedDict[int, deque[tuple[float, int, float]]] = OrderedDict()
        # When the slowness of targets was computed, and its value.
        self._slowness: dict[int, tuple[float, float]] = {}
        self._unshared: deque[tuple[int, int, float]] = deque(maxlen=_MAX_UNSHARED)

    def observe_own_first_event(
        self, pool: str, digest: int, tokens: int, seconds: float, now: float
    ) -> None:
        """Record a first event of this instance, which peers are to learn as well."""
        self.observe_first_event(pool, digest, tokens, seconds, now)
        self._unshared.append((digest, tokens, seconds))

    def take_unshared(self) -> list[tuple[int, int, float]]:
        """Return digests, tokens and seconds of the first events not yet told to peers."""
        unshared = list(self._unshared)
        self._unshared.clear()
        return unshared

    def observe_first_event(
        self, pool: str, digest: int, tokens: int, seconds: float, now: float
    ) -> None:
        """Record the time that a target took to send the first event of a request.

        Parameters
        ----------
        digest : int
            Digest of the target, see `TargetState.digest`.
        tokens : int
            Prompt tokens that the target had to process until then, as far as known.
        seconds : float
            Time since the request was sent.
        """
        speed = self._pool(pool)
        answers = self._targets.get(digest)
        if answers is None:
            answers = self._targets[digest] = deque(maxlen=_TARGET_ANSWERS)
            if len(self._targets) > _MAX_TARGETS:
                dropped, _ = self._targets.popitem(last=False)
                self._slowness.pop(dropped, None)
        self._targets.move_to_end(digest)
        answers.append((now, tokens, seconds))
        speed.observe(tokens, seconds)

    def observe_steps(self, pool: str, tokens: int, seconds: float) -> None:
        """Record the time in which a target generated output after its first event."""
        if tokens > 0:
            speed = self._pool(pool)
            speed.step_seconds += _STEP_WEIGHT * (seconds / tokens - speed.step_seconds)

    def slowness(self, pool: str, digest: int, now: float) -> float:
        """Return how many times as long as its pool's engines a target takes."""
        answers = self._targets.get(digest)
        if answers is None:
            return 1.0
        computed_at, slowness = self._slowness.get(digest, (float("-inf"), 1.0))
        if now - computed_at >= _SLOWNESS_SECONDS:
            slowness = self._compute_slowness(pool, answers, now)
            self._slowness[digest] = now, slowness
        return slowness

    def is_uneven(self, pool: str, digests: Iterable[int], now: float) -> bool:
        """Return whether some targets of a pool are known to be much slower than the others."""
        known = sorted(
            self.slowness(pool, digest, now)
            for digest in digests
            if len(self._targets.get(digest, ())) >= _MIN_COMPARED_ANSWERS
        )
        if not known:
            return False
        limit = _UNEVEN_RATIO * known[len(known) // 2]
        slow = sum(slowness >= limit for slowness in known)
        return slow >= max(_MIN_UNEVEN_TARGETS, _UNEVEN_FRACTION * len(known))

    def _compute_slowness(
        self, pool: str, answers: Iterable[tuple[float, int, float]], now: float
    ) -> float:
        speed = self._pool(pool)
        ratios = [
            seconds / max(_MIN_EXPECTED_SECONDS, speed.expected_seconds(tokens))
            for at, tokens, seconds in answers
            if now - at <= _FRESH_SECONDS
        ]
        if not ratios:
            return 1.0
        lowest, highest = _SLOWNESS_BOUNDS
        ratios = sorted([*ratios, *[1.0] * _PRIOR_ANSWERS])
        return min(highest, max(lowest, ratios[len(ratios) // _QUANTILE]))

    def expected_seconds(self, pool: str, tokens: float) -> float:
        """Return the time of an ordinary engine of a pool until the first event of a prompt."""
        return self._pool(pool).expected_seconds(tokens)

    def seconds_per_token(self, pool: str) -> float:
        """Return the time in which the pool's engines process one prompt token."""
        return self._pool(pool).seconds_per_token

    def step_seconds(self, pool: str) -> float:
        """Return the time in which the pool's engines generate one token of a request."""
        return self._pool(pool).step_seconds

    def _pool(self, name: str) -> _PoolSpeed:
        pool = self._pools.get(name)
        if pool is None:
            pool = self._pools[name] = _PoolSpeed()
        return pool


def _medians(answers: list[tuple[int, float]]) -> tuple[float, float]:
    tokens, seconds = zip(*answers, strict=True)
    return statistics.median(tokens), statistics.median(seconds)
