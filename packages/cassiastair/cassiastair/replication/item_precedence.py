"""Interface for telling older states of a key from newer ones by their content."""

from abc import ABC, abstractmethod

from .item import StoreItem


class ItemPrecedence(ABC):
    """Compares states of a key that no position orders.

    After the store's return from an older copy, the state that the copy has of a key
    may be older than the state known before, though its position is later.
    """

    @abstractmethod
    def is_outdated(self, found: StoreItem, known: StoreItem) -> bool:
        """Return True if what the store has is older than what is known.

        Parameters
        ----------
        found : StoreItem
            State that the store has; its value is None if the key was removed.
        known : StoreItem
            State known before, with a value.
        """

    @abstractmethod
    def is_lasting(self, key: str) -> bool:
        """Return True if the known state of a key holds until a newer one is written.

        The known state of other keys holds for a limited time.
        """
