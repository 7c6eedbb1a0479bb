"""Choice of the snapshot that covers most keys; the newest wins a tie."""

from collections.abc import Sequence

from ..data import HeldVersions, Snapshot

ShardHoldings = tuple[int, list[HeldVersions]]  # number of keys, versions held


def choose_snapshot(
    epoch: int,
    shards: Sequence[ShardHoldings],
    lowest_version: int = 0,
    excluded: frozenset[int] = frozenset(),
) -> Snapshot | None:
    """Choose the version of an epoch that covers most keys.

    Parameters
    ----------
    epoch : int
        Partition epoch in force.
    shards : sequence of (int, list of HeldVersions)
        For each shard, its number of keys and the versions that its usable targets
        hold.
    lowest_version : int
        Oldest version that the caller accepts.
    excluded : frozenset of int
        Versions that must not be chosen.

    Returns
    -------
    Snapshot or None
        None if no known version is acceptable.
    """
    held_spans = [(keys, _find_spans(epoch, holders)) for keys, holders in shards]
    # Coverage falls only past the high end of a span, so one of these is best.
    highs = {high for _, holders in held_spans for _, high in holders}
    candidates = {v for v in highs if v >= lowest_version} - excluded
    best = None
    best_rank = (-1, -1)
    for version in candidates:
        rank = (_count_covered_keys(version, held_spans), version)
        if rank > best_rank:
            best, best_rank = Snapshot(version, epoch), rank
    return best


def _find_spans(epoch: int, holdings: list[HeldVersions]) -> set[tuple[int, int]]:
    """Return the distinct version spans held in an epoch, as (low, high) pairs."""
    return {(held.low, held.high) for held in holdings if held.epoch == epoch}


def _count_covered_keys(version: int, held_spans: list) -> int:
    """Return the number of keys of the shards of which a target holds a version."""
    return sum(
        keys
        for keys, holders in held_spans
        if any(low <= version <= high for low, high in holders)
    )
