"""The catalogues of events, metrics and errors in the documentation match the code."""

import pathlib
import re

from whinrack.exceptions import AnswerNotKept, InternalFailure, NoSuchPath, Refusal
from whinrack.observability import Event, Metrics

ROOT = pathlib.Path(__file__).resolve().parent.parent


def table_rows(page):
    text = (ROOT / "docs" / page).read_text()
    return [line.split("|")[1:-1] for line in text.splitlines() if line.startswith("| ")]


def test_catalogue_lists_exactly_the_events():
    listed = {
        (int(row[0]), row[1].strip()) for row in table_rows("events.md") if row[0].strip().isdigit()
    }
    assert listed == {(event.number, event.name.lower()) for event in Event}
    assert len({event.number for event in Event}) == len(list(Event))


def test_every_event_is_used():
    source = "\n".join(path.read_text() for path in (ROOT / "whinrack").rglob("*.py"))
    unused = [event.name for event in Event if f"Event.{event.name}" not in source]
    assert unused == []


def test_catalogue_lists_exactly_the_metrics():
    listed = {
        row[0].strip().strip("`") for row in table_rows("metrics.md") if "whinrack_" in row[0]
    }
    made = {metric.name for metric in Metrics().registry.collect()}
    assert listed == made


def test_every_refusal_is_in_the_callers_guide():
    text = (ROOT / "docs" / "callers.md").read_text()
    kinds = _all_subclasses(Refusal) - {InternalFailure}
    missing = [kind.code for kind in kinds if f"`{kind.code}`" not in text]
    assert missing == []
    assert {AnswerNotKept, NoSuchPath} <= kinds


def test_codes_of_failures_are_unique():
    kinds = _all_subclasses(Exception, "whinrack")
    codes = [kind.code for kind in kinds]
    assert len(codes) == len(set(codes))


def test_links_between_pages_resolve():
    for page in [*ROOT.glob("*.md"), *(ROOT / "docs").rglob("*.md")]:
        for link in re.findall(r"\]\(([^)#:]+)\)", page.read_text()):
            assert (page.parent / link).exists(), f"{page.name}: {link}"


def _all_subclasses(kind, module=""):
    found = set()
    for child in kind.__subclasses__():
        found |= _all_subclasses(child, module)
        if child.__module__.startswith(module or "whinrack") and hasattr(child, "code"):
            found.add(child)
    return found
