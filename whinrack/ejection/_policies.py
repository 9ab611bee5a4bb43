"""Policies that decide when a failing target is ejected, and for how long.

References
----------
"Consensus based failover with Pgpool-II" describes asking the other proxies before a
back end is detached. `docs/design/ejection.md` compares that with local ejection.
"""

from collections.abc import Callable

__all__ = ["EjectionPolicy", "LocalEjection", "MajorityEjection"]


class EjectionPolicy:
    """Base class of policies that eject a target on the failures this instance sees."""

    def record_failure(self, now: float) -> None:
        """Record a failed or broken connection."""
        raise NotImplementedError

    def record_unreachable(self, now: float) -> None:
        """Record that no connection could be made; by default a failure like any other."""
        self.record_failure(now)

    def record_success(self, now: float) -> None:
        """Record an answer from the target."""
        raise NotImplementedError

    def is_ejected(self, now: float) -> bool:
        """Return whether this instance sends the target no work now."""
        raise NotImplementedError


class LocalEjection(EjectionPolicy):
    """Ejects a target after consecutive failures, on this instance's evidence alone.

    Once an ejection has ended, a single failure ejects the target again, for longer.

    Parameters
    ----------
    failure_threshold : int
        Consecutive failures that eject the target.
    initial_seconds, max_seconds : float
        Duration of the first ejection, and of the longest.

    Examples
    --------
    >>> policy = LocalEjection(failure_threshold=2, initial_seconds=1.0)
    >>> policy.record_failure(0.0); policy.record_failure(0.1)
    >>> policy.is_ejected(0.2), policy.is_ejected(1.2)
    (True, False)
    """

    def __init__(
        self, failure_threshold: int = 3, initial_seconds: float = 1.0, max_seconds: float = 4.0
    ):
        self.failure_threshold = failure_threshold
        self.initial_seconds = initial_seconds
        self.max_seconds = max_seconds
        self._consecutive_failures = 0
        self._next_seconds = initial_seconds
        self._ejected_until = float("-inf")

    def record_failure(self, now: float) -> None:
        """Record a failed or broken connection."""
        self._consecutive_failures += 1
        if self._consecutive_failures >= self.failure_threshold and not self.is_ejected(now):
            self._eject(now)

    def record_unreachable(self, now: float) -> None:
        """Eject the target at once: each further attempt would delay its caller."""
        self._consecutive_failures = max(self._consecutive_failures + 1, self.failure_threshold)
        if not self.is_ejected(now):
            self._eject(now)

    def _eject(self, now: float) -> None:
        self._ejected_until = now + self._next_seconds
        self._next_seconds = min(self.max_seconds, self._next_seconds * 2)

    def record_success(self, now: float) -> None:
        """Record an answer from the target."""
        self._consecutive_failures = 0
        self._next_seconds = self.initial_seconds
        self._ejected_until = now

    def is_ejected(self, now: float) -> bool:
        """Return whether this instance sends the target no work now."""
        return now < self._ejected_until


class MajorityEjection(EjectionPolicy):
    """Ejects a target only when most of the instances that answer see it fail.

    Parameters
    ----------
    local : LocalEjection
        The policy that this instance would follow without its peers.
    ask_peers : callable
        Takes the clock time. Returns how many of the peers that answered see the target
        fail, and how many answered.
    """

    def __init__(self, local: LocalEjection, ask_peers: Callable[[float], tuple[int, int]]):
        self.local = local
        self.ask_peers = ask_peers
        self._ejected_until = float("-inf")

    def record_failure(self, now: float) -> None:
        """Record a failure, and ask the peers if the local policy would eject the target."""
        self.local.record_failure(now)
        if not self.local.is_ejected(now) or now < self._ejected_until:
            return
        failing, answered = self.ask_peers(now)
        if 2 * (failing + 1) > answered + 1:
            self._ejected_until = self.local._ejected_until

    def record_success(self, now: float) -> None:
        """Record an answer from the target."""
        self.local.record_success(now)
        self._ejected_until = now

    def is_ejected(self, now: float) -> bool:
        """Return whether this instance sends the target no work now."""
        return now < self._ejected_until
