"""Digest of the state map: equal maps have equal roots, of constant size.

The marks of all entries are combined by XOR in buckets, so that one change costs
two XORs and the comparison of two equal maps costs one root.
"""

import struct

import xxhash

from ..data import ObjectKey

BUCKET_COUNT = 256  # 2 KB on the wire when roots differ


def find_bucket(key: ObjectKey) -> int:
    """Return the bucket of an object."""
    return xxhash.xxh3_64_intdigest(f"{key.kind}/{key.name}".encode()) % BUCKET_COUNT


class Digest:
    """Summary of a state map, kept up to date entry by entry."""

    def __init__(self):
        self.buckets = [0] * BUCKET_COUNT
        self._root: bytes | None = None

    def toggle(self, key: ObjectKey, entry_hash: int) -> None:
        """Add an entry's hash, or remove it again."""
        self.buckets[find_bucket(key)] ^= entry_hash
        self._root = None

    @property
    def root(self) -> bytes:
        """Eight bytes that are equal for equal maps."""
        if self._root is None:
            self._root = compute_root(self.pack())
        return self._root

    def pack(self) -> bytes:
        """Return all buckets, eight bytes each."""
        return struct.pack(f"<{BUCKET_COUNT}Q", *self.buckets)


def compute_root(packed: bytes) -> bytes:
    """Return the root of a packed digest."""
    return xxhash.xxh3_64_digest(packed)


def find_differing_buckets(own: bytes, other: bytes) -> list[int]:
    """Return the buckets in which two packed digests differ.

    Raises
    ------
    ValueError
        If the other digest has not the size of a packed digest.
    """
    if len(other) != BUCKET_COUNT * 8:
        raise ValueError(f"a digest has {BUCKET_COUNT * 8} bytes, not {len(other)}")
    return [
        bucket
        for bucket in range(BUCKET_COUNT)
        if own[bucket * 8 : bucket * 8 + 8] != other[bucket * 8 : bucket * 8 + 8]
    ]
