"""The report of refusals that a single counter for all instances would have avoided."""

from tools.refusal_report import read_lines, report


def log_line(event, **fields):
    body = ",".join(f'"{name}":"{value}"' for name, value in fields.items())
    return f' 1.0 m {{"time":"t","event":{event},"name":"n","fields":{{{body}}}}}'


BOOKS_LINE = log_line(6005, books="b:10/5/100/200/300/1000@0.1")


def test_a_refused_request_that_fits_the_remaining_budget_is_counted_as_wrong():
    lines = [
        BOOKS_LINE,
        log_line(7001, workspace="b", billed=600),
        log_line(7006, workspace="b", tokens=300),
        log_line(7006, workspace="b", tokens=300),
    ]
    (row,) = report(read_lines(lines)).values()
    assert (row.limit, row.answered, row.refused, row.refused_wrongly) == (1000, 1, 2, 1)
    assert row.used == 900


def test_unknown_outcomes_count_in_full_and_write_offs_are_reported():
    lines = [
        BOOKS_LINE,
        log_line(7007, workspace="b", tokens=900),
        log_line(6004, rows="b:120/30@1.5"),
        log_line(7006, workspace="b", tokens=200),
    ]
    (row,) = report(read_lines(lines)).values()
    assert (row.refused_wrongly, row.written_off) == (0, 120)


def test_lines_without_an_event_are_skipped():
    assert report(read_lines(["", "no json", ' {"time":"x","event":"y"}'])) == {}
