"""Interface of the client that reads the platform's store."""

from abc import ABC, abstractmethod
from dataclasses import dataclass

from .item import StoreItem


class StoreReadError(Exception):
    """Raised when the store does not answer or refuses a call."""


class HistoryGone(StoreReadError):
    """Raised when the store no longer keeps the requested changes."""


@dataclass(frozen=True, slots=True)
class StorePage:
    """Answer of the store to one call.

    Parameters
    ----------
    items : tuple of StoreItem
        All items, or the changes after a revision, with the store's own revisions.
    revision : int
        Revision up to which the answer is complete.
    era : int
        Number of times that the store has come back from an older copy of itself,
        which takes its revisions back; 0 if it does not say.
    """

    items: tuple[StoreItem, ...]
    revision: int
    era: int = 0


class StoreClient(ABC):
    """Reads the platform's store.

    Attributes
    ----------
    calls : int
        Number of calls so far, including failed ones.
    """

    calls: int

    @abstractmethod
    def read_all(self) -> StorePage:
        """Return all items.

        Changes after the revision of the returned page may be included or not.

        Raises
        ------
        StoreReadError
            If the store did not return all items.
        """

    @abstractmethod
    def watch(self, after: int, wait: float) -> StorePage:
        """Return the changes after a revision; wait for one if there is none yet.

        Parameters
        ----------
        after : int
            Revision up to which the caller knows all changes.
        wait : float
            Longest time in seconds to wait for a change.

        Raises
        ------
        HistoryGone
            If the store no longer keeps these changes.
        StoreReadError
            If the store did not answer or refused the call.
        """
