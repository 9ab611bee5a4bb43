"""Checks of routes."""

import re
from collections.abc import Iterator

from whinrack.configuration_check._declared import DeclaredConfiguration
from whinrack.configuration_check._findings import Finding, FindingCode
from whinrack.dispatch import Route, RouteKind

__all__ = ["check_routes"]

# Characters of a path in a request that the HTTP parser accepts.
_PATH_PATTERN = re.compile(r"[!->@-~]*")


def check_routes(configuration: DeclaredConfiguration) -> Iterator[Finding]:
    """Check each route, and the routes against one another and against the pools."""
    pools = {pool.name for pool in configuration.pools}
    yield from _check_duplicates(configuration.routes)
    for route in configuration.routes:
        for code, message in (
            *_check_match(route),
            *_check_pools(route, pools),
            *_check_limits(route),
        ):
            yield Finding.make(code, f"route {route.name}", message)


def _check_duplicates(routes: tuple[Route, ...]) -> Iterator[Finding]:
    last_by_address = {_address(route): route for route in routes}
    later_by_form: dict[tuple[str, str], Route] = {}
    for route in reversed(routes):
        where, address = f"route {route.name}", _address(route)
        last = last_by_address[address]
        similar = later_by_form.setdefault(_normalised_address(route), route)
        if last is not route:
            message = (
                f"{''.join(address)} is also that of the later route {last.name}, which hides it"
            )
            yield Finding.make(FindingCode.DUPLICATE_ROUTE, where, message)
        elif similar is not route and _address(similar) != address:
            message = f"{''.join(address)} means the same as {''.join(_address(similar))}"
            yield Finding.make(FindingCode.EQUIVALENT_ROUTE, where, message)


def _address(route: Route) -> tuple[str, str]:
    return route.host, route.path_prefix


def _normalised_address(route: Route) -> tuple[str, str]:
    path = route.path_prefix.strip("/")
    return _normalised_host(route.host), f"/{path}/" if path else "/"


def _normalised_host(host: str) -> str:
    return host.strip().partition(":")[0].lower()


def _check_match(route: Route) -> Iterator[tuple[FindingCode, str]]:
    prefix = route.path_prefix
    if not (prefix.startswith("/") and prefix.endswith("/")):
        message = f"prefix {prefix!r} must begin and end with a slash; it never matches"
        yield FindingCode.MALFORMED_PREFIX, message
    elif not _PATH_PATTERN.fullmatch(prefix):
        message = f"prefix {prefix!r}: a path has visible ASCII without '?' only; it never matches"
        yield FindingCode.MALFORMED_PREFIX, message
    if not route.host or route.host != _normalised_host(route.host):
        message = f"host {route.host!r} is compared in lower case without a port; it never matches"
        yield FindingCode.UNMATCHABLE_HOST, message


def _check_pools(route: Route, pools: set[str]) -> Iterator[tuple[FindingCode, str]]:
    weights = [weighted.weight for weighted in route.weighted_pools]
    for weighted in route.weighted_pools:
        if weighted.pool not in pools:
            yield FindingCode.UNKNOWN_POOL, f"pool {weighted.pool!r} is not declared"
    if any(weight < 0 for weight in weights):
        yield FindingCode.NEGATIVE_WEIGHT, "a weight is negative"
    if not any(weight > 0 for weight in weights):
        yield FindingCode.NO_POSITIVE_WEIGHT, "no pool has a positive weight"


def _check_limits(route: Route) -> Iterator[tuple[FindingCode, str]]:
    if route.timeout <= 0:
        yield FindingCode.ZERO_TIMEOUT, f"timeout {route.timeout:g} s: no request has time to run"
    goal = max(route.goal, route.gap_goal)
    if goal > route.timeout > 0:
        message = f"a goal of {goal:g} s is above the timeout of {route.timeout:g} s"
        yield FindingCode.GOAL_ABOVE_TIMEOUT, message
    if route.kind is not RouteKind.AT_MOST_ONCE:
        return
    if route.can_run_again:
        message = "resumable: a request that must run at most once may run again"
        yield FindingCode.REPEATED_AT_MOST_ONCE, message
    elif route.max_attempts > 1:
        message = (
            f"of {route.max_attempts} attempts, further ones follow only targets that state that "
            "they did not run the request"
        )
        yield FindingCode.UNUSED_ATTEMPTS, message
