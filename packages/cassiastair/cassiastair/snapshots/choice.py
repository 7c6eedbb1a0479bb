"""Choice of the snapshot that covers most, the newest among equals."""

from collections.abc import Sequence

from ..data import HeldVersions, Snapshot

ShardHolders = tuple[int, list[HeldVersions]]  # keys of a shard, versions of targets


def choose_snapshot(
    epoch: int,
    shards: Sequence[ShardHolders],
    lowest_version: int = 0,
    excluded: frozenset[int] = frozenset(),
) -> Snapshot | None:
    """Choose the version of an epoch that covers most keys.

    Parameters
    ----------
    epoch : int
        Partition epoch in force.
    shards : sequence of (int, list of HeldVersions)
        For each shard its number of keys and what its usable targets hold.
    lowest_version : int
        Oldest version that the caller accepts.
    excluded : frozenset of int
        Versions that a target refused during this query.

    Returns
    -------
    Snapshot or None
        None if no known version is acceptable.
    """
    spans = [(keys, _find_spans(epoch, holders)) for keys, holders in shards]
    # Coverage only falls or rises at a bound of a span, so the highs suffice.
    highs = {high for _, holders in spans for _, high in holders}
    candidates = {v for v in highs if v >= lowest_version} - excluded
    best = None
    best_rank = (-1, -1)
    for version in candidates:
        rank = (_count_keys(version, spans), version)
        if rank > best_rank:
            best, best_rank = Snapshot(version, epoch), rank
    return best


def _find_spans(epoch: int, holders: list[HeldVersions]) -> set[tuple[int, int]]:
    """Return the different version spans held under an epoch."""
    return {(held.low, held.high) for held in holders if held.epoch == epoch}


def _count_keys(version: int, spans: list) -> int:
    """Return the keys of the shards that some target can answer at a version."""
    return sum(
        keys
        for keys, holders in spans
        if any(low <= version <= high for low, high in holders)
    )
