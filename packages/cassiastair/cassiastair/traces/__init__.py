"""Traces: a span for each hop, in the W3C trace context."""

from .context import TraceContext, parse_traceparent
from .span import Span
from .tracer import NoTracer, Tracer

__all__ = ["NoTracer", "Span", "TraceContext", "Tracer", "parse_traceparent"]
