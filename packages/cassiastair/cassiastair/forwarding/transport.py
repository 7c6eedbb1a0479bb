"""How requests reach targets."""

from abc import ABC, abstractmethod
from dataclasses import dataclass

from .request import CallerRequest
from .routed_target import RoutedTarget


@dataclass(frozen=True, slots=True)
class TargetReply:
    """A target's whole answer to one send.

    Parameters
    ----------
    status : int
        HTTP status.
    headers : tuple of (bytes, bytes)
        Headers as received.
    body : bytes
        Whole body.
    seal : str or None
        The target's signature.
    """

    status: int
    headers: tuple[tuple[bytes, bytes], ...]
    body: bytes
    seal: str | None

    @property
    def succeeded(self) -> bool:
        """Whether the target served the request."""
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
        """Send a request; the task that waits is bounded by its own deadline.

        Parameters
        ----------
        target : RoutedTarget
            Where to send.
        request : CallerRequest
            What to send.
        deadline : float
            Time in seconds at which the target stops work.
        once : bool
            Whether the request must not run twice, so that a connection is used
            only when it is surely open.

        Raises
        ------
        TargetFailure
            If no whole reply to this very request came.
        """

    @abstractmethod
    def has_free_connection(self, target: RoutedTarget) -> bool:
        """Tell whether a request to a target need not wait for a connection."""

    @abstractmethod
    def probe(self, target: RoutedTarget) -> bool:
        """Open a connection to a target; tell whether that succeeded."""

    @abstractmethod
    def close_idle(self, target: RoutedTarget) -> None:
        """Close the idle connections of a target that is gone."""
