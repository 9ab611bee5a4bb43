"""When a target that fails from here is set aside, and for how long.

References
----------
"Consensus based failover with Pgpool-II" describes asking the other proxies before a
back end is detached. `docs/design/ejection.md` compares that with ejecting alone.
"""

from collections.abc import Callable

__all__ = ["EjectAfterVote", "EjectAlone", "EjectionPolicy"]


class EjectionPolicy:
    """Decides from failures and answers whether a target is set aside here."""

    def failed(self, now: float) -> None:
        """Learn of a failed or broken connection."""
        raise NotImplementedError

    def unreachable(self, now: float) -> None:
        """Learn that no connection could be made; by default a failure like others."""
        self.failed(now)

    def succeeded(self, now: float) -> None:
        """Learn of an answer."""
        raise NotImplementedError

    def ejected(self, now: float) -> bool:
        """Whether the target takes no work from here now."""
        raise NotImplementedError


class EjectAlone(EjectionPolicy):
    """Sets a target aside after some failures in a row, by this instance alone.

    When the time is over, one failure is enough to set it aside again, for longer.

    Parameters
    ----------
    failures : int
        Failures in a row that set it aside.
    first, longest : float
        Seconds it is set aside for the first time, and at most.

    Examples
    --------
    >>> policy = EjectAlone(failures=2, first=1.0)
    >>> policy.failed(0.0); policy.failed(0.1)
    >>> policy.ejected(0.2), policy.ejected(1.2)
    (True, False)
    """

    def __init__(self, failures: int = 3, first: float = 1.0, longest: float = 4.0):
        self.failures = failures
        self.first = first
        self.longest = longest
        self._in_row = 0
        self._period = first
        self._until = float("-inf")

    def failed(self, now: float) -> None:
        """Learn of a failed or broken connection."""
        self._in_row += 1
        if self._in_row >= self.failures and not self.ejected(now):
            self._set_aside(now)

    def unreachable(self, now: float) -> None:
        """Set the target aside at once: each further try would cost its caller a wait."""
        self._in_row = max(self._in_row + 1, self.failures)
        if not self.ejected(now):
            self._set_aside(now)

    def _set_aside(self, now: float) -> None:
        self._until = now + self._period
        self._period = min(self.longest, self._period * 2)

    def succeeded(self, now: float) -> None:
        """Learn of an answer."""
        self._in_row = 0
        self._period = self.first
        self._until = now

    def ejected(self, now: float) -> bool:
        """Whether the target takes no work from here now."""
        return now < self._until


class EjectAfterVote(EjectionPolicy):
    """Sets a target aside only when most peers see it fail as well.

    Parameters
    ----------
    alone : EjectAlone
        What this instance would do by itself.
    ask_peers : callable
        Returns how many of the peers that answered see the target fail, and how many
        answered.
    """

    def __init__(self, alone: EjectAlone, ask_peers: Callable[[float], tuple[int, int]]):
        self.alone = alone
        self.ask_peers = ask_peers
        self._agreed_until = float("-inf")

    def failed(self, now: float) -> None:
        """Learn of a failure, and ask the peers where it would set the target aside."""
        self.alone.failed(now)
        if not self.alone.ejected(now) or now < self._agreed_until:
            return
        failing, answered = self.ask_peers(now)
        if 2 * (failing + 1) > answered + 1:
            self._agreed_until = self.alone._until

    def succeeded(self, now: float) -> None:
        """Learn of an answer."""
        self.alone.succeeded(now)
        self._agreed_until = now

    def ejected(self, now: float) -> bool:
        """Whether the target takes no work from here now."""
        return now < self._agreed_until
