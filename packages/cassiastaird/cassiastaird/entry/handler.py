"""Answers requests on callers' connections."""

from abc import ABC, abstractmethod

from cassiastair.clock import Clock
from cassiastair.errors import CassiastairError
from cassiastair.routing import CallerLimits

from .http_message import HttpReply, HttpRequest


class RequestHandler(ABC):
    """What a connection needs of the daemon.

    Attributes
    ----------
    clock : Clock
        Source of time.
    """

    clock: Clock

    @property
    @abstractmethod
    def limits(self) -> CallerLimits:
        """What callers may send now."""

    @abstractmethod
    def is_stopping(self) -> bool:
        """Tell whether connections are to be closed after their answers."""

    @abstractmethod
    def answer(self, message: HttpRequest, travel: float) -> HttpReply:
        """Answer a request; every failure becomes a reply.

        Parameters
        ----------
        message : HttpRequest
            The request.
        travel : float
            Seconds on the way from and to the caller.
        """

    @abstractmethod
    def refuse(self, error: CassiastairError) -> HttpReply:
        """Return the reply to bytes that are no request."""

    @abstractmethod
    def closed(self, connection: object) -> None:
        """Forget a connection that has ended."""
