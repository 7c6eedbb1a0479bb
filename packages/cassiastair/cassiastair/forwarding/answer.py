"""What a caller gets."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class ForwardedAnswer:
    """A target's own answer, passed on unchanged.

    Parameters
    ----------
    status : int
        The target's HTTP status.
    headers : tuple of (bytes, bytes)
        Its headers as received.
    body : bytes
        Its whole body.
    """

    status: int
    headers: tuple[tuple[bytes, bytes], ...]
    body: bytes


@dataclass(frozen=True, slots=True)
class MergedAnswer:
    """The merged answer of a search.

    Parameters
    ----------
    seals : tuple of str
        Signatures of the parts that are merged.
    missing : int
        Shards that are left out.
    body : bytes
        Greatest records of the parts, falling.
    """

    seals: tuple[str, ...]
    missing: int
    body: bytes


CallerAnswer = ForwardedAnswer | MergedAnswer
