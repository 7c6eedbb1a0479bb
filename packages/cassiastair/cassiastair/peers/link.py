"""A link to one peer, as the coordination sees it."""

from abc import ABC, abstractmethod

from ..data import Vm
from .messages import Message


class LinkClosed(Exception):
    """The link is closed."""


class PeerLink(ABC):
    """Sends messages to one peer.

    Attributes
    ----------
    vm : Vm or None
        The peer, once it has said hello.
    staged : list
        Entries received so far of a transfer in several messages.
    mismatches : int
        Heartbeats in a row whose digest differed from the own one.
    """

    def __init__(self):
        self.vm: Vm | None = None
        self.staged: list = []
        self.mismatches = 0

    @abstractmethod
    def send(self, message: Message) -> None:
        """Send a message; a closed link drops it.

        Raises
        ------
        LinkClosed
            If the link is known to be closed.
        """

    @abstractmethod
    def close(self) -> None:
        """Close the link."""
