"""Admission by the bandwidth of this instance's network link; pure logic without I/O.

Load: the callers of a large workspace keep to one instance with a narrow link. Each request crosses
the link twice in each direction, as a request and as an answer, to the caller and to the target.
Beyond the bandwidth, packets queue, all requests are late, and then all miss their deadlines.
Requests that do not fit are refused at once instead, first those that are large and not urgent.
"""

from collections import OrderedDict

__all__ = ["LinkBudget"]

_BYTES_PER_MEGABIT = 125_000
# Share of the bandwidth that requests may use; packet headers and traffic with peers take the rest.
_USABLE_SHARE = 0.85
# Traffic that may be admitted at once, in seconds of the bandwidth: the longest queue that admitted
# requests leave at the link.
_BURST_SECONDS = 0.5
# Share of the burst that is kept for urgent and for small requests.
_KEPT_SHARE = 0.5
# Bytes of the heads of a request and of its answer together.
_HEAD_BYTES = 1000
# Assumed size of answers of a route before the first one, and weight of the latest one, bytes.
_DEFAULT_ANSWER_BYTES = 1000
_ANSWER_WEIGHT = 0.05
# Routes whose answers are remembered, those with the latest ones.
_MAX_ROUTES = 2000
# Weight of the latest request in the mean size.
_SIZE_WEIGHT = 0.02
# Bounds of the time after which refused callers should return, in seconds.
_RETRY_BOUNDS = (0.5, 4.0)


class LinkBudget:
    """Token bucket of the bytes that may cross the link.

    Parameters
    ----------
    bandwidth : float
        Bandwidth of the link in each direction, Mbit/s; 0 for no limit.
    """

    def __init__(self, bandwidth: float):
        self.rate = _USABLE_SHARE * bandwidth * _BYTES_PER_MEGABIT
        self.depth = _BURST_SECONDS * bandwidth * _BYTES_PER_MEGABIT
        self._level = self.depth
        self._updated_at: float | None = None
        self._answer_bytes: OrderedDict[str, float] = OrderedDict()
        self._mean_size = 0.0

    def observe_answer(self, route: str, size: int) -> None:
        """Record the bytes of an answer."""
        if not self.rate:
            return
        known = self._answer_bytes.pop(route, float(size))
        self._answer_bytes[route] = known + _ANSWER_WEIGHT * (size - known)
        if len(self._answer_bytes) > _MAX_ROUTES:
            self._answer_bytes.popitem(last=False)

    def expected_bytes(self, route: str, body_bytes: int) -> float:
        """Return the bytes that a request and its answer are likely to take."""
        return body_bytes + _HEAD_BYTES + self._answer_bytes.get(route, _DEFAULT_ANSWER_BYTES)

    def give_back(self, size: float, body_bytes: int) -> None:
        """Return the bytes of a request that fitted, but was sent nowhere.

        Parameters
        ----------
        size : float
            The bytes that were taken for it.
        body_bytes : int
            Size of its body, which has been received.
        """
        unused = max(0.0, size - _received_bytes(body_bytes))
        self._level = min(self.depth, self._level + unused)

    def charge(self, route: str, body_bytes: int, now: float) -> float:
        """Take the bytes of a request that is not to be refused, as far as there are any.

        Parameters
        ----------
        body_bytes : int
            Size of the request's body.
        now : float
            Monotonic clock, in seconds.

        Returns
        -------
        float
            The bytes that were taken, at most those that the bucket held.
        """
        self._refill(now)
        return self._drain(self.expected_bytes(route, body_bytes))

    def take(self, route: str, body_bytes: int, is_urgent: bool, now: float) -> float | None:
        """Take the bytes of a request, if they fit.

        Parameters
        ----------
        body_bytes : int
            Size of the request's body.
        is_urgent : bool
            Whether no route is more urgent.
        now : float
            Monotonic clock, in seconds.

        Returns
        -------
        float or None
            None if the request fits, else the seconds after which to try again.
        """
        if not self.rate:
            return None
        self._refill(now)
        size = self.expected_bytes(route, body_bytes)
        self._mean_size += _SIZE_WEIGHT * (size - self._mean_size)
        is_preferred = is_urgent or size <= self._mean_size
        needed = size if is_preferred else size + _KEPT_SHARE * self.depth
        # A request that is larger than the bucket waits for a full one.
        needed = min(needed, self.depth)
        if self._level >= needed:
            self._level -= size
            return None
        self._drain(_received_bytes(body_bytes))
        shortest, longest = _RETRY_BOUNDS
        return min(longest, max(shortest, (needed - self._level) / self.rate))

    def _drain(self, size: float) -> float:
        """Take bytes as far as there are any; an oversized request may have left a debt."""
        drained = max(0.0, min(self._level, size))
        self._level -= drained
        return drained

    def _refill(self, now: float) -> None:
        if self._updated_at is not None:
            gained = self.rate * max(0.0, now - self._updated_at)
            self._level = min(self.depth, self._level + gained)
        self._updated_at = now


def _received_bytes(body_bytes: int) -> float:
    """Return the share of a body that has crossed the link once, but was not sent on."""
    return body_bytes / 2
