"""Routes by host and path prefix."""

from collections.abc import Iterable, Iterator

from whinrack.dispatch._values import Route

__all__ = ["RouteTable"]


class RouteTable:
    """The routes of one configuration version.

    Parameters
    ----------
    routes : iterable of Route
        Of several with the same host and prefix, the last one counts.
    """

    def __init__(self, routes: Iterable[Route]):
        self._routes: dict[str, dict[str, Route]] = {}
        for route in routes:
            self._routes.setdefault(route.host, {})[route.path_prefix] = route

    def __eq__(self, other: object) -> bool:
        return isinstance(other, RouteTable) and self._routes == other._routes

    __hash__ = None

    def __iter__(self) -> Iterator[Route]:
        return (route for by_path in self._routes.values() for route in by_path.values())

    def find(self, host: str, path: str) -> Route | None:
        """Return the route whose prefix is the longest match for a path, None if none matches."""
        routes = self._routes.get(host, {})
        end = len(path)
        while end > 0:
            end = path.rfind("/", 0, end) + 1
            route = routes.get(path[:end])
            if route is not None:
                return route
            end -= 1
        return None
