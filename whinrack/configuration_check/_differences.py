"""Differences between two versions of a configuration. Keys are counted, not shown."""

from collections.abc import Iterator, Mapping
from enum import StrEnum

import msgspec

from whinrack.configuration_check._declared import DeclaredConfiguration
from whinrack.dispatch import Route
from whinrack.operators import FieldDiff

__all__ = ["Difference", "DifferenceKind", "find_differences"]

_Fields = dict[str, object]


class DifferenceKind(StrEnum):
    """What sending the configuration does to an entry."""

    ADDED = "added"
    REMOVED = "removed"
    CHANGED = "changed"


class Difference(msgspec.Struct, frozen=True):
    """Difference of one entry; `stored` values of its fields are those in force."""

    kind: DifferenceKind
    where: str
    fields: tuple[FieldDiff, ...] = ()


def find_differences(
    declared: DeclaredConfiguration, in_force: DeclaredConfiguration
) -> tuple[Difference, ...]:
    """Compare the entries that take effect; of duplicates that is the last one."""
    before, after = _entries(in_force), _entries(declared)
    differences = []
    for where in dict.fromkeys((*after, *before)):
        if where not in before:
            differences.append(Difference(DifferenceKind.ADDED, where))
        elif where not in after:
            differences.append(Difference(DifferenceKind.REMOVED, where))
        elif fields := tuple(_compare(before[where], after[where])):
            differences.append(Difference(DifferenceKind.CHANGED, where, fields))
    return tuple(differences)


def _compare(before: Mapping[str, object], after: Mapping[str, object]) -> Iterator[FieldDiff]:
    for name in dict.fromkeys((*after, *before)):
        stored, declared = before.get(name), after.get(name)
        if name == "keys":
            stored, declared = _describe_keys(stored, declared)
        if stored != declared:
            yield FieldDiff(name, stored, declared)


def _describe_keys(stored: tuple[str, ...], declared: tuple[str, ...]) -> tuple[str, str]:
    """Describe two sets of keys by counts; equal texts if they are equal."""
    before, after = set(stored), set(declared)
    if before == after:
        return "", ""
    changes = f"{len(after - before)} added, {len(before - after)} removed"
    return f"{len(before)} keys", f"{len(after)} keys ({changes})"


def _entries(configuration: DeclaredConfiguration) -> dict[str, _Fields]:
    general = {"version": configuration.version, "is_key_required": configuration.is_key_required}
    entries = {"configuration": general, "limits": _flatten(configuration.limits)}
    entries |= {
        f"route {route.host}{route.path_prefix}": _route_fields(route)
        for route in configuration.routes
    }
    entries |= {f"pool {pool.name}": _flatten(pool) for pool in configuration.pools}
    entries |= {
        f"workspace {workspace.name}": _flatten(workspace) for workspace in configuration.workspaces
    }
    return entries


def _route_fields(route: Route) -> _Fields:
    fields = _flatten(route)
    del fields["weighted_pools"]
    for weighted in route.weighted_pools:
        name = f"weight.{weighted.pool}"
        fields[name] = fields.get(name, 0.0) + weighted.weight
    return fields


def _flatten(record: msgspec.Struct) -> _Fields:
    """Return the fields of a record; those of a nested one as `field.nested`."""
    fields: _Fields = {}
    for name, value in msgspec.structs.asdict(record).items():
        if isinstance(value, msgspec.Struct):
            fields |= {f"{name}.{inner}": part for inner, part in _flatten(value).items()}
        elif value is not None:
            fields[name] = value
    return fields
