"""Tests of the checks and of the comparison; each check has a failing and a passing case."""

import pathlib

import msgspec
import pytest

from whinrack import configuration_check as checks
from whinrack import dispatch
from whinrack.dispatch import ColdStart, Route, RouteKind
from whinrack.http1 import ServerLimits

ROOT = pathlib.Path(__file__).resolve().parents[3]
SAFE, ONCE = RouteKind.REPEATABLE, RouteKind.AT_MOST_ONCE


def weights(**pools):
    return tuple(dispatch.WeightedPool(pool, weight) for pool, weight in pools.items())


SOUND_ROUTE = Route(
    name="r", host="h", path_prefix="/r/", kind=SAFE, timeout=4.0, weighted_pools=weights(p=1)
)


def route(**changes):
    return msgspec.structs.replace(SOUND_ROUTE, **changes)


def pool(name="p", connections=8, engine=(8, 1000, 5), cold=None):
    return dispatch.PoolRecord(name, connections, dispatch.EngineCapacity(*engine), cold)


def workspace(name="w", keys=("key-1",), limit=1000):
    return dispatch.WorkspaceRecord(name, keys, token_limit=limit)


def declare(*records, **fields):
    """Return a configuration; kinds of records that are not given have one sound record."""
    kinds = {"routes": route(), "pools": pool(), "workspaces": workspace()}
    for name, sound in kinds.items():
        kinds[name] = tuple(item for item in records if type(item) is type(sound)) or (sound,)
    return checks.DeclaredConfiguration(**{"version": 2} | kinds | fields)


def declare_case(case):
    return declare(**case) if isinstance(case, dict) else declare(*case)


def codes(configuration, in_force=None):
    return {
        finding.code for finding in checks.check_configuration(configuration, in_force).findings
    }


TWO_POOLS = (pool(), pool("q"))
# Code, faulty and sound records or fields.
CASES = [
    ("duplicate_route", [route(), route(name="q")], [route(), route(host="g")]),
    ("equivalent_route", [route(), route(path_prefix="/r")], [route(), route(path_prefix="/r/r/")]),
    ("malformed_prefix", [route(path_prefix="r/")], [route(path_prefix="/")]),
    ("malformed_prefix", [route(path_prefix="/r?x=/")], [route(path_prefix="/r%20x/")]),
    ("malformed_prefix", [route(path_prefix="/\xe9/")], [route(path_prefix="/r-e/")]),
    ("version_not_higher", {"version": 0}, {"version": 1}),
    ("unmatchable_host", [route(host="H:80")], [route(host="h")]),
    ("unknown_pool", [route(weighted_pools=weights(q=1))], [route(weighted_pools=weights(p=1))]),
    ("negative_weight", [route(weighted_pools=weights(p=-1))], [route()]),
    ("no_positive_weight", [route(weighted_pools=weights(p=0, q=0))], [route()]),
    ("no_positive_weight", [route(weighted_pools=())], [route(weighted_pools=weights(p=0, q=1))]),
    ("zero_timeout", [route(timeout=0)], [route(timeout=0.1)]),
    ("goal_above_timeout", [route(gap_goal=4.1)], [route(goal=4.0)]),
    ("unused_attempts", [route(kind=ONCE, max_attempts=2)], [route(max_attempts=2)]),
    ("repeated_at_most_once", [route(kind=ONCE, is_resumable=True)], [route(is_resumable=True)]),
    ("duplicate_name", [pool(), pool()], TWO_POOLS),
    ("duplicate_name", [workspace(), workspace()], [workspace(), workspace("v")]),
    ("unused_pool", TWO_POOLS, [*TWO_POOLS, route(weighted_pools=weights(p=1, q=1))]),
    ("negative_limit", [workspace(limit=-1)], [workspace(limit=0)]),
    ("negative_limit", [pool(connections=-1)], [pool(connections=0)]),
    ("slots_above_connections", [pool(connections=7)], [pool(connections=0)]),
    ("no_event_tokens", [pool(engine=(8, 1000, 0))], [pool(engine=(8, 1000, 1))]),
    ("partial_cold_start", [pool(cold=ColdStart(3, 0))], [pool(cold=ColdStart(3, 9))]),
    ("duplicate_key", [workspace(), workspace("v")], [workspace(), workspace("v", ("key-2",))]),
    ("empty_key", [workspace(keys=("",))], [workspace()]),
    ("unmatchable_key", [workspace(keys=("key-1\n",))], [workspace()]),
    ("no_keys", [workspace(keys=())], [workspace()]),
    ("token_limit_below_request", [workspace(limit=999)], [workspace(limit=1000)]),
    (
        "token_limit_below_request",
        [pool(), pool("q", engine=(8, 2000, 5)), route(weighted_pools=weights(p=1, q=1))],
        [pool(), pool("q", engine=(8, 2000, 5)), route(weighted_pools=weights(p=1, q=0))],
    ),
    ("ignored_field", {"ignored_fields": ("p: rate",)}, {}),
    ("zero_limit", {"limits": ServerLimits(head_seconds=0)}, {"limits": ServerLimits()}),
    ("no_bodies", {"limits": ServerLimits(body_bytes=0)}, {"limits": ServerLimits(body_bytes=1)}),
    ("no_keys", {"workspaces": ()}, {"workspaces": (), "is_key_required": False}),
]


@pytest.mark.parametrize(("code", "faulty", "sound"), CASES)
def test_check_finds_the_faulty_case_alone(code, faulty, sound):
    assert code in codes(declare_case(faulty))
    assert code not in codes(declare_case(sound))


def test_checks_against_the_version_in_force():
    in_force = declare(workspace(limit=2000))
    assert codes(declare(workspace(limit=1999), version=3), in_force) == {"lowered_token_limit"}
    assert codes(in_force, in_force) == {"version_not_higher"}
    assert codes(in_force, declare(workspace(limit=1999), version=1)) == set()


def test_every_check_has_cases_and_is_documented():
    apart = {"undecodable", "version_not_higher", "lowered_token_limit"}
    assert {case[0] for case in CASES} | apart == set(checks.FindingCode)
    page = (ROOT / "docs/operators.md").read_text()
    rows = [f"| `{code}` | {code.severity} |" for code in checks.FindingCode]
    assert [row for row in rows if row not in page] == []


def test_differences_name_fields_with_both_values_and_no_keys():
    before = declare(pool(), pool("old"), workspace(keys=("key-1", "key-2")))
    pools = pool(engine=(9, 1000, 5)), pool("q")
    changed_route = route(timeout=5.0, weighted_pools=weights(p=3, q=1))
    after = declare(changed_route, *pools, workspace(keys=("key-1", "key-3")), version=3)
    rows = {
        item.where: (item.kind, [(part.field, part.stored, part.declared) for part in item.fields])
        for item in checks.check_configuration(after, before).differences
    }
    weight_fields = [("weight.p", 1, 3), ("weight.q", None, 1)]
    assert rows == {
        "configuration": ("changed", [("version", 2, 3)]),
        "route h/r/": ("changed", [("timeout", 4.0, 5.0), *weight_fields]),
        "pool p": ("changed", [("engine.slots", 8, 9)]),
        "pool q": ("added", []),
        "pool old": ("removed", []),
        "workspace w": ("changed", [("keys", "2 keys", "2 keys (1 added, 1 removed)")]),
    }


MALFORMED = [(b'{\n "version": ,}', "line 2, column 13"), (b'{"version":\n', "line 2, column 1")]


@pytest.mark.parametrize(("data", "position"), MALFORMED)
def test_undecodable_file_is_reported_with_its_position(data, position):
    sound, reader = msgspec.json.encode(declare()), checks.DeclarationReader()
    (finding,) = checks.check_files(reader, "sound", sound, ("broken", data)).findings
    assert (finding.code, finding.where) == ("undecodable", "broken")
    assert position in finding.message
