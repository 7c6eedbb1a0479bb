"""The answer of a search or lookup."""

from dataclasses import dataclass

from ..data import Coverage, Snapshot


@dataclass(frozen=True, slots=True)
class SearchAnswer:
    """Records of one snapshot with the coverage that was proved.

    Parameters
    ----------
    snapshot : Snapshot
        Snapshot that all records come from.
    coverage : Coverage
        What the records cover.
    records : list
        Records as the targets sent them.
    subrequests : int
        Subrequests sent for it, hedges and retries included.
    """

    snapshot: Snapshot
    coverage: Coverage
    records: list
    subrequests: int
