"""Interface through which requests are sent to targets."""

from abc import ABC, abstractmethod
from dataclasses import dataclass

from ..targets.notice import NO_NOTICE, TargetNotice
from .probe_result import ProbeResult
from .request import CallerRequest
from .routed_target import RoutedTarget


@dataclass(frozen=True, slots=True)
class TargetReply:
    """Complete reply of a target to one send.

    Parameters
    ----------
    status : int
        HTTP status code.
    headers : tuple of (bytes, bytes)
        Headers in the order received.
    body : bytes
        Complete body.
    seal : str or None
        Signature that the target added to its reply, if any.
    notice : TargetNotice
        What the reply says of the target.
    names_attempt : bool
        Whether the reply named the attempt that it answers.
    """

    status: int
    headers: tuple[tuple[bytes, bytes], ...]
    body: bytes
    seal: str | None
    notice: TargetNotice = NO_NOTICE
    names_attempt: bool = True

    @property
    def succeeded(self) -> bool:
        """Whether the status says that the target served the request."""
        return 200 <= self.status < 300


class TargetTransport(ABC):
    """Sends a request to one target and waits for its reply."""

    @abstractmethod
    def send(
        self,
        target: RoutedTarget,
        request: CallerRequest,
        deadline: float,
        at_most_once: bool,
    ) -> TargetReply:
        """Send a request and wait for the reply.

        The deadline is passed on to the target. It does not end the wait; the caller
        of this method ends it by stopping the task.

        Parameters
        ----------
        target : RoutedTarget
            Target to send to.
        request : CallerRequest
            Request to send.
        deadline : float
            Time at which the target should abandon the request, in seconds.
        at_most_once : bool
            Whether the request must not run twice. It is then sent only on a
            connection that is certain to be open.

        Returns
        -------
        TargetReply
            Reply to this request.

        Raises
        ------
        TargetFailure
            If no complete reply to this request was received.
        """

    @abstractmethod
    def has_free_connection(self, target: RoutedTarget) -> bool:
        """Return True if a request to a target gets a connection without waiting."""

    @abstractmethod
    def keeps_connection(self, target: RoutedTarget) -> bool:
        """Return True if connections to a target are kept between requests."""

    @abstractmethod
    def probe(self, target: RoutedTarget, asks_identity: bool) -> ProbeResult:
        """Open a connection to a target, and ask on it who answers if that is wanted.

        An answer that names no process, or none in time, proves nothing.
        """

    @abstractmethod
    def pause(self, target: RoutedTarget, until: float) -> None:
        """Fail requests that wait for a connection to a target until a time passes."""

    @abstractmethod
    def retire(self, target: RoutedTarget) -> None:
        """Close the idle connections to a target that gets no more requests.

        Requests that wait for a connection to it fail.
        """
