"""Digest of a state map, by which two VMs find the entries that differ.

The hashes of all entries are combined by XOR in buckets, and the root is the hash of
all buckets. A change costs two XORs. VMs with equal state exchange only the root.
"""

import struct

import xxhash

from ..data import ObjectKey

BUCKET_COUNT = 256  # 2 KiB in a message, sent only if the roots differ


def find_bucket(key: ObjectKey) -> int:
    """Return the number of the bucket that an object belongs to."""
    return xxhash.xxh3_64_intdigest(f"{key.kind}/{key.name}".encode()) % BUCKET_COUNT


class Digest:
    """Summary of a state map, updated with each changed entry."""

    def __init__(self):
        self.buckets = [0] * BUCKET_COUNT
        self._root: bytes | None = None

    def toggle(self, key: ObjectKey, entry_hash: int) -> None:
        """Add the hash of an entry, or remove it if it was added before."""
        self.buckets[find_bucket(key)] ^= entry_hash
        self._root = None

    @property
    def root(self) -> bytes:
        """Hash of all buckets, eight bytes; equal for equal state maps."""
        if self._root is None:
            self._root = compute_root(self.pack())
        return self._root

    def pack(self) -> bytes:
        """Return all buckets in order, eight bytes each."""
        return struct.pack(f"<{BUCKET_COUNT}Q", *self.buckets)


def compute_root(packed: bytes) -> bytes:
    """Return the root of a packed digest."""
    return xxhash.xxh3_64_digest(packed)


def find_differing_buckets(own: bytes, other: bytes) -> list[int]:
    """Return the numbers of the buckets in which two packed digests differ.

    Raises
    ------
    ValueError
        If the other digest does not have the size of a packed digest.
    """
    if len(other) != BUCKET_COUNT * 8:
        raise ValueError(f"a digest has {BUCKET_COUNT * 8} bytes, not {len(other)}")
    return [
        bucket
        for bucket in range(BUCKET_COUNT)
        if own[bucket * 8 : bucket * 8 + 8] != other[bucket * 8 : bucket * 8 + 8]
    ]
