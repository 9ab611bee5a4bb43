"""Tells from logs which refusals for a budget one counter of all instances would not make.

An all-knowing counter lets a request through if what was used, what runs and the request,
each at its most, fit into the limit. It is played on the same arrivals, in the order of the
lines: requests that were answered are billed as they were, requests whose end is unknown
in full, refused ones at their most if the counter lets them through.

Usage: ``python tools/refusal_report.py LOG...``; whatever stands before the JSON object on a
line is skipped. Requests that run are known at their end only, so the counter sees them a
little late; it lets through a little too much, and the share is an upper bound.
"""

import sys
from collections import defaultdict
from collections.abc import Iterable, Iterator

import msgspec

__all__ = ["BudgetReport", "read_lines", "report"]

_ANSWERED, _REFUSED, _COUNTED = 7001, 7006, 7007
_BOOKS, _RELEASED = 6005, 6004
_LIMIT_FIELD = 5


class LogLine(msgspec.Struct):
    """One event of one instance."""

    event: int
    time: str = ""
    fields: dict[str, str] = {}


class BudgetReport(msgspec.Struct):
    """What became of the requests of one budget.

    Attributes
    ----------
    used : int
        Tokens of the requests that the counter let through.
    written_off : int
        Tokens that instances which died may have used, in excess of what they told.
    """

    limit: int = 0
    answered: int = 0
    refused: int = 0
    refused_wrongly: int = 0
    used: int = 0
    written_off: int = 0


def read_lines(lines: Iterable[str]) -> Iterator[LogLine]:
    """Yield the events of a log, in its order."""
    decoder = msgspec.json.Decoder(LogLine)
    for line in lines:
        start = line.find('{"time"')
        if start < 0:
            continue
        try:
            yield decoder.decode(line[start:])
        except msgspec.MsgspecError:
            continue


def report(lines: Iterable[LogLine]) -> dict[str, BudgetReport]:
    """Play the counter on the events; returns the reports by budget."""
    events = list(lines)
    budgets: dict[str, BudgetReport] = defaultdict(BudgetReport)
    for event in events:
        if event.event == _BOOKS:
            _read_limits(event, budgets)
    for event in events:
        _count(event, budgets)
    return dict(budgets)


def _read_limits(event: LogLine, budgets: dict[str, BudgetReport]) -> None:
    for item in event.fields.get("books", "").split():
        name, _, figures = item.partition(":")
        limit = int(figures.partition("@")[0].split("/")[_LIMIT_FIELD])
        budgets[name].limit = max(limit, budgets[name].limit)


def _count(event: LogLine, budgets: dict[str, BudgetReport]) -> None:
    fields = event.fields
    if event.event == _RELEASED:
        for item in fields.get("rows", "").split():
            name, _, figures = item.partition(":")
            budgets[name].written_off += int(figures.partition("/")[0])
        return
    budget = budgets.get(fields.get("workspace", ""))
    if budget is None:
        return
    if event.event == _ANSWERED and int(fields["billed"]):
        budget.answered += 1
        budget.used += int(fields["billed"])
    elif event.event == _COUNTED:
        budget.used += int(fields["tokens"])
    elif event.event == _REFUSED:
        _refuse(budget, int(fields["tokens"]))


def _refuse(budget: BudgetReport, tokens: int) -> None:
    budget.refused += 1
    if budget.used + tokens <= budget.limit:
        budget.refused_wrongly += 1
        budget.used += tokens


def _print(budgets: dict[str, BudgetReport]) -> None:
    heading = ("budget", "limit", "answered", "refused", "wrongly", "written off")
    print("{:16}{:>10}{:>10}{:>10}{:>10}{:>12}".format(*heading))
    for name in sorted(budgets):
        row = budgets[name]
        figures = (row.limit, row.answered, row.refused, row.refused_wrongly, row.written_off)
        print("{:16}{:>10}{:>10}{:>10}{:>10}{:>12}".format(name, *figures))
    asked = sum(row.answered + row.refused for row in budgets.values())
    wrongly = sum(row.refused_wrongly for row in budgets.values())
    print(f"{wrongly} of {asked} refused wrongly, {wrongly / max(1, asked):.4f}")


def _read_files(paths: Iterable[str]) -> Iterator[str]:
    for path in paths:
        with open(path, encoding="utf-8") as file:
            yield from file


if __name__ == "__main__":
    _print(report(sorted(read_lines(_read_files(sys.argv[1:])), key=lambda line: line.time)))
