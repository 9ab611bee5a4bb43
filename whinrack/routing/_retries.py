"""A budget for retries: a share of the traffic, so that they can't add to an overload."""

__all__ = ["RetryBudget"]


class RetryBudget:
    """Permits retries as a share of requests.

    Parameters
    ----------
    share : float
        Retries for each request.
    reserve : float
        Retries that are permitted before any traffic, and saved up at most.

    Examples
    --------
    >>> budget = RetryBudget(share=0.5, reserve=1.0)
    >>> budget.try_retry(), budget.try_retry()
    (True, False)
    >>> budget.record_request(); budget.record_request(); budget.try_retry()
    True
    """

    def __init__(self, share: float = 0.1, reserve: float = 10.0):
        self.share = share
        self.reserve = reserve
        self._saved = reserve

    def record_request(self) -> None:
        """Count a first attempt."""
        self._saved = min(self.reserve, self._saved + self.share)

    def try_retry(self) -> bool:
        """Take a permit for one retry, if there is one."""
        if self._saved < 1.0:
            return False
        self._saved -= 1.0
        return True
