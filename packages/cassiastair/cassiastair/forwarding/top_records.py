"""Merge of the parts of a search."""

from collections.abc import Iterable

RECORD_BYTES = 16


def merge_top_records(bodies: Iterable[bytes], count: int) -> bytes:
    """Return the greatest records of some parts, greatest first.

    Parameters
    ----------
    bodies : iterable of bytes
        Records of 16 bytes each, in no order; a shorter rest is no record. Equal
        records all count.
    count : int
        Records to return at most.
    """
    records = [
        body[start : start + RECORD_BYTES]
        for body in bodies
        for start in range(0, len(body) - RECORD_BYTES + 1, RECORD_BYTES)
    ]
    records.sort(reverse=True)
    return b"".join(records[:count])
