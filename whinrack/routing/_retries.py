"""A budget for retries: a share of the traffic, so that they can't add to an overload."""

__all__ = ["RetryBudget"]


class RetryBudget:
    """Permits retries as a share of requests.

    Parameters
    ----------
    ratio : float
        Retries for each request.
    max_permits : float
        Retries that are permitted before any traffic, and saved up at most.

    Examples
    --------
    >>> budget = RetryBudget(ratio=0.5, max_permits=1.0)
    >>> budget.try_acquire(), budget.try_acquire()
    (True, False)
    >>> budget.record_request(); budget.record_request(); budget.try_acquire()
    True
    """

    def __init__(self, ratio: float = 0.1, max_permits: float = 10.0):
        self.ratio = ratio
        self.max_permits = max_permits
        self._permits = max_permits

    def record_request(self) -> None:
        """Count a first attempt."""
        self._permits = min(self.max_permits, self._permits + self.ratio)

    def try_acquire(self) -> bool:
        """Take a permit for one retry, if there is one."""
        if self._permits < 1.0:
            return False
        self._permits -= 1.0
        return True
