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


class HttpCodec(ABC):
    """Translates between HTTP messages and the product's types; decides nothing."""

    @abstractmethod
    def decode_request(
        self, message: HttpRequest, received_at: float, caller_rtt: float
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
    def encode_target_request(
        self, request: CallerRequest, target: RoutedTarget, time_left: float
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
    def decode_reply(self, reply: HttpReply, request: CallerRequest) -> TargetReply:
        """Decode a target's reply to a request.

        Raises
        ------
        TargetFailure
            If the target did not run the request, or the reply is not its own.
        """

    @abstractmethod
    def parse_idle_timeout(self, reply: HttpReply) -> float | None:
        """Return the seconds for which a target keeps an idle connection, if told."""

    @abstractmethod
    def encode_answer(self, answer: CallerAnswer) -> HttpReply:
        """Return the reply to a caller."""

    @abstractmethod
    def encode_error(self, error: CassiastairError) -> HttpReply:
        """Return the reply to a caller that says why there is no answer."""
