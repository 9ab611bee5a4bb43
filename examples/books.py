"""Draw, settle, report and release tokens of one budget, without a fleet."""

import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))

from whinrack.budgets import (  # noqa: E402
    BudgetLedger,
    apply_draws,
    apply_topups,
    draw_result,
    release_holder,
)


def main():
    account = apply_topups(None, "clachan", {"2026-12": 1000})
    ledger = BudgetLedger("account-0001", "clachan", "router-1.x")

    order = ledger.next_order(need=300)
    apply_draws(account, [order])
    ledger.apply_result(order, draw_result(account, order))
    cover = ledger.open(250).unwrap()
    cover.settle(billed=180)
    print("spendable at the router:", ledger.spendable)

    apply_draws(account, [ledger.next_order()])
    entry = account.budgets["clachan"]
    print("billed", entry.billed, "outstanding", entry.outstanding, "free", entry.free)

    release_holder(account, "clachan", "router-1.x", spent_tokens=0)
    print("free after the release:", entry.free)


if __name__ == "__main__":
    main()
