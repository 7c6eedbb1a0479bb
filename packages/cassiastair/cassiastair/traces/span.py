"""One finished hop of a request."""

from dataclasses import dataclass

from .context import TraceContext


@dataclass(frozen=True, slots=True)
class Span:
    """A hop with its place in the trace.

    Parameters
    ----------
    context : TraceContext
        Identity and parent of the span.
    name : str
        What was done.
    start : float
        Monotonic time of the start in seconds.
    duration : float
        Length in seconds.
    attributes : tuple of (str, str)
        Attributes, such as the target and the result.
    """

    context: TraceContext
    name: str
    start: float
    duration: float
    attributes: tuple[tuple[str, str], ...]
