"""A target's answer for one shard."""

from dataclasses import dataclass

from .held_versions import HeldVersions
from .key_range import KeyRange
from .snapshot import Snapshot


@dataclass(frozen=True, slots=True)
class ShardAnswer:
    """Records of one key range from one snapshot.

    Parameters
    ----------
    attempt_id : str
        Identity of the attempt that is answered.
    service : str
        Name of the service of the records.
    snapshot : Snapshot
        Snapshot that the target answered from.
    key_range : KeyRange
        Keys that the answer covers.
    records : tuple
        Matching records, unchanged from the target's answer.
    held_versions : tuple of HeldVersions
        Versions that the target holds, one range for each partition epoch.
    incarnation : str
        Run of the target's process that answered.
    load : float or None
        Load that the target reports, as requests in progress per slot.
    """

    attempt_id: str
    service: str
    snapshot: Snapshot
    key_range: KeyRange
    records: tuple
    held_versions: tuple[HeldVersions, ...]
    incarnation: str
    load: float | None = None
