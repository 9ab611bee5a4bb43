"""What an instance tells its peers of itself."""

import pytest

from whinrack.edge._membership import told_load


@pytest.mark.parametrize(
    ("told", "load", "tells"),
    [(0, 9, 0), (0, 10, 10), (10, 1, 10), (10, 0, 0), (60, 85, 60), (60, 90, 90), (60, 30, 30)],
)
def test_the_load_is_told_anew_where_it_differs_by_much(told, load, tells):
    assert told_load(told, load) == tells
