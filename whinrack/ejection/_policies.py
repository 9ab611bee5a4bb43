"""When a target that fails from here is set aside, and for how long.

References
----------
"Consensus based failover with Pgpool-II" describes asking the other proxies before a
back end is detached. `docs/design/ejection.md` compares that with ejecting alone.
"""

from collections.abc import Callable

__all__ = ["EjectionPolicy", "LocalEjection", "MajorityEjection"]


class EjectionPolicy:
    """Decides from failures and answers whether a target is set aside here."""

    def record_failure(self, now: float) -> None:
        """Learn of a failed or broken connection."""
        raise NotImplementedError

    def record_unreachable(self, now: float) -> None:
        """Learn that no connection could be made; by default a failure like others."""
        self.record_failure(now)

    def record_success(self, now: float) -> None:
        """Learn of an answer."""
        raise NotImplementedError

    def is_ejected(self, now: float) -> bool:
        """Whether the target takes no work from here now."""
        raise NotImplementedError


class LocalEjection(EjectionPolicy):
    """Sets a target aside after some failures in a row, by this instance alone.

    When the time is over, one failure is enough to set it aside again, for longer.

    Parameters
    ----------
    failure_threshold : int
        Failures in a row that set it aside.
    initial_seconds, max_seconds : float
        Seconds it is set aside for the first time, and at most.

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
        """Learn of a failed or broken connection."""
        self._consecutive_failures += 1
        if self._consecutive_failures >= self.failure_threshold and not self.is_ejected(now):
            self._eject(now)

    def record_unreachable(self, now: float) -> None:
        """Set the target aside at once: each further try would cost its caller a wait."""
        self._consecutive_failures = max(self._consecutive_failures + 1, self.failure_threshold)
        if not self.is_ejected(now):
            self._eject(now)

    def _eject(self, now: float) -> None:
        self._ejected_until = now + self._next_seconds
        self._next_seconds = min(self.max_seconds, self._next_seconds * 2)

    def record_success(self, now: float) -> None:
        """Learn of an answer."""
        self._consecutive_failures = 0
        self._next_seconds = self.initial_seconds
        self._ejected_until = now

    def is_ejected(self, now: float) -> bool:
        """Whether the target takes no work from here now."""
        return now < self._ejected_until


class MajorityEjection(EjectionPolicy):
    """Sets a target aside only when most peers see it fail as well.

    Parameters
    ----------
    local : LocalEjection
        What this instance would do by itself.
    ask_peers : callable
        Returns how many of the peers that answered see the target fail, and how many
        answered.
    """

    def __init__(self, local: LocalEjection, ask_peers: Callable[[float], tuple[int, int]]):
        self.local = local
        self.ask_peers = ask_peers
        self._ejected_until = float("-inf")

    def record_failure(self, now: float) -> None:
        """Learn of a failure, and ask the peers where it would set the target aside."""
        self.local.record_failure(now)
        if not self.local.is_ejected(now) or now < self._ejected_until:
            return
        failing, answered = self.ask_peers(now)
        if 2 * (failing + 1) > answered + 1:
            self._ejected_until = self.local._ejected_until

    def record_success(self, now: float) -> None:
        """Learn of an answer."""
        self.local.record_success(now)
        self._ejected_until = now

    def is_ejected(self, now: float) -> bool:
        """Whether the target takes no work from here now."""
        return now < self._ejected_until
