"""Coverage of an answer: the part of the key space that it includes."""

from dataclasses import dataclass

from .missing_range import MissingRange


@dataclass(frozen=True, slots=True)
class Coverage:
    """Covered part of the key space, counted from the shard answers that arrived.

    Parameters
    ----------
    covered_keys, all_keys : int
        Number of covered keys and of all keys of the searched services.
    missing : tuple of MissingRange
        Key ranges that are not covered; empty only if all keys are covered.
    """

    covered_keys: int
    all_keys: int
    missing: tuple[MissingRange, ...]

    @property
    def share(self) -> float:
        """Covered share of all keys, from 0 to 1; 1 only if all keys are covered."""
        if self.covered_keys == self.all_keys:
            return 1.0
        return min(self.covered_keys / self.all_keys, 0.999999)
