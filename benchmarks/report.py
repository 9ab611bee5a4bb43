"""Print benchmark results in readable form and as JSON lines."""

import json
import sys

__all__ = ["fit_line", "percentile", "print_heading", "report"]


def print_heading(title: str) -> None:
    """Print a heading."""
    print(f"\n== {title}", flush=True)


def report(name: str, value: float, unit: str, **labels: object) -> None:
    """Print one result, and write it to standard error as a JSON line."""
    shown = " ".join(f"{key}={label}" for key, label in labels.items())
    print(f"{name:34} {value:>12.4g} {unit:12} {shown}", flush=True)
    line = {"name": name, "value": value, "unit": unit, **labels}
    print(json.dumps(line), file=sys.stderr, flush=True)


def percentile(values: list[float], share: float) -> float:
    """Return a percentile of values by the nearest rank."""
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(share * len(ordered)))]


def fit_line(points):
    """Return slope and intercept of the least-squares line through (x, y) points."""
    count = len(points)
    mean_x = sum(x for x, _ in points) / count
    mean_y = sum(y for _, y in points) / count
    square = sum((x - mean_x) ** 2 for x, _ in points)
    slope = sum((x - mean_x) * (y - mean_y) for x, y in points) / square
    return slope, mean_y - slope * mean_x
