"""Run benchmarks; prints results to standard output and JSON lines to standard error."""

import sys

from benchmarks import (
    bench_budgets,
    bench_capacity,
    bench_edge,
    bench_ejection,
    bench_fleet,
    bench_load,
    bench_router,
    bench_warm_up,
)

BENCHMARKS = {
    "budgets": bench_budgets,
    "ejection": bench_ejection,
    "router": bench_router,
    "fleet": bench_fleet,
    "load": bench_load,
    "capacity": bench_capacity,
    "edge": bench_edge,
    "warm_up": bench_warm_up,
}


def main(names: list[str]) -> None:
    """Run the named benchmarks, or all of them if no name is given."""
    for name in names or BENCHMARKS:
        BENCHMARKS[name].main()


if __name__ == "__main__":
    main(sys.argv[1:])
