"""The report of request outcomes, computed from logs."""

from click.testing import CliRunner

from tools.outcome_report import main, read_events, summarise


def log_line(event, name, seconds=1.0, instance="m", **fields):
    body = ",".join(f'"{key}":"{value}"' for key, value in fields.items())
    head = f'{{"time":"2026-01-01T00:00:00+00:00","event":{event},"name":"{name}"'
    return f' {seconds} {instance} {head},"fields":{{{body}}}}}'


LINES = [
    log_line(7001, "request_answered", 0.5, status=200),
    log_line(7002, "request_refused", 5.0, code="no_route", waited=0.1),
    log_line(7002, "request_refused", 5.5, instance="n", code="no_route", waited=0.3),
    log_line(7005, "attempt_failed", 9.0, code="answer_cut"),
    log_line(7004, "caller_left", 9.5, waited=4.0),
]


def test_outcomes_are_counted_by_reason_and_span():
    ends, notices = summarise(read_events(LINES), span=4.0)
    assert {name: dict(counts) for name, counts in ends.items()} == {
        "answered": {0: 1},
        "refused no_route": {1: 2},
        "caller left": {2: 1},
    }
    assert {name: dict(counts) for name, counts in notices.items()} == {
        "attempt_failed answer_cut": {2: 1}
    }


def test_lines_without_a_time_use_the_time_of_the_event():
    later = '{"time":"2026-01-01T00:00:03+00:00","event":7004,"name":"caller_left"}'
    lines = [LINES[0][LINES[0].index("{") :], later]
    assert [event.seconds for event in read_events(lines)] == [0.0, 3.0]


def test_lines_without_an_event_are_skipped():
    assert list(read_events(["", "no json", ' {"time":"x","event":"y"}'])) == []


def test_the_command_names_the_instances_with_most_refusals(tmp_path):
    log = tmp_path / "log"
    log.write_text("\n".join(LINES))
    output = CliRunner().invoke(main, ["--span", "4", str(log)]).output
    (row,) = [text for text in output.splitlines() if text.endswith("m:1 n:1")]
    assert row.split()[:4] == ["refused", "no_route", "0.300", "0.300"]
