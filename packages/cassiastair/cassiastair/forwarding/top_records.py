"""Merging of the record lists that the shards of a search return."""

from collections.abc import Callable
from functools import cache
from struct import Struct

RECORD_BYTES = 16
BLOCK_BYTES = 256 * RECORD_BYTES  # bounds the number of cached functions


class TopRecords:
    """Greatest records of the parts of a search, kept while the parts arrive.

    Merging each part when it arrives uses time in which the search waits for others;
    merging all at the end would delay the answer.

    Parameters
    ----------
    count : int
        Maximum number of records to keep.
    """

    __slots__ = ("_count", "_records")

    def __init__(self, count: int):
        self._count = count
        self._records: list[bytes] = []

    def add(self, body: bytes) -> None:
        """Merge the records of a part.

        Parameters
        ----------
        body : bytes
            Unordered records of `RECORD_BYTES` bytes each. Incomplete bytes at the
            end are ignored; equal records are kept as often as they occur.
        """
        for start in range(0, len(body), BLOCK_BYTES):
            self._add_block(body[start : start + BLOCK_BYTES])

    def _add_block(self, block: bytes) -> None:
        """Merge the records of a part of a body."""
        added = make_unpacker(len(block) // RECORD_BYTES)(block)
        kept = self._records
        if len(kept) == self._count:
            lowest = kept[-1] if kept else b"\xff" * RECORD_BYTES
            added = [record for record in added if record > lowest]
        if added:
            kept += added
            kept.sort(reverse=True)
            del kept[self._count :]

    def join(self) -> bytes:
        """Return the kept records in descending order, concatenated."""
        return b"".join(self._records)


@cache
def make_unpacker(count: int) -> Callable[[bytes], tuple[bytes, ...]]:
    """Return a function that cuts a number of records from the start of a body."""
    return Struct(f"{RECORD_BYTES}s" * count).unpack_from
