"""Where decisions about requests are recorded."""

from abc import ABC, abstractmethod


class DecisionLog(ABC):
    """Takes one record for each decision that touches a request."""

    @abstractmethod
    def record_sampled(self, event: str, request: str, **inputs: object) -> None:
        """Record a decision that is kept for sampled requests only.

        Parameters
        ----------
        event : str
            What was decided.
        request : str
            Identity of the caller's attempt.
        **inputs : object
            What decided it, with ages or versions.
        """

    @abstractmethod
    def warn(self, event: str, request: str, **inputs: object) -> None:
        """Record a decision that is always kept: a failure, refusal or gap."""


class NoDecisionLog(DecisionLog):
    """Keeps nothing; for tests and measurements."""

    def record_sampled(self, event: str, request: str, **inputs: object) -> None:
        """Drop the record."""

    def warn(self, event: str, request: str, **inputs: object) -> None:
        """Drop the record."""
