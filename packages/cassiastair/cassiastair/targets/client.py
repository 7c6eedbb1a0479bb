"""The interface to targets; an adapter for a protocol implements it."""

from abc import ABC, abstractmethod

from ..data import Attempt, ShardAnswer, Target
from .report import TargetReport


class TargetClient(ABC):
    """Sends subrequests to targets.

    A caller bounds the time of `ask` by killing its task; the connection of a
    killed task is closed and never used again.
    """

    @abstractmethod
    def read(self, target: Target, attempt: Attempt) -> ShardAnswer:
        """Send a subrequest and return the answer that echoes its attempt.

        Raises
        ------
        TargetFailure
            If there is no usable answer.
        """

    @abstractmethod
    def cancel(self, target: Target, attempt: str) -> None:
        """Tell a target that an attempt's answer is no longer wanted."""

    @abstractmethod
    def write(self, target: Target, attempt: Attempt, request_id: str) -> dict:
        """Send a non-idempotent request once and return its result.

        Raises
        ------
        TargetFailure
            If there is no usable answer; ``proves_not_run`` tells whether the
            request provably did not run.
        """

    @abstractmethod
    def fetch_report(self, target: Target, timeout: float) -> TargetReport:
        """Ask a target for its report, within some seconds.

        Raises
        ------
        TargetFailure
            If there is no usable answer.
        """
