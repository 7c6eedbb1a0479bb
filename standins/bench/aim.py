"""An aim: a measured quantity, the bound that it must meet, and a baseline."""

from dataclasses import dataclass

import orjson


@dataclass(frozen=True, slots=True)
class Aim:
    """A quantity that was measured, with its bound and its baseline.

    Parameters
    ----------
    aim : str
        Name of the quantity, with its unit.
    bound : float
        Value that the requirements allow at most or ask for at least.
    measured : float
        Value measured in this run.
    baseline : float or None
        Value measured in this run with a simple mechanism in place of the real one.
    at_most : bool
        Whether the bound is an upper bound; if not, it is a lower one.
    """

    aim: str
    bound: float
    measured: float
    baseline: float | None = None
    at_most: bool = True

    @property
    def reached(self) -> bool:
        """Whether the measured value meets the bound."""
        if self.at_most:
            return self.measured <= self.bound
        return self.measured >= self.bound

    def to_json_line(self) -> str:
        """Return the aim as one line of JSON."""
        baseline = None if self.baseline is None else round(self.baseline, 4)
        document = {
            "aim": self.aim,
            "bound": self.bound,
            "measured": round(self.measured, 4),
            "baseline": baseline,
            "reached": self.reached,
        }
        return orjson.dumps(document).decode()
