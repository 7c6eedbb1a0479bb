"""Values that a read of the platform returns."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class PlatformEntry:
    """One value published on the platform.

    Parameters
    ----------
    key : str
        Key of the value, such as ``tickets/12``.
    value : bytes
        Content, at most one megabyte.
    era : int
        Era of the platform, see `PlatformPage`.
    """

    key: str
    value: bytes
    era: int = 0


@dataclass(frozen=True, slots=True)
class PlatformPage:
    """Values published after a revision.

    Parameters
    ----------
    revision : int
        Revision up to which the page is complete; the next read continues after it.
    entries : tuple of PlatformEntry
        The values, oldest first.
    more : bool
        Whether the platform has further values after the page.
    era : int
        Number of times that the platform has come back from an older copy of itself;
        0 if it does not say. Revisions are comparable within an era only.
    """

    revision: int
    entries: tuple[PlatformEntry, ...]
    more: bool
    era: int = 0
