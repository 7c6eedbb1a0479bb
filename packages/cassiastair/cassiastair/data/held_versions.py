"""What versions a target says that it can answer from."""

from dataclasses import dataclass

from .snapshot import Snapshot


@dataclass(frozen=True, slots=True)
class HeldVersions:
    """The range of versions that a target holds under one partition epoch.

    Parameters
    ----------
    epoch : int
        Partition epoch of the target's shards.
    low, high : int
        Oldest and newest version that it holds, both included.
    """

    epoch: int
    low: int
    high: int

    def holds(self, snapshot: Snapshot) -> bool:
        """Tell whether the target can answer from a snapshot."""
        if snapshot.epoch != self.epoch:
            return False
        return self.low <= snapshot.version <= self.high
