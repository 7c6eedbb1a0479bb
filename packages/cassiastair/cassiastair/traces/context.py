"""W3C trace context, which is passed on with each request."""

import random
import re
from dataclasses import dataclass

TRACEPARENT_PATTERN = re.compile(r"00-([0-9a-f]{32})-([0-9a-f]{16})-([0-9a-f]{2})")


@dataclass(frozen=True, slots=True)
class TraceContext:
    """Identity of a span within a trace.

    Parameters
    ----------
    trace_id : str
        Identity of the trace, 32 hexadecimal digits.
    span_id : str
        Identity of the span, 16 hexadecimal digits.
    parent_id : str
        Identity of the parent span; empty for a root span.
    """

    trace_id: str
    span_id: str
    parent_id: str = ""

    @property
    def traceparent(self) -> str:
        """Value of the ``traceparent`` header for requests sent within the span."""
        return f"00-{self.trace_id}-{self.span_id}-01"

    def child(self, rng: random.Random) -> "TraceContext":
        """Return the context of a new child span."""
        span_id = f"{rng.getrandbits(64):016x}"
        return TraceContext(self.trace_id, span_id, self.span_id)


def start_trace(rng: random.Random) -> TraceContext:
    """Return the context of the root span of a new trace."""
    trace_id = f"{rng.getrandbits(128) or 1:032x}"
    return TraceContext(trace_id, f"{rng.getrandbits(64) or 1:016x}")


def parse_traceparent(header: str | None, rng: random.Random) -> TraceContext:
    """Return a child of the caller's span, or a new root span for an invalid header."""
    match = TRACEPARENT_PATTERN.fullmatch(header or "")
    if match is None or not int(match[1], 16) or not int(match[2], 16):
        return start_trace(rng)
    return TraceContext(match[1], match[2]).child(rng)
