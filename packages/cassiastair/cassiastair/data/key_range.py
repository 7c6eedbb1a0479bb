"""Half-open ranges of the key space, the unit in which coverage is counted."""

from dataclasses import dataclass

KEY_SPACE = 2**32  # keys per service: 0 <= key < KEY_SPACE


@dataclass(frozen=True, slots=True, order=True)
class KeyRange:
    """A half-open range of keys.

    Parameters
    ----------
    start : int
        First key of the range.
    end : int
        First key behind the range, at most ``KEY_SPACE``.
    """

    start: int
    end: int

    @property
    def length(self) -> int:
        """Number of keys in the range."""
        return self.end - self.start

    def contains(self, key: int) -> bool:
        """Tell whether a key lies in the range."""
        return self.start <= key < self.end

    def overlaps(self, other: "KeyRange") -> bool:
        """Tell whether two ranges share a key."""
        return self.start < other.end and other.start < self.end

    def covers(self, other: "KeyRange") -> bool:
        """Tell whether the other range lies wholly inside this one."""
        return self.start <= other.start and other.end <= self.end


def is_valid_range(start: object, end: object) -> bool:
    """Tell whether two values are the bounds of a non-empty range of keys."""
    if type(start) is not int or type(end) is not int:
        return False
    return 0 <= start < end <= KEY_SPACE


FULL_RANGE = KeyRange(0, KEY_SPACE)
