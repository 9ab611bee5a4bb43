"""Names under which a request may be blamed for ends of targets."""

import types

import pytest

from whinrack.dispatch._request_run import RequestRun
from whinrack.dispatch._values import IncomingRequest, PromptPart, Route, RouteKind, WeightedPool
from whinrack.quarantine import compute_part_name

ROUTE = Route(
    name="r",
    host="h",
    path_prefix="/",
    kind=RouteKind.STREAM,
    timeout=1.0,
    weighted_pools=(WeightedPool("lm"),),
)


def signature(*parts, pool="lm", body=b"b"):
    request = IncomingRequest(
        request_id=b"1",
        method=b"POST",
        target=b"/x",
        host="h",
        path="/x",
        headers=[],
        body=body,
        prompt_parts=tuple(PromptPart(part, 5) for part in parts),
    )
    exchange = types.SimpleNamespace(received_at=0.0)
    run = RequestRun(exchange, request, None, ROUTE, None)
    run.pool = pool
    return run.request_name


def test_parts_have_the_same_name_in_all_requests_of_a_pool():
    assert signature(b"a", b"b", b"own1").parts == signature(b"a", b"b", b"own2", body=b"c").parts
    assert signature(b"a", b"own").parts != signature(b"a", b"own", pool="other").parts


@pytest.mark.parametrize("parts", [(), (b"own",)])
def test_last_part_is_never_named(parts):
    assert signature(*parts).parts == ()


def test_repeated_parts_are_named_once():
    assert len(signature(b"a", b"a", b"b", b"own").parts) == 2


@pytest.mark.parametrize("part", [b"", b"a b", b"\xff" * 50, b"x" * 5000])
def test_name_of_any_part_is_short_and_printable(part):
    name = compute_part_name("p" * 200, part)
    assert len(name) < 60 and name.isascii() and name.isprintable() and " " not in name
