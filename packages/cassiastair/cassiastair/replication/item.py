"""One key of the platform's store at one revision."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class StoreItem:
    """Latest known state of one key.

    Parameters
    ----------
    key : str
        Key in the store.
    revision : int
        Revision of the store at which the key last changed; in a replica, the number of
        a `StorePosition`.
    value : bytes or None
        Value, or None if the key was removed.
    """

    key: str
    revision: int
    value: bytes | None
