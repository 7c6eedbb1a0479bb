"""Interface of the client that sends requests to targets."""

from abc import ABC, abstractmethod

from ..data import Attempt, ShardAnswer, Target
from .report import TargetReport


class TargetClient(ABC):
    """Sends requests to targets over some protocol.

    A caller bounds the time of `read` by killing the greenlet that runs it. The
    connection of a killed greenlet is closed and never used again.
    """

    @abstractmethod
    def read(self, target: Target, attempt: Attempt) -> ShardAnswer:
        """Send a subrequest and return the answer with the same attempt ID.

        Raises
        ------
        TargetFailure
            If there is no usable answer.
        """

    @abstractmethod
    def cancel(self, target: Target, attempt_id: str) -> None:
        """Ask a target to cancel the attempt with an ID; failures are ignored."""

    @abstractmethod
    def write(self, target: Target, attempt: Attempt, request_id: str) -> dict:
        """Send a non-idempotent request, at most once, and return its result.

        Raises
        ------
        TargetFailure
            If there is no usable answer. ``proves_not_run`` is true if the target
            provably did not run the request.
        """

    @abstractmethod
    def fetch_report(self, target: Target, timeout: float) -> TargetReport:
        """Return the report of a target.

        Parameters
        ----------
        target : Target
            Target whose report is fetched.
        timeout : float
            Seconds to wait for it.

        Raises
        ------
        TargetFailure
            If there is no usable answer.
        """
