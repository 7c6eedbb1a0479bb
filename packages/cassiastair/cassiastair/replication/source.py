"""Reading calls of the platform's store."""

from abc import ABC, abstractmethod
from dataclasses import dataclass

from .item import StoreItem


class StoreReadError(Exception):
    """The store did not answer, or refused."""


class HistoryGone(StoreReadError):
    """The changes after the asked revision are not kept any more."""


@dataclass(frozen=True, slots=True)
class StorePage:
    """An answer of the store.

    Parameters
    ----------
    items : tuple of NewsItem
        Items or changes.
    revision : int
        Revision that the answer reaches.
    """

    items: tuple[StoreItem, ...]
    revision: int


class StoreClient(ABC):
    """Reads the store.

    Attributes
    ----------
    calls : int
        Calls so far, refused ones too.
    """

    calls: int

    @abstractmethod
    def read_all(self) -> StorePage:
        """Return all items; changes after the page's revision may be in or not.

        Raises
        ------
        SourceFailure
            If the store did not give all pages.
        """

    @abstractmethod
    def watch(self, after: int, wait: float) -> StorePage:
        """Return the changes after a revision, waiting some seconds for the first.

        Raises
        ------
        HistoryGone
            If the store no longer keeps them.
        SourceFailure
            If it did not answer.
        """
