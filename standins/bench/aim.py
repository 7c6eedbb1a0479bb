"""One aim with its bound, what was measured, and the baseline beside it."""

from dataclasses import dataclass

import orjson


@dataclass(frozen=True, slots=True)
class Aim:
    """A measured aim.

    Parameters
    ----------
    aim : str
        What is measured, with its unit.
    bound : float
        Where the aim ends; it comes from the stated target.
    measured : float
        What this run has shown.
    baseline : float or None
        The same with the simple mechanism in place of the real one, in this run.
    at_most : bool
        Whether the bound is an upper one.
    """

    aim: str
    bound: float
    measured: float
    baseline: float | None = None
    at_most: bool = True

    @property
    def reached(self) -> bool:
        """Whether the measured value is within the bound."""
        if self.at_most:
            return self.measured <= self.bound
        return self.measured >= self.bound

    def to_json_line(self) -> str:
        """Return the aim as a JSON line."""
        baseline = None if self.baseline is None else round(self.baseline, 4)
        document = {
            "aim": self.aim,
            "bound": self.bound,
            "measured": round(self.measured, 4),
            "baseline": baseline,
            "reached": self.reached,
        }
        return orjson.dumps(document).decode()
