"""Checks of workspaces, their keys and their token limits. Messages contain no keys."""

from collections.abc import Iterator

from whinrack.configuration_check._declared import DeclaredConfiguration
from whinrack.configuration_check._findings import Finding, FindingCode
from whinrack.dispatch import WorkspaceRecord

__all__ = ["check_lowered_limits", "check_workspaces"]


def check_workspaces(configuration: DeclaredConfiguration) -> Iterator[Finding]:
    """Check workspaces against one another and against the pools."""
    required = configuration.is_key_required
    if required and not configuration.workspaces:
        if any(not route.is_public for route in configuration.routes):
            message = "keys are required and none is declared; only public routes can be used"
            yield Finding.make(FindingCode.NO_KEYS, "workspaces", message)
        return
    capacity, pool_name = _largest_request(configuration)
    for workspace in configuration.workspaces:
        where, limit = f"workspace {workspace.name}", workspace.token_limit
        if required and not workspace.keys:
            message = "has no keys: nobody can use it"
            yield Finding.make(FindingCode.NO_KEYS, where, message)
        if limit is not None and limit < 0:
            yield Finding.make(FindingCode.NEGATIVE_LIMIT, where, f"limit {limit}")
        elif limit is not None and limit < capacity:
            message = (
                f"limit {limit}: a request may need up to {capacity} tokens in pool {pool_name}"
            )
            yield Finding.make(FindingCode.TOKEN_LIMIT_BELOW_REQUEST, where, message)
    yield from _check_keys(configuration.workspaces)


def check_lowered_limits(
    configuration: DeclaredConfiguration, in_force: DeclaredConfiguration
) -> Iterator[Finding]:
    """Check for token limits below those of the version in force."""
    before = {workspace.name: workspace.token_limit for workspace in in_force.workspaces}
    for workspace in configuration.workspaces:
        limit = workspace.token_limit
        if limit is None or workspace.name not in before:
            continue
        earlier = before[workspace.name]
        if earlier is None or limit < earlier:
            stated = "unlimited" if earlier is None else earlier
            message = f"limit {limit} is below that in force ({stated}); tokens used so far count"
            yield Finding.make(
                FindingCode.LOWERED_TOKEN_LIMIT, f"workspace {workspace.name}", message
            )


def _largest_request(configuration: DeclaredConfiguration) -> tuple[int, str]:
    """Return the largest token capacity of an engine that workspaces can use, and its pool."""
    used = {
        weighted.pool
        for route in configuration.routes
        if not route.is_public
        for weighted in route.weighted_pools
        if weighted.weight > 0
    }
    capacities = (
        (pool.engine.token_capacity, pool.name)
        for pool in configuration.pools
        if pool.engine is not None and pool.name in used
    )
    return max(capacities, default=(0, ""))


def _check_keys(workspaces: tuple[WorkspaceRecord, ...]) -> Iterator[Finding]:
    owners: dict[str, str] = {}
    for workspace in workspaces:
        for position, key in enumerate(workspace.keys, start=1):
            where = f"workspace {workspace.name}"
            owner = owners.setdefault(key, workspace.name)
            if not key:
                message = f"key {position} is empty: requests without a key count as its own"
                yield Finding.make(FindingCode.EMPTY_KEY, where, message)
            elif key != key.strip():
                message = f"key {position} begins or ends with white space and never matches"
                yield Finding.make(FindingCode.UNMATCHABLE_KEY, where, message)
            if owner != workspace.name:
                message = f"key {position} also belongs to workspace {owner}; the last one gets it"
                yield Finding.make(FindingCode.DUPLICATE_KEY, where, message)
