"""A finished span of a trace."""

from dataclasses import dataclass

from .context import TraceContext


@dataclass(frozen=True, slots=True)
class Span:
    """One timed operation of a request.

    Parameters
    ----------
    context : TraceContext
        Identity and parent of the span.
    name : str
        Name of the operation.
    start : float
        Monotonic start time in seconds.
    duration : float
        Duration in seconds.
    attributes : tuple of (str, str)
        Names and values that describe the operation, such as the target and the
        result.
    """

    context: TraceContext
    name: str
    start: float
    duration: float
    attributes: tuple[tuple[str, str], ...]
