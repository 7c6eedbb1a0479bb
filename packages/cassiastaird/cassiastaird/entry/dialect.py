"""How callers and targets word their requests and answers."""

from abc import ABC, abstractmethod

from cassiastair.errors import CassiastairError
from cassiastair.forwarding import (
    CallerAnswer,
    CallerRequest,
    RoutedTarget,
    TargetReply,
)

from .http_message import HttpReply, HttpRequest


class Dialect(ABC):
    """Translates between HTTP messages and the product's types; decides nothing."""

    @abstractmethod
    def read_request(
        self, message: HttpRequest, received: float, travel: float
    ) -> CallerRequest:
        """Decode a caller's request.

        Parameters
        ----------
        message : HttpRequest
            The request.
        received : float
            Time in seconds at which it had been read.
        travel : float
            Seconds on the way from and to the caller.

        Raises
        ------
        MalformedRequestError
            If a part that is needed is missing or malformed.
        """

    @abstractmethod
    def write_send(
        self, request: CallerRequest, target: RoutedTarget, left: float
    ) -> bytes:
        """Return the bytes of a request to a target.

        Parameters
        ----------
        request : CallerRequest
            What the caller asked.
        target : RoutedTarget
            The run of the target that may run it.
        left : float
            Seconds that the target may work.
        """

    @abstractmethod
    def read_reply(self, reply: HttpReply, request: CallerRequest) -> TargetReply:
        """Decode a target's reply to a request.

        Raises
        ------
        TargetFailure
            If the target did not run the request, or the reply is not its own.
        """

    @abstractmethod
    def read_idle_limit(self, reply: HttpReply) -> float | None:
        """Return the seconds for which a target keeps an idle connection, if told."""

    @abstractmethod
    def write_answer(self, answer: CallerAnswer) -> HttpReply:
        """Return the reply to a caller."""

    @abstractmethod
    def write_error(self, error: CassiastairError) -> HttpReply:
        """Return the reply to a caller that says why there is no answer."""
