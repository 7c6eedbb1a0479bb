"""Receivers of finished spans."""

from abc import ABC, abstractmethod

from .span import Span


class Tracer(ABC):
    """Receiver of finished spans."""

    @abstractmethod
    def record(self, span: Span) -> None:
        """Record a finished span."""


class NoOpTracer(Tracer):
    """Tracer that discards all spans."""

    def record(self, span: Span) -> None:
        """Discard the span."""
