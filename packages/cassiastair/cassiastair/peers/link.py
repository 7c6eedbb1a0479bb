"""Interface of a link to one peer."""

from abc import ABC, abstractmethod

from ..data import Vm
from .messages import Message


class LinkClosed(Exception):
    """Raised when a message is sent on a closed link."""


class PeerLink(ABC):
    """Link that sends messages to one peer.

    Attributes
    ----------
    vm : Vm or None
        The peer; None until its hello has arrived.
    staged : list
        Entries received so far of a transfer that takes several messages.
    mismatches : int
        Consecutive heartbeats that did not agree with the own state.
    takes_limits : bool
        Whether the peer's release knows reports on the limits of targets.
    """

    def __init__(self):
        self.vm: Vm | None = None
        self.staged: list = []
        self.mismatches = 0
        self.takes_limits = False

    @abstractmethod
    def send(self, message: Message) -> None:
        """Send a message; it is lost if the link closes before the delivery.

        Raises
        ------
        LinkClosed
            If the link is known to be closed.
        """

    @abstractmethod
    def close(self) -> None:
        """Close the link."""
