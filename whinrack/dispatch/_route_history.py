"""Where requests were routed lately; pure logic without I/O."""

from collections import deque
from collections.abc import Callable, Iterable

from whinrack.clock import steady
from whinrack.dispatch._route_table import RouteTable
from whinrack.dispatch._values import Route, RouteKind

__all__ = ["RouteHistory"]

# Seconds for which superseded routes are kept, longer than any stream lasts.
_KEPT_SECONDS = 120.0
_MAX_KEPT = 8


class RouteHistory:
    """Remembers the routes of streams in superseded configurations.

    Parameters
    ----------
    clock : callable
        Monotonic clock.

    Attributes
    ----------
    complete_since : float
        Time since when all routes are known, infinite before the first configuration.
    """

    def __init__(self, clock: Callable[[], float] = steady):
        self.clock = clock
        self.complete_since = float("inf")
        self._current: RouteTable | None = None
        # Routes with the time at which they were superseded, the latest last.
        self._superseded: deque[tuple[float, RouteTable]] = deque()

    def replace(self, routes: Iterable[Route]) -> None:
        """Record that the routes of another configuration have taken effect."""
        now = self.clock()
        table = RouteTable(route for route in routes if route.kind is RouteKind.STREAM)
        previous, self._current = self._current, table
        if previous is None:
            self.complete_since = now
        elif previous != table:
            self._keep(previous, now)

    def _keep(self, routes: RouteTable, now: float) -> None:
        self._superseded.append((now, routes))
        while len(self._superseded) > _MAX_KEPT or self._superseded[0][0] < now - _KEPT_SECONDS:
            self.complete_since, _ = self._superseded.popleft()

    def longest_timeout(self, route: Route, host: str, path: str) -> float:
        """Return the longest timeout that a path is known to have had, in seconds.

        Parameters
        ----------
        route : Route
            The current route of the path.
        """
        earlier = self._earlier_routes(host, path, since=self.clock() - _KEPT_SECONDS)
        return max(known.timeout for known in [route, *earlier])

    def had_same_pools(self, route: Route, host: str, path: str, seconds: float) -> bool:
        """Return whether requests for a path were routed to the same pools all the time.

        Parameters
        ----------
        route : Route
            The current route of the path.
        seconds : float
            How far back to look.
        """
        since = self.clock() - seconds
        pools = _pool_names(route)
        return self.complete_since <= since and all(
            _pool_names(previous) == pools for previous in self._earlier_routes(host, path, since)
        )

    def _earlier_routes(self, host: str, path: str, since: float) -> list[Route]:
        """Return the routes of a path that were superseded after a time."""
        found = [routes.find(host, path) for at, routes in self._superseded if at >= since]
        return [route for route in found if route is not None]


def _pool_names(route: Route) -> set[str]:
    return {weighted.pool for weighted in route.weighted_pools}
