"""How much of the key space an answer covers."""

from dataclasses import dataclass

from .missing_range import MissingRange


@dataclass(frozen=True, slots=True)
class Coverage:
    """Covered share of the key space, counted from the parts that arrived.

    Parameters
    ----------
    covered_keys, all_keys : int
        Covered keys and all keys of the services that were searched.
    missing : tuple of MissingRange
        The uncovered ranges; empty only if everything is covered.
    """

    covered_keys: int
    all_keys: int
    missing: tuple[MissingRange, ...]

    @property
    def share(self) -> float:
        """Covered share, from 0 to 1; 1 only if every key is covered."""
        if self.covered_keys == self.all_keys:
            return 1.0
        return min(self.covered_keys / self.all_keys, 0.999999)
