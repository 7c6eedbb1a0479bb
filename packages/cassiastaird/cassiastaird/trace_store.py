"""The last spans, kept in memory for operators."""

from collections import deque

from cassiastair.traces import Span, Tracer

MAX_SPANS = 20_000  # about 10 MB


class TraceStore(Tracer):
    """Ring of finished spans, the oldest dropped first."""

    def __init__(self):
        self._spans: deque[Span] = deque(maxlen=MAX_SPANS)

    def record(self, span: Span) -> None:
        """Keep a span."""
        self._spans.append(span)

    def find(self, trace_id: str) -> list[Span]:
        """Return the spans of a trace in the order of their start."""
        found = [s for s in self._spans if s.context.trace_id == trace_id]
        return sorted(found, key=lambda span: span.start)


def describe_spans(spans: list[Span]) -> list[dict]:
    """Return the plain form of a trace's spans, times relative to the first."""
    first = spans[0].start if spans else 0.0
    return [
        {
            "span": span.context.span_id,
            "parent": span.context.parent_id,
            "name": span.name,
            "start_ms": round((span.start - first) * 1000, 3),
            "duration_ms": round(span.duration * 1000, 3),
            **dict(span.detail),
        }
        for span in spans
    ]
