"""Report the outcomes of requests from the logs of all instances.

The first table counts outcomes of requests by reason and time interval, the second one other
events that instances logged (lost peers, an unreachable store, overload). The third table shows,
for requests that were not answered, how long they had waited and which instances had most of them.

Usage: ``python tools/outcome_report.py [--span SECONDS] LOG...``. Text before the JSON object on a
line is skipped, except for a leading number, which is used as the time, and a last word that is
not a number, which is used as the name of the instance.
"""

import sys
from collections import Counter, defaultdict
from collections.abc import Iterable, Iterator
from datetime import datetime

import click
import msgspec

__all__ = ["Outcome", "read_events", "summarise"]

_ANSWERED, _REFUSED, _BROKEN_OFF, _CALLER_LEFT = 7001, 7002, 7003, 7004
_OUTCOMES = {_ANSWERED: "answered", _BROKEN_OFF: "broken off", _CALLER_LEFT: "caller left"}
_REPORTED_EVENTS = {1006, 1008, 2001, 4002, 4006, 5001, 6004, 7005, 7007}
_MAX_INSTANCES_SHOWN = 8


class Outcome(msgspec.Struct, frozen=True):
    """Logged event of an instance.

    Attributes
    ----------
    seconds : float
        Time of the event, from the first event of the logs or as given on the line.
    """

    seconds: float
    instance: str
    event: int
    name: str
    fields: dict[str, str]

    @property
    def reason(self) -> str:
        """Return the outcome of a request, empty for other events."""
        if self.event == _REFUSED:
            return "refused " + self.fields.get("code", "?")
        if self.event == _BROKEN_OFF:
            return "broken off " + self.fields.get("code", "?")
        if self.event == _ANSWERED:
            status = self.fields.get("status", "200")
            return "answered" if status == "200" else f"answered {status}"
        return _OUTCOMES.get(self.event, "")

    @property
    def notice(self) -> str:
        """Return the name and code of a reported event, empty for other events."""
        if self.event not in _REPORTED_EVENTS:
            return ""
        code = self.fields.get("code", "")
        return f"{self.name} {code}".strip()


class _Line(msgspec.Struct):
    time: str
    event: int
    name: str
    fields: dict[str, str] = {}


def read_events(lines: Iterable[str]) -> Iterator[Outcome]:
    """Yield the events of a log in order; lines without a valid event are skipped."""
    decoder = msgspec.json.Decoder(_Line)
    first: float | None = None
    for line in lines:
        start = line.find('{"time"')
        if start < 0:
            continue
        try:
            read = decoder.decode(line[start:])
        except msgspec.MsgspecError:
            continue
        words = line[:start].split()
        has_timestamp = bool(words) and _is_number(words[0])
        timestamp = (
            float(words[0]) if has_timestamp else datetime.fromisoformat(read.time).timestamp()
        )
        first = 0.0 if has_timestamp else (timestamp if first is None else first)
        instance = words[-1] if words and not _is_number(words[-1]) else ""
        yield Outcome(timestamp - first, instance, read.event, read.name, read.fields)


def _is_number(text: str) -> bool:
    try:
        float(text)
    except ValueError:
        return False
    return True


def summarise(
    events: Iterable[Outcome], span: float
) -> tuple[dict[str, Counter[int]], dict[str, Counter[int]]]:
    """Count the outcomes of requests and the reported events by time interval.

    Returns
    -------
    tuple of two dicts
        Counts by interval index, for each outcome and for each reported event.
    """
    ends: dict[str, Counter[int]] = defaultdict(Counter)
    notices: dict[str, Counter[int]] = defaultdict(Counter)
    for event in events:
        interval = int(event.seconds // span)
        if event.reason:
            ends[event.reason][interval] += 1
        if event.notice:
            notices[event.notice][interval] += 1
    return dict(ends), dict(notices)


def _print_table(title: str, table: dict[str, Counter[int]], span: float) -> None:
    intervals = sorted({interval for counts in table.values() for interval in counts})
    print(f"\n{title:34}{'all':>7}" + "".join(f"{interval * span:6.0f}" for interval in intervals))
    for name in sorted(table, key=lambda name: -table[name].total()):
        row = "".join(f"{table[name][interval] or '':>6}" for interval in intervals)
        print(f"{name:34}{table[name].total():7}{row}")


def _print_waits(events: list[Outcome]) -> None:
    waits: dict[str, list[float]] = defaultdict(list)
    counts_by_instance: dict[str, Counter[str]] = defaultdict(Counter)
    for event in events:
        if event.event in (_REFUSED, _BROKEN_OFF, _CALLER_LEFT):
            waits[event.reason].append(float(event.fields.get("waited", 0)))
            counts_by_instance[event.reason][event.instance] += 1
    print(f"\n{'not answered':34}{'median s':>9}{'most s':>9}  instances with most")
    for reason, seconds in sorted(waits.items(), key=lambda item: -len(item[1])):
        ordered = sorted(seconds)
        top_instances = counts_by_instance[reason].most_common(_MAX_INSTANCES_SHOWN)
        text = " ".join(f"{name}:{count}" for name, count in top_instances)
        print(f"{reason:34}{ordered[len(ordered) // 2]:9.3f}{ordered[-1]:9.3f}  {text}")


def _read_files(paths: Iterable[str]) -> Iterator[str]:
    for path in paths:
        with open(path, encoding="utf-8", errors="replace") as file:
            yield from file


@click.command()
@click.option("--span", default=4.0, help="Seconds per column.")
@click.argument("logs", nargs=-1, required=True)
def main(span: float, logs: tuple[str, ...]) -> None:
    """Report the outcomes of requests from the logs of all instances."""
    events = list(read_events(_read_files(logs)))
    ends, notices = summarise(events, span)
    _print_table("ends of requests, from second", ends, span)
    _print_table("noticed, from second", notices, span)
    _print_waits(events)


if __name__ == "__main__":
    sys.exit(main())
