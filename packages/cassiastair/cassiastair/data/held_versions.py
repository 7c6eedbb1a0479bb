"""Versions from which a target can answer, as it reports them."""

from dataclasses import dataclass

from .snapshot import Snapshot


@dataclass(frozen=True, slots=True)
class HeldVersions:
    """Range of versions that a target holds for one partition epoch.

    Parameters
    ----------
    epoch : int
        Partition epoch of the target's shards.
    low, high : int
        Oldest and newest version that the target holds, inclusive.
    """

    epoch: int
    low: int
    high: int

    def holds(self, snapshot: Snapshot) -> bool:
        """Return True if the target can answer from the snapshot."""
        if snapshot.epoch != self.epoch:
            return False
        return self.low <= snapshot.version <= self.high
