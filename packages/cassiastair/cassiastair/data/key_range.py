"""Half-open ranges of the key space, by which shards and coverage are described."""

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
        First key after the range, at most ``KEY_SPACE``.
    """

    start: int
    end: int

    @property
    def length(self) -> int:
        """Number of keys in the range."""
        return self.end - self.start

    def contains(self, key: int) -> bool:
        """Return True if the key lies in the range."""
        return self.start <= key < self.end

    def overlaps(self, other: "KeyRange") -> bool:
        """Return True if the two ranges have a key in common."""
        return self.start < other.end and other.start < self.end

    def covers(self, other: "KeyRange") -> bool:
        """Return True if the other range lies entirely within this one."""
        return self.start <= other.start and other.end <= self.end


def is_valid_range(start: object, end: object) -> bool:
    """Return True if two values are valid bounds of a non-empty key range."""
    if type(start) is not int or type(end) is not int:
        return False
    return 0 <= start < end <= KEY_SPACE


FULL_RANGE = KeyRange(0, KEY_SPACE)
