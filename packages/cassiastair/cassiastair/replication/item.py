"""One item of the platform's store at one revision."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class StoreItem:
    """The newest known state of one key.

    Parameters
    ----------
    key : str
        Key of the item.
    revision : int
        Revision of its last change.
    value : bytes or None
        What it holds; None if it was removed.
    """

    key: str
    revision: int
    value: bytes | None
