"""Result type of a search or lookup."""

from dataclasses import dataclass

from ..data import Coverage, Snapshot


@dataclass(frozen=True, slots=True)
class SearchAnswer:
    """Records of one snapshot and the share of the keys that they cover.

    Parameters
    ----------
    snapshot : Snapshot
        Snapshot that all records come from.
    coverage : Coverage
        Covered keys, and the missing ranges with their reasons.
    records : list
        Records as the targets sent them, in the order of services and keys.
    subrequests : int
        Number of subrequests that were sent, including hedges, probes and retries.
    """

    snapshot: Snapshot
    coverage: Coverage
    records: list
    subrequests: int
