"""The last spans, kept in memory for operators."""

from collections import deque

from cassiastair.traces import Span, TraceContext, Tracer

MAX_SPANS = 20_000  # about 10 MB


class TraceStore(Tracer):
    """Ring of finished spans, the oldest dropped first.

    Spans are kept as plain tuples of strings and numbers, which the garbage
    collector need not look at; as records they made each full collection 10 ms
    longer.
    """

    def __init__(self):
        self._spans: deque[tuple] = deque(maxlen=MAX_SPANS)

    def record(self, span: Span) -> None:
        """Keep a span."""
        context = span.context
        self._spans.append(
            (
                context.trace_id,
                context.span_id,
                context.parent_id,
                span.name,
                span.start,
                span.duration,
                span.attributes,
            )
        )

    def find(self, trace_id: str) -> list[Span]:
        """Return the spans of a trace in the order of their start."""
        found = [restore_span(kept) for kept in self._spans if kept[0] == trace_id]
        return sorted(found, key=lambda span: span.start)


def restore_span(kept: tuple) -> Span:
    """Return the span that was kept as a tuple."""
    trace_id, span_id, parent_id, name, start, duration, detail = kept
    return Span(
        TraceContext(trace_id, span_id, parent_id), name, start, duration, detail
    )


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
            **dict(span.attributes),
        }
        for span in spans
    ]
