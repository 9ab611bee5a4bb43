"""Bounded queue of a pool, ordered by request class and deadline."""

from collections.abc import Callable

import msgspec
from returns.result import Failure, Result, Success

from whinrack.exceptions import DeadlineUnreachable, QueueFull, Refusal
from whinrack.objects import RequestClass

__all__ = ["PoolQueue", "QueuedRequest"]

_RANK = {RequestClass.ALERT: 0, RequestClass.INTERACTIVE: 1, RequestClass.DEFERRABLE: 2}
_INITIAL_SERVICE_TIME = 0.5
_MIN_RETRY_AFTER = 1.0
_SERVICE_TIME_WEIGHT = 0.1
_URGENT_SERVICE_TIMES = 4.0


class QueuedRequest(msgspec.Struct, eq=False):
    """A request that waits in the queue of a pool.

    Attributes
    ----------
    deadline : float
        Clock time by which the request must be started.
    wake : callable
        Called when a slot may be free or `refusal` is set.
    refusal : Refusal or None
        Set when the request was removed in favour of a more urgent one.
    sequence : int
        Order of arrival; breaks ties.
    """

    request_class: RequestClass
    deadline: float
    wake: Callable[[], None]
    refusal: Refusal | None = None
    sequence: int = 0


class PoolQueue:
    """Priority queue of the requests that wait for a pool. Performs no I/O.

    Alerts go first, then interactive requests, then deferrable ones. A deferrable
    request whose deadline is near ranks as interactive, so that it still finishes.
    Within a rank the earliest deadline goes first.

    Parameters
    ----------
    limit : int
        Maximum number of waiting requests.
    """

    def __init__(self, limit: int):
        self.limit = limit
        self.service_time = _INITIAL_SERVICE_TIME
        self._requests: list[QueuedRequest] = []
        self._last_sequence = 0

    def __len__(self) -> int:
        return len(self._requests)

    def enqueue(
        self, request: QueuedRequest, slots: int, now: float
    ) -> Result[QueuedRequest, Refusal]:
        """Queue a request, or refuse it at once if it can't be started in time.

        Parameters
        ----------
        slots : int
            Requests that the pool's targets can run at once.

        Returns
        -------
        Result
            The request, or the refusal if it would miss its deadline or the queue is full.
        """
        ahead = sum(1 for other in self._requests if self._rank(other, now) <= _class_rank(request))
        expected = self.expected_wait(ahead, slots)
        if now + expected > request.deadline:
            return Failure(
                DeadlineUnreachable(
                    f"{ahead} requests are ahead, about {expected:.1f} s of waiting",
                    retry_after=max(_MIN_RETRY_AFTER, expected),
                )
            )
        if len(self._requests) >= self.limit and not self._displace_last(request, slots, now):
            return Failure(
                QueueFull(
                    f"{len(self._requests)} requests are waiting",
                    retry_after=max(_MIN_RETRY_AFTER, self.expected_wait(ahead, slots)),
                )
            )
        self._last_sequence += 1
        request.sequence = self._last_sequence
        self._requests.append(request)
        return Success(request)

    def remove(self, request: QueuedRequest) -> None:
        """Remove a request from the queue if it is there."""
        if request in self._requests:
            self._requests.remove(request)

    def peek(self, now: float) -> QueuedRequest | None:
        """Return the request to be served next; None if the queue is empty."""
        return min(self._requests, key=lambda request: self._sort_key(request, now), default=None)

    def record_service_time(self, seconds: float) -> None:
        """Update the moving average of the seconds for which a request occupies a slot."""
        self.service_time += _SERVICE_TIME_WEIGHT * (seconds - self.service_time)

    def expected_wait(self, ahead: int, slots: int) -> float:
        """Estimate the seconds until a request with `ahead` others before it is started."""
        return (ahead + 1) * self.service_time / max(1, slots)

    def _displace_last(self, new_request: QueuedRequest, slots: int, now: float) -> bool:
        """Remove and refuse the last request if the new one is more urgent.

        Returns
        -------
        bool
            Whether a request was removed.
        """
        last = max(self._requests, key=lambda request: self._sort_key(request, now))
        if self._rank(last, now) <= _class_rank(new_request):
            return False
        self._requests.remove(last)
        wait = self.expected_wait(len(self._requests), slots)
        last.refusal = QueueFull(
            "gave way to more urgent work", retry_after=max(_MIN_RETRY_AFTER, wait)
        )
        last.wake()
        return True

    def _sort_key(self, request: QueuedRequest, now: float) -> tuple:
        return (self._rank(request, now), request.deadline, request.sequence)

    def _rank(self, request: QueuedRequest, now: float) -> int:
        """Return the rank of a request; deferrable ones near their deadline are raised."""
        rank = _class_rank(request)
        urgent = request.deadline - now < _URGENT_SERVICE_TIMES * self.service_time
        if rank == _RANK[RequestClass.DEFERRABLE] and urgent:
            return _RANK[RequestClass.INTERACTIVE]
        return rank


def _class_rank(request: QueuedRequest) -> int:
    return _RANK[request.request_class]
