"""Table of the origins of streams."""

from whinrack.streams import OriginTable, StreamOrigin, stream_key
from whinrack.streams._origins import _LIFETIME_SECONDS, _MAX_ORIGINS

FIRST, SECOND = StreamOrigin("lm", "v1"), StreamOrigin("lm", "v1.2")


def test_origin_is_found_until_it_expires():
    table = OriginTable()
    table.put(b"a", FIRST, 10.0)
    assert table.get(b"a", 10.0 + _LIFETIME_SECONDS) == FIRST
    assert table.get(b"a", 11.0 + _LIFETIME_SECONDS) is None
    assert table.get(b"b", 10.0) is None


def test_repeated_report_extends_the_lifetime():
    table = OriginTable()
    table.put(b"a", FIRST, 0.0)
    table.put(b"a", FIRST, 100.0)
    assert table.get(b"a", 100.0 + _LIFETIME_SECONDS) == FIRST


def test_contradicting_reports_make_the_version_unknown_for_good():
    table = OriginTable()
    for origin in (FIRST, SECOND, FIRST):
        table.put(b"a", origin, 0.0)
    assert not table.get(b"a", 0.0).is_known


def test_oldest_origins_are_dropped_beyond_the_maximum():
    table = OriginTable()
    for number in range(_MAX_ORIGINS + 1):
        table.put(b"%d" % number, FIRST, float(number) / _MAX_ORIGINS)
    assert len(table) == _MAX_ORIGINS
    assert table.get(b"0", 1.0) is None


def test_expired_origins_take_no_space():
    table = OriginTable()
    table.put(b"a", FIRST, 0.0)
    table.put(b"b", FIRST, _LIFETIME_SECONDS + 1.0)
    assert len(table) == 1


def test_key_depends_on_workspace_and_request():
    keys = {stream_key("w", b"r"), stream_key("v", b"r"), stream_key("w", b"s")}
    assert len(keys) == 3
    assert stream_key("w", b"1r") != stream_key("w1", b"r")
