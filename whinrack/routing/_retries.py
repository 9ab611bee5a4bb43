"""Retry budget: limits retries to a share of the traffic, so that they can't add to an overload."""

__all__ = ["RetryBudget"]


class RetryBudget:
    """Token bucket that permits retries in proportion to requests.

    Parameters
    ----------
    ratio : float
        Retries permitted for each request.
    max_permits : float
        Permits that are available before any traffic, and the most that can be saved up.

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
        """Take a permit for one retry.

        Returns
        -------
        bool
            False if none is left.
        """
        if self._permits < 1.0:
            return False
        self._permits -= 1.0
        return True
