"""One version of the configuration, indexed for lookups by request."""

from collections.abc import Iterable

import msgspec

from whinrack.dispatch._route_table import RouteTable
from whinrack.dispatch._values import PoolRecord, Route, WorkspaceRecord
from whinrack.exceptions import NoRoute, Unauthorized
from whinrack.http1 import ServerLimits

__all__ = ["Configuration", "PoolObjectives"]


class PoolObjectives(msgspec.Struct, frozen=True):
    """Latency objectives of the routes to a pool.

    Attributes
    ----------
    tightest_goal : float
        The shortest one, in seconds.
    tightest_gap_goal : float
        The shortest pause between events that is too long, in seconds, 0 if not stated.
    """

    tightest_goal: float
    tightest_gap_goal: float


class Configuration:
    """The routes, pools, workspaces and limits of one configuration version.

    Parameters
    ----------
    version : int
        Higher versions replace lower ones.
    routes, pools, workspaces : iterable
    limits : ServerLimits
    is_key_required : bool
        Whether routes that are not public require a key.
    ignored_fields : iterable of str
        Fields that were ignored, with the reason; for logs.
    """

    def __init__(
        self,
        version: int,
        routes: Iterable[Route],
        pools: Iterable[PoolRecord],
        workspaces: Iterable[WorkspaceRecord],
        limits: ServerLimits,
        is_key_required: bool = True,
        ignored_fields: Iterable[str] = (),
    ):
        self.ignored_fields = tuple(ignored_fields)
        self.version = version
        self.limits = limits
        self.is_key_required = is_key_required
        self.pools = {pool.name: pool for pool in pools}
        self.workspaces = {workspace.name: workspace for workspace in workspaces}
        self.routes = RouteTable(routes)
        self._objectives = self._pool_objectives()
        self._keys = {
            key: workspace for workspace in self.workspaces.values() for key in workspace.keys
        }

    @property
    def workspace_limits(self) -> dict[str, int]:
        """Prepaid token limits by workspace."""
        return {
            name: workspace.token_limit
            for name, workspace in self.workspaces.items()
            if workspace.token_limit is not None
        }

    @property
    def token_urgencies(self) -> frozenset[int]:
        """Priorities of the routes to engines, whose requests use prepaid tokens."""
        return frozenset(
            route.priority
            for route in self.routes
            if any(self._has_engine(weighted.pool) for weighted in route.weighted_pools)
        )

    def _has_engine(self, name: str) -> bool:
        pool = self.pools.get(name)
        return pool is not None and pool.engine is not None

    def objectives(self, pool: str) -> PoolObjectives | None:
        """Return the objectives of a pool of engines, None if its routes state none."""
        return self._objectives.get(pool)

    def _pool_objectives(self) -> dict[str, PoolObjectives]:
        routes_by_pool: dict[str, list[Route]] = {}
        for route in self.routes:
            for weighted_pool in route.weighted_pools:
                routes_by_pool.setdefault(weighted_pool.pool, []).append(route)
        objectives = {}
        for name, routes in routes_by_pool.items():
            pool = self.pools.get(name)
            goals = [route.goal for route in routes if route.goal > 0.0]
            if pool is None or pool.engine is None or not goals:
                continue
            gap_goals = [route.gap_goal for route in routes if route.gap_goal > 0.0]
            objectives[name] = PoolObjectives(min(goals), min(gap_goals, default=0.0))
        return objectives

    def find_route(self, host: str, path: str) -> Route:
        """Return the route whose prefix is the longest match for a path.

        Raises
        ------
        NoRoute
        """
        route = self.routes.find(host, path)
        if route is None:
            raise NoRoute("no route matches this host and path")
        return route

    def authenticate(self, route: Route, key: str) -> WorkspaceRecord | None:
        """Return the workspace that a key belongs to.

        Returns
        -------
        WorkspaceRecord or None
            None for an unknown key if the route is public or no keys are required.

        Raises
        ------
        Unauthorized
        """
        if route.is_public or not self.is_key_required:
            return self._keys.get(key)
        workspace = self._keys.get(key)
        if workspace is None:
            raise Unauthorized("unknown key")
        return workspace
