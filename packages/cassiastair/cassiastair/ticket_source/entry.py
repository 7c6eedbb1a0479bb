"""What a read of the platform returns."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class PlatformEntry:
    """One published value.

    Parameters
    ----------
    key : str
        Its key, such as ``tickets/12``.
    value : bytes
        The value, at most a megabyte.
    """

    key: str
    value: bytes


@dataclass(frozen=True, slots=True)
class PlatformPage:
    """Values published after some revision.

    Parameters
    ----------
    revision : int
        Revision up to which the page reaches.
    entries : tuple of PlatformEntry
        The values, oldest first.
    more : bool
        Whether further values are waiting behind the page.
    """

    revision: int
    entries: tuple[PlatformEntry, ...]
    more: bool
