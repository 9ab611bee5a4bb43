"""Whether an instance tells its peers that the store answers it."""

from types import SimpleNamespace

import pytest

from whinrack.clock import steady
from whinrack.edge._instance_host import InstanceHost


@pytest.mark.parametrize(
    ("silent", "waits_for_a_writer", "confirmed"),
    [(0.1, True, True), (1.0, True, False), (1.0, False, True), (5.0, False, False)],
)
def test_store_that_answered_a_moment_ago_is_reached_though_an_order_waits(
    silent, waits_for_a_writer, confirmed
):
    instance = SimpleNamespace(
        store=SimpleNamespace(last_answer_at=steady() - silent),
        options=SimpleNamespace(watch_seconds=1.0),
        availability=SimpleNamespace(is_available=True),
        grant_manager=SimpleNamespace(is_store_reachable=not waits_for_a_writer),
    )
    assert InstanceHost(instance).has_recent_store_answer() == confirmed
