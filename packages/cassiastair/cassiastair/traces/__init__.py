"""Distributed tracing: spans of requests, linked by the W3C trace context."""

from .context import TraceContext, parse_traceparent
from .span import Span
from .tracer import NoOpTracer, Tracer

__all__ = ["NoOpTracer", "Span", "TraceContext", "Tracer", "parse_traceparent"]
