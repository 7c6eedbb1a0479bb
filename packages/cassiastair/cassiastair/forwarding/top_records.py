"""Merging of the record lists that the shards of a search return."""

from collections.abc import Iterable

RECORD_BYTES = 16


def merge_top_records(bodies: Iterable[bytes], count: int) -> bytes:
    """Return the greatest records of several parts, in descending order.

    Parameters
    ----------
    bodies : iterable of bytes
        Unordered records of `RECORD_BYTES` bytes each. Incomplete bytes at the end
        of a part are ignored; equal records are kept as often as they occur.
    count : int
        Maximum number of records to return.

    Returns
    -------
    bytes
        The records, concatenated.
    """
    records = [
        body[start : start + RECORD_BYTES]
        for body in bodies
        for start in range(0, len(body) - RECORD_BYTES + 1, RECORD_BYTES)
    ]
    records.sort(reverse=True)
    return b"".join(records[:count])
