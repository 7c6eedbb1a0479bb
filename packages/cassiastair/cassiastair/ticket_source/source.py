"""The interface to the platform's configuration service."""

from abc import ABC, abstractmethod

from .entry import PlatformPage


class PlatformError(Exception):
    """The platform could not be read."""


class PlatformSource(ABC):
    """Reads and watches; nothing can be written."""

    @abstractmethod
    def watch(self, after: int, wait: float) -> PlatformPage:
        """Return what was published after a revision.

        Parameters
        ----------
        after : int
            Revision of the last read; 0 for everything.
        wait : float
            Seconds that the platform waits for news before it returns none.

        Raises
        ------
        PlatformError
            If the platform gives no usable answer.
        """
