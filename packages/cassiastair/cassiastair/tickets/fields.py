"""Validation of single JSON fields, which collects all problems instead of raising."""

import ipaddress
import re

from ..data import KEY_SPACE, KeyRange
from ..data.key_range import is_valid_range
from .problem import TicketProblem

NAME_PATTERN = re.compile(r"[a-z0-9][a-z0-9.-]{0,62}")
MAX_RANGES = 4096  # key ranges of one object
MAX_EXACT_INTEGER = 2**53  # larger integers lose digits in parsers that use doubles


class FieldReader:
    """Reads and validates the fields of one JSON object.

    A method that finds a problem adds it to ``problems`` and returns a placeholder.

    Parameters
    ----------
    raw : dict
        The parsed JSON object.
    path : str
        Path of the object inside the document; empty for the document itself.
    problems : list of TicketProblem
        List to which problems are added.
    """

    def __init__(self, raw: dict, path: str, problems: list[TicketProblem]):
        self.raw = raw
        self.path = path
        self.problems = problems

    def report(self, field: str, message: str) -> None:
        """Add a problem of one field."""
        path = f"{self.path}.{field}" if self.path else field
        self.problems.append(TicketProblem(path, message))

    def report_unknown(self, known: set[str]) -> None:
        """Report each field whose name is not known."""
        for field in sorted(set(map(str, self.raw)) - known):
            self.report(field, f"unknown field; known are {', '.join(sorted(known))}")

    def integer(self, field: str, low: int, high: int, default: int | None = None):
        """Return an integer field with a value from ``low`` to ``high``."""
        value = self.raw.get(field, default)
        if type(value) is int and low <= value <= high:
            return value
        self.report(field, f"must be an integer from {low} to {high}")
        return low

    def number(self, field: str, low: float, high: float, default: float) -> float:
        """Return a numeric field with a value from ``low`` to ``high``."""
        value = self.raw.get(field, default)
        if type(value) in (int, float) and low <= value <= high:
            return float(value)
        self.report(field, f"must be a number from {low:g} to {high:g}")
        return default

    def flag(self, field: str) -> bool:
        """Return a boolean field, which is False by default."""
        value = self.raw.get(field, False)
        if isinstance(value, bool):
            return value
        self.report(field, "must be true or false")
        return False

    def name(self, field: str) -> str:
        """Return a field that holds the name of an object."""
        value = self.raw.get(field)
        if is_name(value):
            return value
        self.report(field, "must be a name: lower-case letters, digits, '.' and '-'")
        return "?"

    def names(self, field: str) -> tuple[str, ...]:
        """Return a field that holds a list of one or more distinct names."""
        value = self.raw.get(field)
        if not isinstance(value, list) or not value or not all(map(is_name, value)):
            self.report(field, "must be a list of one or more names")
            return ()
        if len(set(value)) != len(value):
            self.report(field, "contains a name twice")
        return tuple(value)

    def address(self, field: str) -> str:
        """Return a field that holds an IP address."""
        value = self.raw.get(field)
        try:
            return str(ipaddress.ip_address(value if isinstance(value, str) else ""))
        except ValueError:
            self.report(field, "must be an IP address, such as 10.1.2.3")
            return "0.0.0.0"

    def ranges(self, field: str) -> tuple[KeyRange, ...]:
        """Return a field that holds disjoint key ranges in key order."""
        value = self.raw.get(field)
        if not isinstance(value, list) or not 1 <= len(value) <= MAX_RANGES:
            self.report(
                field, f"must be a list of 1 to {MAX_RANGES} [start, end] pairs"
            )
            return ()
        return self._read_ranges(field, value)

    def _read_ranges(self, field: str, value: list) -> tuple[KeyRange, ...]:
        """Return the valid pairs of a list as key ranges; report the others."""
        ranges: list[KeyRange] = []
        for position, pair in enumerate(value):
            if (
                not isinstance(pair, list)
                or len(pair) != 2
                or not is_valid_range(*pair)
            ):
                message = f"must be [start, end] with 0 <= start < end <= {KEY_SPACE}"
                self.report(f"{field}[{position}]", message)
            elif ranges and pair[0] < ranges[-1].end:
                self.report(f"{field}[{position}]", "overlaps the range before it")
            else:
                ranges.append(KeyRange(*pair))
        return tuple(ranges)


def is_name(value: object) -> bool:
    """Return True if a value is a valid name of an object."""
    return isinstance(value, str) and NAME_PATTERN.fullmatch(value) is not None
