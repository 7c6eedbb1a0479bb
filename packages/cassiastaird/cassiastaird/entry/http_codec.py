"""Interface of the codec between HTTP messages and the product's types."""

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
    """Decodes and encodes the HTTP messages of callers and targets.

    Implementations only convert; they make no decisions.
    """

    @abstractmethod
    def decode_request(
        self, message: HttpRequest, received_at: float, caller_rtt: float
    ) -> CallerRequest:
        """Decode a caller's request.

        Parameters
        ----------
        message : HttpRequest
            The request.
        received_at : float
            Clock time in seconds at which the request was complete.
        caller_rtt : float
            Network time of the request and its answer, in seconds.

        Raises
        ------
        MalformedRequestError
            If a required part is missing or malformed.
        """

    def encode_target_request(
        self, request: CallerRequest, target: RoutedTarget, time_left: float
    ) -> bytes:
        """Return the bytes of a request to a target, see `encode_target_head`."""
        return self.encode_target_head(request, target, time_left) + request.body

    @abstractmethod
    def encode_target_head(
        self, request: CallerRequest, target: RoutedTarget, time_left: float
    ) -> bytes:
        """Return the head of a request to a target; the caller's body follows it.

        Parameters
        ----------
        request : CallerRequest
            The caller's request.
        target : RoutedTarget
            Target to send it to; another process at its address must refuse it.
        time_left : float
            Seconds that the target may work on it.
        """

    @abstractmethod
    def decode_reply(self, reply: HttpReply, request: CallerRequest) -> TargetReply:
        """Decode a target's reply to a request.

        Raises
        ------
        TargetFailure
            If the target did not run the request, or the reply is invalid or belongs
            to another request.
        """

    @abstractmethod
    def encode_identity_request(self, target: RoutedTarget, path: str) -> bytes:
        """Return the bytes of a request that asks who answers at a target's address.

        Parameters
        ----------
        target : RoutedTarget
            Target that is expected to answer.
        path : str
            Path at which the targets of its service say who they are.
        """

    @abstractmethod
    def is_by_target(self, reply: HttpReply, target: RoutedTarget) -> bool | None:
        """Return whether a target itself has replied; None if nobody is named."""

    @abstractmethod
    def parse_idle_timeout(self, reply: HttpReply) -> float | None:
        """Return how many seconds a target keeps idle connections open.

        None if the reply does not state it.
        """

    @abstractmethod
    def encode_answer(self, answer: CallerAnswer) -> HttpReply:
        """Return the HTTP reply to a caller for an answer."""

    @abstractmethod
    def encode_error(self, error: CassiastairError) -> HttpReply:
        """Return the error reply to a caller."""
