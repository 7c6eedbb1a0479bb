"""The identity of one consistent view of an index."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True, order=True)
class Snapshot:
    """One consistent view: a version of the records under one partitioning.

    Parameters
    ----------
    version : int
        Version of the index, rising with each publication of records.
    epoch : int
        Partition epoch, rising with each change of the shards' bounds.
    """

    version: int
    epoch: int
