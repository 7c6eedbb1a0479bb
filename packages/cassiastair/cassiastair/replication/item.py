"""One key of the platform's store at one revision."""

from collections.abc import Iterable
from dataclasses import dataclass, replace

from ..data import StorePosition


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


def place_items(items: Iterable[StoreItem], era: int) -> list[StoreItem]:
    """Return items that the store sent in an era, with positions as revisions."""
    if era == 0:
        return list(items)
    start = StorePosition(era, 0).to_number()
    return [replace(item, revision=start + item.revision) for item in items]
