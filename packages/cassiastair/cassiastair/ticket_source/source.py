"""Interface of a client of the platform's configuration service."""

from abc import ABC, abstractmethod

from .entry import PlatformPage


class PlatformError(Exception):
    """The platform could not be reached or gave an unusable answer."""


class PlatformSource(ABC):
    """Read-only client of the platform."""

    @abstractmethod
    def watch(self, after: int, wait: float) -> PlatformPage:
        """Return the values published after a revision.

        Parameters
        ----------
        after : int
            Revision of the last page; 0 to read all values.
        wait : float
            Seconds that the platform waits for a new value before it returns an
            empty page.

        Raises
        ------
        PlatformError
            If the platform gives no usable answer.
        """
