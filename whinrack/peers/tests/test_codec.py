"""Orders and results survive the way to a peer and back."""

from whinrack.budgets import DrawOrder, DrawResult
from whinrack.peers import _codec as codec


def test_an_order_comes_as_it_was_sent():
    order = DrawOrder(
        account="a",
        budget="b",
        holder="router-1.ab",
        sequence=3,
        need=10,
        want=20,
        billed=5,
        unproven=1,
        returned=2,
        received={"router-2.cd": 7},
        opening=True,
        final=True,
    )
    assert codec.order_from_pb(codec.order_to_pb(order)) == order


def test_a_result_comes_as_it_was_sent():
    result = DrawResult(sequence=3, drawn=40, free=100, outstanding=60, closed=True)
    assert codec.result_from_pb(codec.result_to_pb(result)) == result
