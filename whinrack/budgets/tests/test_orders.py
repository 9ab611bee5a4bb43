"""What an order that is waited for tells of the books."""

from returns.result import Failure

from whinrack.budgets import DrawOrder, GrantOptions
from whinrack.budgets._orders import BookOrders, call_here, unchecked_wall_clock
from whinrack.exceptions import PlatformUnavailable


class SilentBooks:
    """Never replies; meanwhile the store answers another call."""

    def __init__(self):
        self.now = 0.0
        self.answer = []

    def draw_for_holder(self, orders):
        self.now += 1.0
        self.answer.append(self.orders.books_answer)
        self.orders.regained()
        self.answer.append(self.orders.books_answer)
        return Failure(PlatformUnavailable("no reply"))


def test_an_order_that_was_sent_before_the_store_came_back_does_not_tell_that_it_is_away():
    """Such an order is waited for 1.2 s, in which the return was told to nobody."""
    books = SilentBooks()
    orders = BookOrders(
        {},
        books,
        GrantOptions(),
        lambda: books.now,
        unchecked_wall_clock,
        call_here,
        lambda _: True,
    )
    books.orders = orders
    orders.send([DrawOrder(account="a", budget="b", holder="x", sequence=1)])
    assert books.answer == [False, True]
    assert not orders.books_answer
