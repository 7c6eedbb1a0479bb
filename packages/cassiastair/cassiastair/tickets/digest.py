"""Digest of the state map: equal maps have equal roots, of constant size.

The marks of all entries are combined by XOR in buckets, so that one change costs
two XORs and the comparison of two equal maps costs one root.
"""

import struct

import xxhash

from ..data import ObjectKey

BUCKETS = 256  # 2 KB on the wire when roots differ


def locate_bucket(key: ObjectKey) -> int:
    """Return the bucket of an object."""
    return xxhash.xxh3_64_intdigest(f"{key.kind}/{key.name}".encode()) % BUCKETS


class Digest:
    """Summary of a state map, kept up to date entry by entry."""

    def __init__(self):
        self.buckets = [0] * BUCKETS
        self._root: bytes | None = None

    def toggle(self, key: ObjectKey, mark: int) -> None:
        """Add an entry's mark, or take it out again."""
        self.buckets[locate_bucket(key)] ^= mark
        self._root = None

    @property
    def root(self) -> bytes:
        """Eight bytes that are equal for equal maps."""
        if self._root is None:
            self._root = hash_buckets(self.pack())
        return self._root

    def pack(self) -> bytes:
        """Return all buckets, eight bytes each."""
        return struct.pack(f"<{BUCKETS}Q", *self.buckets)


def hash_buckets(packed: bytes) -> bytes:
    """Return the root of a packed digest."""
    return xxhash.xxh3_64_digest(packed)


def compare_buckets(own: bytes, other: bytes) -> list[int]:
    """Return the buckets in which two packed digests differ.

    Raises
    ------
    ValueError
        If the other digest has not the size of a packed digest.
    """
    if len(other) != BUCKETS * 8:
        raise ValueError(f"a digest has {BUCKETS * 8} bytes, not {len(other)}")
    return [
        bucket
        for bucket in range(BUCKETS)
        if own[bucket * 8 : bucket * 8 + 8] != other[bucket * 8 : bucket * 8 + 8]
    ]
