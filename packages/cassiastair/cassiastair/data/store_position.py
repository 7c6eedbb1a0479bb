"""Positions of the store: the order of its states, across returns from older copies."""

from dataclasses import dataclass

REVISION_BITS = 63
MAX_REVISION = (1 << REVISION_BITS) - 1


@dataclass(frozen=True, slots=True, order=True)
class StorePosition:
    """Place of a state among all states of the store.

    A store that comes back from an older copy of itself gives revisions out again, and
    counts these returns in its era. Revisions are comparable within an era only.

    Parameters
    ----------
    era : int
        Number of returns from older copies; -1 before the first read.
    revision : int
        Revision of the store in that era, from 0 to 2**63 - 1; -1 before the first
        read.
    """

    era: int
    revision: int

    @classmethod
    def from_number(cls, number: int) -> "StorePosition":
        """Return the position that a number stands for, see `to_number`."""
        if number < 0:
            return cls(-1, -1)
        return cls(number >> REVISION_BITS, number & MAX_REVISION)

    def to_number(self) -> int:
        """Return a number that orders as positions do.

        In the era 0 it is the revision, as in releases that know no eras; before the
        first read it is -1.
        """
        if self.era < 0:
            return -1
        return (self.era << REVISION_BITS) + self.revision

    def describe(self) -> dict[str, int]:
        """Return the fields of a log line."""
        return {"era": self.era, "revision": self.revision}
