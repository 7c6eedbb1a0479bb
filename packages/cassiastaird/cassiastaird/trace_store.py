"""Store of the most recent spans, kept in memory for operators."""

from collections import deque

from cassiastair.traces import Span, TraceContext, Tracer

MAX_SPANS = 20_000  # they use about 10 MB


class TraceStore(Tracer):
    """Ring buffer of finished spans, which drops the oldest first.

    Spans are stored as plain tuples of strings and numbers, which the garbage
    collector stops tracking. Stored as `Span` objects, they made each full
    collection 10 ms longer.
    """

    def __init__(self):
        self._spans: deque[tuple] = deque(maxlen=MAX_SPANS)

    def record(self, span: Span) -> None:
        """Store a finished span."""
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
        """Return the stored spans of a trace, ordered by start time."""
        found = [unpack_span(kept) for kept in self._spans if kept[0] == trace_id]
        return sorted(found, key=lambda span: span.start)


def unpack_span(packed: tuple) -> Span:
    """Return the span that a stored tuple represents."""
    trace_id, span_id, parent_id, name, start, duration, attributes = packed
    return Span(
        TraceContext(trace_id, span_id, parent_id), name, start, duration, attributes
    )


def encode_spans(spans: list[Span]) -> list[dict]:
    """Return the JSON form of spans, with times relative to the first, in ms."""
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
