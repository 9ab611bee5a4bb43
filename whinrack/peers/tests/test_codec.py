"""Tests that draw orders and results survive encoding and decoding."""

from whinrack.budgets import DrawOrder, DrawResult
from whinrack.peers import _codec as codec


def test_an_order_round_trips():
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


def test_a_result_round_trips():
    result = DrawResult(sequence=3, drawn=40, free=100, outstanding=60, closed=True)
    assert codec.result_from_pb(codec.result_to_pb(result)) == result
