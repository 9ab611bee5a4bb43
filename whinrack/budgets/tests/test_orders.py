"""What a pending order tells about the reachability of the store."""

from returns.result import Failure

from whinrack.budgets import DrawOrder, GrantOptions
from whinrack.budgets._orders import GrantOrders, call_directly, unchecked_wall_clock
from whinrack.exceptions import PlatformUnavailable


class SilentBackend:
    """Backend that never replies; meanwhile the store answers another call."""

    def __init__(self):
        self.now = 0.0
        self.reachable = []

    def draw_for_holder(self, orders):
        self.now += 1.0
        self.reachable.append(self.orders.is_store_reachable)
        self.orders.handle_store_reachable()
        self.reachable.append(self.orders.is_store_reachable)
        return Failure(PlatformUnavailable("no reply"))


def test_order_sent_before_the_store_recovered_does_not_mark_it_unreachable():
    """Such an order blocks for 1.2 s, during which the recovery would go unnoticed."""
    backend = SilentBackend()
    orders = GrantOrders(
        {},
        backend,
        GrantOptions(),
        lambda: backend.now,
        unchecked_wall_clock,
        call_directly,
        lambda _: True,
    )
    backend.orders = orders
    orders.send([DrawOrder(account="a", budget="b", holder="x", sequence=1)])
    assert backend.reachable == [False, True]
    assert not orders.is_store_reachable
