"""Linear fits of measured points, extrapolated to a target size."""

from __future__ import annotations

from collections.abc import Sequence
from statistics import linear_regression


class LinearFit:
    """A straight line ``slope * size + intercept`` with its name and unit."""

    __slots__ = ("intercept", "name", "points", "slope", "unit")

    def __init__(
        self, *, name: str, unit: str, sizes: Sequence[float], values: Sequence[float]
    ) -> None:
        self.name = name
        self.unit = unit
        self.points = list(zip(sizes, values, strict=True))
        self.slope, self.intercept = linear_regression(sizes, values)

    def predict(self, size: float) -> float:
        """Return the value at a size.

        Examples
        --------
        >>> LinearFit(name="x", unit="", sizes=[1, 2, 3], values=[2, 4, 6]).predict(10)
        20.0
        """
        return self.slope * size + self.intercept

    def report(self, size: float, *, limit: float | None = None) -> str:
        """Return one line with points, fit, extrapolation and its comparison with a limit."""
        points = ", ".join(f"{value:.4g} at {point:g}" for point, value in self.points)
        value = self.predict(size)
        line = (
            f"{self.name} [{self.unit}]: {points}; fit {self.slope:.4g} n + {self.intercept:.4g}; "
            f"{value:.4g} at {size:g}"
        )
        if limit is None:
            return line
        verdict = "within" if value <= limit else f"{value / limit:.1f} times"
        return f"{line}; {verdict} the limit of {limit:g}"
