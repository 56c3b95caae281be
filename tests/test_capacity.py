"""The slopes of docs/CAPACITY.md: how they are fitted, and that the page says what its inputs give."""

import math

import pytest

from ryestack.lab.slopes import TooFewPoints, decades, fit


def test_a_power_law_is_found_with_no_spread():
    found = fit([(n, 3.0 * n**1.5) for n in (10, 100, 1000, 5000)])
    assert math.isclose(found.exponent, 1.5)
    assert found.standard_error < 1e-9 and math.isclose(found.lowest, found.highest)


def test_a_point_off_the_line_shows_in_the_spread():
    found = fit([(10, 10.0), (100, 100.0), (1000, 1000.0), (10_000, 30_000.0)])
    assert 1.0 < found.exponent < 1.2 and found.standard_error > 0.04
    assert math.isclose(found.lowest, 1.0) and math.isclose(found.highest, 1.0 + math.log10(3.0))


def test_what_has_no_logarithm_or_no_spread_of_sizes_is_refused():
    for points in ([(10, 1.0), (100, 0.0), (1000, 1.0)], [(10, 1.0), (100, 1.0)], [(10, 1.0)] * 4):
        with pytest.raises(TooFewPoints):
            fit(points)


def test_decades():
    assert math.isclose(decades([(1000, 1.0), (10, 1.0), (100, 1.0)]), 2.0)
