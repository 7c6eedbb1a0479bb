"""State of a key that stays in force although the store has another one."""

from dataclasses import dataclass

from .item import StoreItem


@dataclass(frozen=True, slots=True)
class KeptItem:
    """Item that was known before the store came back from an older copy.

    Parameters
    ----------
    item : StoreItem
        The item that stays in force; its value is None if the key had been removed.
    found : StoreItem or None
        What the store has; None if it lacks the key.
    until : float
        Time in seconds at which `found` takes its place.
    """

    item: StoreItem
    found: StoreItem | None
    until: float
