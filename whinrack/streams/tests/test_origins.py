"""Table of the origins of streams."""

from whinrack.streams import OriginTable, StreamOrigin, UnsettledStart, stream_key
from whinrack.streams._origins import _LIFETIME_SECONDS, _MAX_ORIGINS, _MAX_UNSETTLED_SECONDS

FIRST, SECOND = StreamOrigin("lm", "v1"), StreamOrigin("lm", "v1.2")
UNSETTLED = UnsettledStart("t", 1, 0.25)


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


def test_origin_is_settled_after_a_while():
    table = OriginTable()
    table.put(b"a", FIRST, 0.0, UNSETTLED)
    table.put(b"b", FIRST, 0.0)
    assert table.seconds_left(b"a", 0.0) == 0.25
    assert table.seconds_left(b"a", 0.25) == 0.0
    assert table.seconds_left(b"b", 0.0) == table.seconds_left(b"c", 0.0) == 0.0


def test_later_report_does_not_settle_an_origin():
    table = OriginTable()
    table.put(b"a", FIRST, 0.0, UNSETTLED)
    table.put(b"a", FIRST, 0.1)
    assert table.unsettled_at("t", 1, 0.1) == [(b"a", FIRST, UNSETTLED)]
    assert table.seconds_left(b"a", 0.1) > 0.0


def test_unknown_origin_is_settled_at_once():
    table = OriginTable()
    table.put(b"a", FIRST, 0.0, UNSETTLED)
    table.put(b"a", StreamOrigin("lm", ""), 0.1)
    assert not table.get(b"a", 0.1).is_known
    assert table.seconds_left(b"a", 0.1) == 0.0


def test_unsettled_streams_of_a_start_are_found():
    table = OriginTable()
    table.put(b"a", FIRST, 0.0, UNSETTLED)
    table.put(b"b", FIRST, 0.1, UNSETTLED)
    table.put(b"c", FIRST, 0.1)
    table.put(b"d", FIRST, 0.1, UnsettledStart("t", 2, 0.25))
    table.put(b"e", FIRST, 0.1, UnsettledStart("u", 1, 0.25))
    assert {key for key, *_ in table.unsettled_at("t", 1, 0.2)} == {b"a", b"b"}
    assert [key for key, *_ in table.unsettled_at("t", 1, 0.3)] == [b"b"]
    assert not table.unsettled_at("t", 1, 0.4)


def test_time_that_a_report_leaves_unsettled_is_bounded():
    table = OriginTable()
    table.put(b"a", FIRST, 0.0, UnsettledStart("t", 1, 1e9))
    assert table.seconds_left(b"a", 0.0) == _MAX_UNSETTLED_SECONDS
