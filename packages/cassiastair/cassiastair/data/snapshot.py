"""Identity of a consistent view of an index."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True, order=True)
class Snapshot:
    """One version of the records together with one partitioning into shards.

    Parameters
    ----------
    version : int
        Version of the index, which increases with each publication of records.
    epoch : int
        Partition epoch, which increases with each change of the shard bounds.
    """

    version: int
    epoch: int
