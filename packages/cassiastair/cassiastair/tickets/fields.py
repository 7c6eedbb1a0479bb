"""Reading of single fields, with every fault collected instead of raised."""

import ipaddress
import re

from ..data import KEY_SPACE, KeyRange
from ..data.key_range import is_valid_range
from .problem import TicketProblem

NAME = re.compile(r"[a-z0-9][a-z0-9.-]{0,62}")
MAX_PARTS = 4096  # ranges in one object
INT_LIMIT = 2**53  # integers above this do not survive every JSON reader


class FieldReader:
    """Reads the fields of one JSON object.

    Parameters
    ----------
    raw : dict
        The JSON object.
    path : str
        Path of the object inside the ticket.
    problems : list of TicketProblem
        Where faults are added.
    """

    def __init__(self, raw: dict, path: str, problems: list[TicketProblem]):
        self.raw = raw
        self.path = path
        self.problems = problems

    def report(self, field: str, message: str) -> None:
        """Add a fault of one field."""
        path = f"{self.path}.{field}" if self.path else field
        self.problems.append(TicketProblem(path, message))

    def refuse_unknown(self, known: set[str]) -> None:
        """Report every field that is not known."""
        for field in sorted(set(map(str, self.raw)) - known):
            self.report(field, f"unknown field; known are {', '.join(sorted(known))}")

    def integer(self, field: str, low: int, high: int, default: int | None = None):
        """Read an integer between two bounds, both included."""
        value = self.raw.get(field, default)
        if type(value) is int and low <= value <= high:
            return value
        self.report(field, f"must be an integer from {low} to {high}")
        return low

    def number(self, field: str, low: float, high: float, default: float) -> float:
        """Read a number between two bounds, both included."""
        value = self.raw.get(field, default)
        if type(value) in (int, float) and low <= value <= high:
            return float(value)
        self.report(field, f"must be a number from {low:g} to {high:g}")
        return default

    def flag(self, field: str) -> bool:
        """Read a boolean that is false by default."""
        value = self.raw.get(field, False)
        if isinstance(value, bool):
            return value
        self.report(field, "must be true or false")
        return False

    def name(self, field: str) -> str:
        """Read a name."""
        value = self.raw.get(field)
        if is_name(value):
            return value
        self.report(field, "must be a name: lower-case letters, digits, '.' and '-'")
        return "?"

    def names(self, field: str) -> tuple[str, ...]:
        """Read a list of one or more different names."""
        value = self.raw.get(field)
        if not isinstance(value, list) or not value or not all(map(is_name, value)):
            self.report(field, "must be a list of one or more names")
            return ()
        if len(set(value)) != len(value):
            self.report(field, "names the same thing twice")
        return tuple(value)

    def address(self, field: str) -> str:
        """Read an IP number."""
        value = self.raw.get(field)
        try:
            return str(ipaddress.ip_address(value if isinstance(value, str) else ""))
        except ValueError:
            self.report(field, "must be an IP number, such as 10.1.2.3")
            return "0.0.0.0"

    def ranges(self, field: str) -> tuple[KeyRange, ...]:
        """Read a list of disjoint key ranges in key order."""
        value = self.raw.get(field)
        if not isinstance(value, list) or not 1 <= len(value) <= MAX_PARTS:
            self.report(field, f"must be a list of 1 to {MAX_PARTS} [start, end] pairs")
            return ()
        return self._read_ranges(field, value)

    def _read_ranges(self, field: str, value: list) -> tuple[KeyRange, ...]:
        """Read the pairs of a list of ranges."""
        parts: list[KeyRange] = []
        for position, pair in enumerate(value):
            if (
                not isinstance(pair, list)
                or len(pair) != 2
                or not is_valid_range(*pair)
            ):
                message = f"must be [start, end] with 0 <= start < end <= {KEY_SPACE}"
                self.report(f"{field}[{position}]", message)
            elif parts and pair[0] < parts[-1].end:
                self.report(f"{field}[{position}]", "overlaps the range before it")
            else:
                parts.append(KeyRange(*pair))
        return tuple(parts)


def is_name(value: object) -> bool:
    """Tell whether a value is a valid name."""
    return isinstance(value, str) and NAME.fullmatch(value) is not None
