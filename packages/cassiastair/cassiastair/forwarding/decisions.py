"""Log of the decisions that were taken about requests."""

from abc import ABC, abstractmethod


class DecisionLog(ABC):
    """Receives one record for each decision about a request."""

    @abstractmethod
    def record_sampled(self, event: str, request: str, **inputs: object) -> None:
        """Record a decision; only records of sampled requests are kept.

        Parameters
        ----------
        event : str
            Name of the event.
        request : str
            Caller's ID of the attempt.
        **inputs : object
            Data on which the decision was based, as fields of the record.
        """

    @abstractmethod
    def warn(self, event: str, request: str, **inputs: object) -> None:
        """Record a failure, a refusal or an incomplete answer; it is always kept."""


class NoDecisionLog(DecisionLog):
    """Discards all records; for tests and benchmarks."""

    def record_sampled(self, event: str, request: str, **inputs: object) -> None:
        """Discard the record."""

    def warn(self, event: str, request: str, **inputs: object) -> None:
        """Discard the record."""
