"""Straight lines fitted through measurements at several sizes."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Slope:
    """A line fitted by least squares.

    Parameters
    ----------
    name : str
        Name of the measured quantity, with its units.
    sizes, values : list of float
        Sizes, and the value measured at each.
    slope, base : float
        Growth of the value per unit of size, and the value at size zero.
    residual : float
        Largest distance of a value from the line, as a fraction of the largest value.
    """

    name: str
    sizes: list[float]
    values: list[float]
    slope: float
    base: float
    residual: float

    def to_dict(self) -> dict:
        """Return the JSON form, with rounded values."""
        return {
            "name": self.name,
            "sizes": self.sizes,
            "values": [float(f"{value:.5g}") for value in self.values],
            "slope": float(f"{self.slope:.5g}"),
            "base": float(f"{self.base:.5g}"),
            "residual": round(self.residual, 4),
        }


def fit_line(name: str, points: list[tuple[float, float]]) -> Slope:
    """Fit a line through points of size and value, by least squares.

    Raises
    ------
    ValueError
        If there are fewer than three points.
    """
    if len(points) < 3:
        raise ValueError(f"{name}: a slope needs three sizes")
    count = len(points)
    mean_x = sum(x for x, _ in points) / count
    mean_y = sum(y for _, y in points) / count
    spread = sum((x - mean_x) ** 2 for x, _ in points)
    slope = sum((x - mean_x) * (y - mean_y) for x, y in points) / spread
    base = mean_y - slope * mean_x
    highest = max(abs(y) for _, y in points) or 1.0
    residual = max(abs(y - base - slope * x) for x, y in points) / highest
    sizes, values = ([p[i] for p in points] for i in (0, 1))
    return Slope(name, sizes, values, slope, base, residual)
