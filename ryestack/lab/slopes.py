"""Fits a power law to measured points: the exponent by which a cost grows with a size, and its spread.

A point is (size, value), both above zero. The exponent of value = c * size ** exponent is fitted by least
squares on logarithms: 0 is a constant cost, 1 a cost proportional to the size.
"""

from dataclasses import dataclass
from itertools import pairwise
from math import log, log10, sqrt

Point = tuple[float, float]


class TooFewPoints(ValueError):
    """A fit needs points of three different sizes, all with sizes and values above zero."""


@dataclass(frozen=True, slots=True)
class Fit:
    """The exponent, its standard error, and the lowest and highest exponent between neighbouring points."""

    exponent: float
    standard_error: float
    lowest: float
    highest: float


def fit(points: list[Point]) -> Fit:
    """Fits all points; raises TooFewPoints."""
    if len({size for size, _ in points}) < 3 or min(min(point) for point in points) <= 0.0:
        raise TooFewPoints(f"{len(points)} points: {points}")
    xs, ys = [log(size) for size, _ in points], [log(value) for _, value in points]
    mean_x, mean_y = sum(xs) / len(xs), sum(ys) / len(ys)
    spread = sum((x - mean_x) ** 2 for x in xs)
    exponent = sum((x - mean_x) * (y - mean_y) for x, y in zip(xs, ys, strict=True)) / spread
    residuals = [y - mean_y - exponent * (x - mean_x) for x, y in zip(xs, ys, strict=True)]
    error = sqrt(sum(residual * residual for residual in residuals) / (len(points) - 2) / spread)
    ordered = sorted(zip(xs, ys, strict=True))
    between = [(y2 - y1) / (x2 - x1) for (x1, y1), (x2, y2) in pairwise(ordered) if x2 > x1]
    return Fit(exponent, error, min(between), max(between))


def decades(points: list[Point]) -> float:
    """Powers of ten between the smallest and the largest size."""
    sizes = [size for size, _ in points]
    return log10(max(sizes) / min(sizes))
