"""Retry budgets shared by all instances."""

from collections import deque

__all__ = ["RetryBudget", "RetryBudgets"]

# Margin for sliding windows and for instances that disagree on the number of instances.
_SAFETY_FACTOR = 0.7


class RetryBudget:
    """Limits this instance's retries at the targets of one pool within a sliding window.

    Parameters
    ----------
    ratio : float
        Retries per request within the window, over all instances.
    slack : float
        Additional retries of all instances together, independent of the number of requests.
    window : float
        Length of the window in seconds.

    Examples
    --------
    >>> allowance = RetryBudget(ratio=0.0, slack=2.0, window=10.0)
    >>> allowance.try_acquire(0.0, instances=1), allowance.try_acquire(0.1, instances=1)
    (True, False)
    >>> allowance.try_acquire(10.2, instances=1)
    True
    """

    def __init__(self, ratio: float, slack: float, window: float):
        self.ratio = ratio
        self.slack = slack
        self.window = window
        self._requests: deque[float] = deque()
        self._retries: deque[float] = deque()

    def record_request(self, now: float) -> None:
        """Record the first attempt of a request."""
        self._requests.append(now)
        self._forget(now)

    def has_permit(self, now: float, instances: int) -> bool:
        """Return whether a retry would be permitted now."""
        self._forget(now)
        allowed = self.ratio * len(self._requests) + self.slack / max(1, instances)
        return len(self._retries) + 1 <= max(1.0, allowed * _SAFETY_FACTOR)

    def try_acquire(self, now: float, instances: int) -> bool:
        """Take a permit for one retry if available.

        Returns
        -------
        bool
            Whether the retry is permitted.
        """
        if not self.has_permit(now, instances):
            return False
        self._retries.append(now)
        return True

    def _forget(self, now: float) -> None:
        for times in (self._requests, self._retries):
            while times and times[0] < now - self.window:
                times.popleft()


class RetryBudgets:
    """The retry budgets of all pools, with the same limits; see `RetryBudget`.

    Parameters
    ----------
    ratio, slack, window : float
    """

    def __init__(self, ratio: float, slack: float, window: float):
        self.ratio = ratio
        self.slack = slack
        self.window = window
        self._budgets: dict[str, RetryBudget] = {}

    def for_pool(self, pool: str) -> RetryBudget:
        """Return the retry budget of a pool."""
        budget = self._budgets.get(pool)
        if budget is None:
            budget = RetryBudget(self.ratio, self.slack, self.window)
            self._budgets[pool] = budget
        return budget

    def set_limits(self, ratio: float, slack: float, window: float) -> None:
        """Change the limits of all pools; retries made so far still count."""
        for limits in (self, *self._budgets.values()):
            limits.ratio, limits.slack, limits.window = ratio, slack, window
