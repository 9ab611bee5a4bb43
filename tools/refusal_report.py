"""Report from logs which budget refusals a single global counter would have avoided.

A global counter with complete knowledge admits a request if the tokens used, the tokens of
running requests and the tokens of the new request, each at their maximum, fit into the limit.
It is simulated on the logged requests in the order of the lines: answered requests count with
their billed tokens, requests with unknown outcome with their full tokens, and refused requests
with their maximum if the counter admits them.

Usage: ``python tools/refusal_report.py LOG...``. Text before the JSON object on a line is skipped.
Running requests are logged only when they end, so the simulated counter sees them late and admits
slightly too many requests: the reported share of wrong refusals is an upper bound.
"""

import sys
from collections import defaultdict
from collections.abc import Iterable, Iterator

import msgspec

__all__ = ["BudgetReport", "read_lines", "report"]

_ANSWERED, _REFUSED, _COUNTED = 7001, 7006, 7007
_ACCOUNTS_LOGGED, _RELEASED = 6005, 6004
_LIMIT_FIELD = 5


class LogLine(msgspec.Struct):
    """Logged event of an instance."""

    event: int
    time: str = ""
    fields: dict[str, str] = {}


class BudgetReport(msgspec.Struct):
    """Outcomes of the requests of one budget.

    Attributes
    ----------
    used : int
        Tokens of the requests that the simulated counter admitted.
    written_off : int
        Tokens that crashed instances may have used in addition to what they had reported.
    """

    limit: int = 0
    answered: int = 0
    refused: int = 0
    refused_wrongly: int = 0
    used: int = 0
    written_off: int = 0


def read_lines(lines: Iterable[str]) -> Iterator[LogLine]:
    """Yield the events of a log in order; lines without a valid event are skipped."""
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
    """Simulate the global counter on the events and return the reports by budget."""
    events = list(lines)
    budgets: dict[str, BudgetReport] = defaultdict(BudgetReport)
    for event in events:
        if event.event == _ACCOUNTS_LOGGED:
            _read_limits(event, budgets)
    for event in events:
        _count_event(event, budgets)
    return dict(budgets)


def _read_limits(event: LogLine, budgets: dict[str, BudgetReport]) -> None:
    for item in event.fields.get("books", "").split():
        name, _, figures = item.partition(":")
        limit = int(figures.partition("@")[0].split("/")[_LIMIT_FIELD])
        budgets[name].limit = max(limit, budgets[name].limit)


def _count_event(event: LogLine, budgets: dict[str, BudgetReport]) -> None:
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
        _count_refusal(budget, int(fields["tokens"]))


def _count_refusal(budget: BudgetReport, tokens: int) -> None:
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
    request_count = sum(row.answered + row.refused for row in budgets.values())
    wrongly = sum(row.refused_wrongly for row in budgets.values())
    print(f"{wrongly} of {request_count} refused wrongly, {wrongly / max(1, request_count):.4f}")


def _read_files(paths: Iterable[str]) -> Iterator[str]:
    for path in paths:
        with open(path, encoding="utf-8") as file:
            yield from file


if __name__ == "__main__":
    _print(report(sorted(read_lines(_read_files(sys.argv[1:])), key=lambda line: line.time)))
