"""Interface through which callers' connections use the daemon."""

from abc import ABC, abstractmethod

from cassiastair.clock import Clock
from cassiastair.errors import CassiastairError
from cassiastair.routing import CallerLimits

from .entry_memory import EntryMemory
from .http_message import HttpReply, HttpRequest
from .parsing_turns import ParsingTurns


class RequestHandler(ABC):
    """Answers the requests that connections have read.

    Attributes
    ----------
    clock : Clock
        Source of time.
    memory : EntryMemory
        Memory for the bytes of callers.
    turns : ParsingTurns
        Turns in which connections parse costly bodies.
    """

    clock: Clock
    memory: EntryMemory
    turns: ParsingTurns

    @property
    @abstractmethod
    def limits(self) -> CallerLimits:
        """Limits on callers' requests that are in force now."""

    @abstractmethod
    def should_close_connections(self) -> bool:
        """Return True if connections are to be closed after their next answer."""

    @abstractmethod
    def answer(self, message: HttpRequest, caller_rtt: float) -> HttpReply:
        """Return the reply to a request; failures are answered, too.

        Parameters
        ----------
        message : HttpRequest
            The request.
        caller_rtt : float
            Network time of the request and its answer, in seconds.
        """

    @abstractmethod
    def answer_error(self, error: CassiastairError) -> HttpReply:
        """Return the reply to a request that is malformed or timed out."""

    @abstractmethod
    def remove_connection(self, connection: object) -> None:
        """Remove a connection that has ended."""
