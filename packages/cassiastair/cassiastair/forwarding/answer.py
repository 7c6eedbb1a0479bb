"""Answers that are returned to callers."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class ForwardedAnswer:
    """Answer of one target, returned to the caller unchanged.

    Parameters
    ----------
    status : int
        HTTP status that the target sent.
    headers : tuple of (bytes, bytes)
        Headers in the order received.
    body : bytes
        Complete body.
    """

    status: int
    headers: tuple[tuple[bytes, bytes], ...]
    body: bytes


@dataclass(frozen=True, slots=True)
class MergedAnswer:
    """Answer of a search, merged from the replies of its shards.

    Parameters
    ----------
    seals : tuple of str
        Signatures of the merged parts.
    missing : int
        Number of shards without a part in the answer.
    body : bytes
        Greatest records of all parts, in descending order.
    """

    seals: tuple[str, ...]
    missing: int
    body: bytes


CallerAnswer = ForwardedAnswer | MergedAnswer
