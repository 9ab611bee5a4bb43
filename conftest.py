"""Fixtures of all tests."""

import gc

import pytest


@pytest.fixture(scope="module", autouse=True)
def exclude_earlier_objects_from_collections():
    """Exclude what earlier test modules left in memory from garbage collections.

    A collection of all objects of a long run stops the process for some tenths of a second.
    Stand-ins and relays in the same process stop with it, and tests with time bounds measure that.
    """
    gc.collect()
    gc.freeze()
