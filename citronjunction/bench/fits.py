"""Least-squares fits of measured points."""

import dataclasses
import math
from collections import abc


@dataclasses.dataclass(slots=True, frozen=True)
class Line:
    """Describe a straight line."""

    slope: float
    intercept: float

    def at(self, x: float) -> float:
        """Return the value at x."""
        return self.intercept + self.slope * x


def fit_line(points: abc.Sequence[tuple[float, float]]) -> Line:
    """Return the least-squares line of a non-empty sequence of points."""
    count = len(points)
    mean_x = sum(x for x, _ in points) / count
    mean_y = sum(y for _, y in points) / count
    sum_xx = sum((x - mean_x) ** 2 for x, _ in points)
    if not sum_xx:
        return Line(0, mean_y)
    sum_xy = sum((x - mean_x) * (y - mean_y) for x, y in points)
    slope = sum_xy / sum_xx
    return Line(slope, mean_y - slope * mean_x)


def extrapolate_logarithm(
    points: abc.Sequence[tuple[float, float]],
    x: float,
) -> float:
    """Fit a line against the logarithm of x and return its value at x."""
    line = fit_line([(math.log(size), value) for size, value in points])
    return line.at(math.log(x))
